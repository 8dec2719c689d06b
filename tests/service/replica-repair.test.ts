import assert from "node:assert/strict";
import { test } from "node:test";
import { nextUint64 } from "../../src/protocol/model/uint64.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { job } from "../support/leadership-candidate.js";
import { World } from "../support/world.js";

test("a job whose watch event was lost is found by comparing the store replica with the store", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { ...job, id: "j-000002" });
	const record = world.state.rows.get("r/job/j-000002");
	assert.ok(record);
	const body = { ...job, id: "j-000003" };
	world.trackJob(body);
	const spec = { ...(record.v as { spec: object }).spec, id: "j-000003" };
	// Stores the job without notifying the watches.
	world.state.revision = nextUint64(world.state.revision);
	world.state.rows.set("r/job/j-000003", { v: { spec, at: 0 }, stamp: world.state.revision });
	await world.time.advance(100_000);
	assert.equal((await world.poll("runner-1", "j-000003")).body.status, "done");
	assert.deepEqual(world.violations, []);
});

test("a job in the leader's store replica of which no listener was notified is done within 30 s", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { ...job, id: "j-000002" });
	await world.time.advance(500);
	const leader = world.controllerOf(world.leaderNode() as string);
	const existingJob = leader.replica.jobs.get("j-000002");
	assert.ok(existingJob);
	world.trackJob({ ...job, id: "j-000003" });
	const value = { ...existingJob.value, spec: { ...existingJob.value.spec, id: "j-000003" } };
	world.state.revision = nextUint64(world.state.revision);
	world.state.rows.set("r/job/j-000003", { v: encodeJobRecord(value), stamp: world.state.revision });
	// Adds the job to the store replica without calling the listeners.
	(leader.replica.jobs as Map<string, unknown>).set("j-000003", { value, revision: world.state.revision });
	await world.time.advance(30_000);
	assert.equal((world.state.rows.get("r/fin/j-000003")?.v as { status: string } | undefined)?.status, "done");
});
