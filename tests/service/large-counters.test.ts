import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Uint64, uint64Of } from "../../src/protocol/model/uint64.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

/** Revisions of the state service at the start, just before the point at which a representation ends. */
const revisions: [string, Uint64][] = [
	["just below 2^31", 2 ** 31 - 20],
	["2^31", 2 ** 31],
	["just below 2^41, from which on leaders reserve attempt numbers", 2 ** 41 - 20],
	["just below 2^53", 2 ** 53 - 20],
	["2^53", 2n ** 53n],
	["just below 2^64", 2n ** 64n - 100_000n],
];

/** Attempts of each task have larger numbers than the earlier ones, and no two attempts of the cluster have the same. */
function assertAttemptsOrdered(world: World): void {
	const latestByTask = new Map<string, Uint64>();
	const seen = new Set<Uint64>();
	for (const { task, attempt } of world.startedAttempts) {
		assert.ok(
			attempt > (latestByTask.get(task) ?? 0),
			`${task}: ${attempt} follows ${latestByTask.get(task)}`,
		);
		assert.ok(!seen.has(attempt), `attempt ${attempt} is used twice`);
		latestByTask.set(task, attempt);
		seen.add(attempt);
	}
}

// Guards against counters above 2^31 or 2^53 with which no job is ever done (review/3).
describe("a state service and workers that have counted far", () => {
	for (const [name, revision] of revisions)
		for (const forwarding of [false, true])
			test(`revision ${name}${forwarding ? ", with forwarded heartbeats" : ""}: jobs are done, cancelled and run on across elections`, async () => {
				const world = new World(4, nodeNames, forwarding, true);
				world.state.revision = revision;
				world.state.nextLease = revision;
				world.setWorkerCounters(uint64Of(BigInt(revision) - 1n));
				await world.time.advance(3000);
				const short = { id: "j-000001", pieces: 4, cores: 1, run_s: 3 };
				const long = { id: "j-000002", pieces: 3, cores: 1, desk: "blue", run_s: 40 };
				const endless = { id: "j-000003", pieces: 2, cores: 1, run_s: 10_000 };
				for (const job of [short, long, endless])
					assert.equal((await world.submit("runner-0", job)).status, 201);
				await world.time.advance(25_000);
				assert.equal((await world.poll("runner-1", short.id)).body.status, "done");
				assert.ok(world.isRunning("j-000003/0"));
				for (let election = 0; election < 2; election++) {
					world.restart(world.leaderNode() as string);
					await world.time.advance(15_000);
				}
				await world.cancel("runner-2", endless.id);
				await world.submit("runner-2", { ...short, id: "j-000004" });
				await world.time.advance(45_000);
				assert.equal((await world.poll("runner-0", long.id)).body.status, "done");
				assert.equal((await world.poll("runner-0", "j-000004")).body.status, "done");
				assert.ok(!world.isRunning("j-000003/0"));
				assert.deepEqual(world.violations, []);
				assertAttemptsOrdered(world);
			});
});

test("a leader takes over a task that a leader of 0.8.0 started under a rounded number, and its own numbers are larger", async () => {
	const world = new World();
	world.state.revision = 2 ** 31;
	await world.time.advance(3000);
	const job = { id: "j-000001", pieces: 2, cores: 1, run_s: 30 };
	await world.submit("runner-0", job);
	await world.time.advance(12_000);
	const worker = world.workerOf("j-000001/0");
	// The start of a leader of 0.8.0 in between, which calculated its attempt numbers with numbers.
	const rounded = Number(worker.fencingToken) * 2 ** 22 + 2 ** 21 + 1;
	for (const node of nodeNames) world.crash(node);
	await world.time.advance(11_000);
	assert.ok(!world.isRunning("j-000001/0"), "the lease has expired");
	const { shift } = worker.heartbeatBody();
	const order = { verb: "run", piece: "j-000001/0", try: uint64Of(BigInt(rounded)) };
	worker.handleCommands({ baton: worker.fencingToken, shift, orders: [order] });
	for (const node of nodeNames) world.start(node);
	await world.time.advance(9000);
	assert.ok(world.isRunning("j-000001/0"), "the task runs on under the next leader");
	await world.time.advance(60_000);
	assert.equal((await world.poll("runner-1", job.id)).body.status, "done");
	assert.deepEqual(world.violations, []);
	assertAttemptsOrdered(world);
});
