import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "../support/world.js";

// Guards against workers whose heartbeats every controller refuses, so that their tasks run again and again: the leader
// started as many tasks on a machine as its CPUs allow, in one line of a response.
test("tasks of which thousands fit on a machine run in heartbeats and responses of at most 64 KiB", async () => {
	const world = new World(1);
	await world.time.advance(2000);
	const job = { id: "j-000001", pieces: 2500, cores: 0.001, ram_gb: 0.001, run_s: 2 };
	assert.equal((await world.submit("runner-0", job)).status, 201);
	await world.time.advance(60_000);
	assert.equal((await world.poll("runner-1", job.id)).body.status, "done");
	assert.equal(world.startedAttempts.length, job.pieces, "no task has run twice");
	assert.deepEqual(world.violations, []);
});
