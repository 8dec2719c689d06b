import assert from "node:assert/strict";
import { test } from "node:test";
import { job } from "../support/leadership-candidate.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

const finalRecord = (world: World) =>
	world.state.rows.get("r/fin/j-000001")?.v as { status: string } | undefined;

/** Delays the store transactions that certain processes send from now on beyond the processes' timeouts. */
function delayTransactions(world: World, isDelayed: (process: string) => boolean, delayMs: number): void {
	world.network.faultFor = (sender, to, _method, path) =>
		to === "state" && path === "/multi" && isDelayed(sender) ? { delayMs } : {};
}

test("a cancellation that reaches the store after the job is done has no effect", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(10_000);
	const follower = nodeNames.find((n) => n !== world.leaderNode()) as string;
	delayTransactions(world, (sender) => sender.startsWith(follower), 12_000);
	const response = await world.cancel(follower, job.id);
	assert.equal(response.status, 503, "the outcome is unknown");
	await world.time.advance(20_000);
	assert.equal(finalRecord(world)?.status, "done");
	world.network.faultFor = () => ({});
	for (const node of nodeNames) assert.equal((await world.poll(node, job.id)).body.status, "done");
	assert.deepEqual(world.violations, []);
});

test("a leader's final record of a done job does not replace a cancellation that the store applied first", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(9_000);
	const leader = world.leaderNode() as string;
	const follower = nodeNames.find((n) => n !== leader) as string;
	delayTransactions(world, (sender) => sender.startsWith(leader), 6_000);
	for (let i = 0; i < 200 && (world.isRunning("j-000001/0") || world.isRunning("j-000001/1")); i++) {
		await world.time.advance(100);
	}
	// Both tasks have ended, and the leader's write of the final record is in flight.
	await world.time.advance(1000);
	assert.equal(finalRecord(world), undefined);
	assert.equal((await world.cancel(follower, job.id)).body.status, "cancelled");
	await world.time.advance(20_000);
	assert.equal(finalRecord(world)?.status, "cancelled");
	world.network.faultFor = () => ({});
	for (const node of nodeNames) assert.equal((await world.poll(node, job.id)).body.status, "cancelled");
	assert.deepEqual(world.violations, []);
});

test("cancellations, status requests and repeated submissions around the end of the last task all report one final status", async () => {
	const finalStatuses = new Set<string>();
	for (let offsetMs = -100; offsetMs <= 1500; offsetMs += 100) {
		const world = new World();
		await world.time.advance(2000);
		await world.submit("runner-0", { ...job, pieces: 1 });
		for (let i = 0; i < 2000 && !world.isRunning("j-000001/0"); i++) await world.time.advance(10);
		await world.time.advance(8000 + offsetMs);
		const requests = nodeNames.flatMap((node) =>
			(["poll", "cancel", "resubmit", "poll"] as const).map((kind) => ({ node, id: job.id, kind })),
		);
		const statuses = await world.requestConcurrently(requests);
		assert.ok(
			statuses.every((status) => status === 200),
			`offset ${offsetMs}: ${statuses}`,
		);
		for (const node of nodeNames) await world.poll(node, job.id);
		assert.deepEqual(world.violations, [], `offset ${offsetMs}`);
		finalStatuses.add(finalRecord(world)?.status ?? "none");
	}
	assert.deepEqual(
		[...finalStatuses].sort(),
		["cancelled", "done"],
		"the offsets include times before and after the end",
	);
});
