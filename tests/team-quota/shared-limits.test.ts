import assert from "node:assert/strict";
import { test } from "node:test";
import { type LimitRequest, type QuotaStore, type ShownTeam, setQuota, showQuotas } from "#team-quota";
import { keys } from "../../src/protocol/records/keys.js";
import { quotaStore } from "../../src/team-quota.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { worldWithJob } from "../support/quota-world.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

/** The state service as an operator's command uses it. */
function operatorStore(world: World): QuotaStore {
	const http = {
		call: (method: string, path: string, body: unknown) => world.state.handle(method, path, body, "operator"),
		close() {},
	};
	return quotaStore(
		new StoreClient({ http, clock: world.time, requestsPerS: 1000, writesPerS: 1000, controllers: 1 }),
	);
}

const setLimit = (world: World, team: string, request: LimitRequest) =>
	setQuota(operatorStore(world), keys.quota, team, request, world.time.date().getTime());

async function shownTeam(world: World, team: string): Promise<ShownTeam> {
	return (await showQuotas(operatorStore(world), keys.quota, team)).teams[0] as ShownTeam;
}

test("a lowered limit is pending until the tasks above it have ended or are stopped, then it is enforced", async () => {
	const world = await worldWithJob(12);
	assert.equal(world.runningTaskCount("j-000001"), 8, "the platform's limit");
	const answer = await setLimit(world, "red", { cpus: 3, guaranteedCpus: 1 });
	assert.equal(answer.pending?.limit.cpus, 3);
	await world.time.advance(40_000);
	assert.equal(world.runningTaskCount("j-000001"), 8, "preempt_after_s has not passed");
	await world.time.advance(40_000);
	assert.equal(world.runningTaskCount("j-000001"), 3);
	const lowered = await shownTeam(world, "red");
	assert.deepEqual([lowered.limit.cpus, lowered.pending], [3, null]);
	world.teamLimitOverrides.set("red", 3);
	// After a failover the new leader enforces the limit of the record.
	world.crash(world.leaderNode() as string);
	await world.time.advance(40_000);
	assert.equal(world.runningTaskCount("j-000001"), 3);
	const refused = await world.submit(world.leaderNode() as string, { id: "j-000002", pieces: 1, cores: 4 });
	assert.equal(refused.status, 422, "one task needs more than the limit in force");
	world.teamLimitOverrides.set("red", 5);
	await setLimit(world, "red", { cpus: 5 });
	await world.time.advance(10_000);
	assert.equal(world.runningTaskCount("j-000001"), 5, "a higher limit is in force at once");
	assert.deepEqual(world.violations, []);
});

test("of two limit changes during a failover and while a controller is disconnected, the last one is enforced", async () => {
	const world = await worldWithJob(12);
	const leader = world.leaderNode() as string;
	const other = nodeNames.find((node) => node !== leader) as string;
	world.setPeerIsolation(other, true);
	await setLimit(world, "red", { cpus: 2, guaranteedCpus: 1 });
	await setLimit(world, "red", { cpus: 4 });
	world.crash(leader);
	await world.time.advance(100_000);
	world.setPeerIsolation(other, false);
	await world.time.advance(30_000);
	assert.equal(world.runningTaskCount("j-000001"), 4);
	const { limit, guarantee, pending } = await shownTeam(world, "red");
	assert.deepEqual([limit.cpus, guarantee.cpus, pending], [4, 1, null]);
	assert.deepEqual(world.violations, []);
});

test("after every controller has restarted, teams use their whole limits: allotments of ended processes are reused", async () => {
	const world = await worldWithJob(4);
	for (const node of nodeNames) {
		world.crash(node);
		await world.time.advance(3000);
		world.start(node);
		await world.time.advance(1000);
	}
	await world.submit("runner-1", { id: "j-000002", pieces: 4, cores: 1, run_s: 400 });
	await world.submit("runner-1", { id: "j-000003", pieces: 8, cores: 1, run_s: 400, desk: "blue" });
	await world.time.advance(30_000);
	assert.equal(world.runningTaskCount("j-000002") + world.runningTaskCount("j-000001"), 8);
	assert.equal(world.runningTaskCount("j-000003"), 8);
	for (const team of ["red", "blue"])
		assert.equal((await shownTeam(world, team)).unallotted.cpus, 0, "no part of a limit is lost");
	assert.deepEqual(world.violations, []);
});

// Guards against a restarted controller that does not know limits set by command, since a load of its replica left them
// out: it refused jobs that fit, or accepted jobs that can never run.
test("a controller that has restarted knows the limits that were set by command", async () => {
	const world = await worldWithJob(1);
	await setLimit(world, "red", { cpus: 3, guaranteedCpus: 1 });
	await world.time.advance(10_000);
	// A controller without an allotment: its restart causes no write of a record, which it would be notified of.
	const { teams } = await showQuotas(operatorStore(world), keys.quota);
	const holders = new Set(teams.flatMap(({ allotments }) => allotments.map(({ node }) => node)));
	const restarted = nodeNames.find((node) => node !== world.leaderNode() && !holders.has(node)) as string;
	assert.ok(restarted, `${[...holders]} hold allotments`);
	const submitTooWide = (id: string) => world.submit(restarted, { id, pieces: 1, cores: 4 });
	assert.equal((await submitTooWide("j-000002")).status, 422);
	world.crash(restarted);
	await world.time.advance(1000);
	world.start(restarted);
	await world.time.advance(10_000);
	assert.equal((await submitTooWide("j-000003")).status, 422);
	assert.deepEqual(world.violations, []);
});

test("admission within allotments continues during an outage of the state service", async () => {
	const world = new World(6, nodeNames, false, true);
	await world.time.advance(2000);
	await world.submit("runner-0", { id: "j-000001", pieces: 12, cores: 1, run_s: 30 });
	await world.time.advance(20_000);
	assert.equal(world.starts.size, 8);
	world.state.setOutage(true);
	await world.time.advance(40_000);
	assert.equal(world.starts.size, 12, "the other tasks start as running ones end");
	world.state.setOutage(false);
	await world.time.advance(40_000);
	assert.equal((await world.poll("runner-1", "j-000001")).body.status, "done");
	assert.deepEqual(world.violations, []);
});

test("without team quota on every controller, limits hold as before: during an upgrade and after a downgrade", async () => {
	const world = new World(6, nodeNames);
	world.crash("runner-1");
	world.crash("runner-2");
	world.teamQuota = true;
	world.start("runner-1");
	world.start("runner-2");
	await world.time.advance(4000);
	await world.submit("runner-0", { id: "j-000001", pieces: 12, cores: 1, run_s: 400 });
	await world.time.advance(20_000);
	const records = () => [...world.state.rows.keys()].filter((key) => key.startsWith(keys.quota));
	assert.deepEqual([world.runningTaskCount("j-000001"), records()], [8, []]);
	world.crash("runner-0");
	world.start("runner-0");
	await world.time.advance(20_000);
	assert.deepEqual([world.runningTaskCount("j-000001"), records().length], [8, 1]);
	world.teamQuota = false;
	for (const node of nodeNames) {
		world.crash(node);
		world.start(node);
		await world.time.advance(8000);
	}
	assert.equal(world.runningTaskCount("j-000001"), 8);
	assert.deepEqual(world.violations, []);
});

test("malformed records are logged, never allow more than the limit, and crash no process", async () => {
	const world = await worldWithJob(12);
	const key = [...world.state.rows.keys()].find((name) => name.startsWith(keys.quota)) as string;
	const value = structuredClone(world.state.rows.get(key)?.v) as { teams: Record<string, unknown> };
	const red = value.teams.red as { allotments: unknown[] };
	const bad = [
		{ ...red, allotments: [["runner-0", "x", -5, 0, 0, 0, 0]] },
		{ ...red, allotments: [["runner-0", "x", 2 ** 53, 0, 0, 0, 0]] },
		{ ...red, allotments: [["nobody", "x", 8000, 0, 0, 0, 0]] },
		{ ...red, limit: ["many"] },
	];
	for (const record of bad) {
		world.state.write(key, { teams: { ...value.teams, red: record, stranger: red } });
		await world.time.advance(5000);
		world.crash(world.leaderNode() as string);
		await world.time.advance(12_000);
		for (const node of nodeNames) world.start(node);
		await world.time.advance(12_000);
		assert.equal(world.runningTaskCount("j-000001"), 8);
	}
	const reported = world.logs.filter((line) => line.includes("a stored team limit cannot be read"));
	assert.ok(reported.some((line) => line.includes("allotments.0")));
	assert.ok(reported.some((line) => line.includes("limit")));
	assert.deepEqual(
		world.logs.filter((line) => line.includes("uncaught exception in the serial executor")),
		[],
	);
	assert.deepEqual(world.violations, []);
});
