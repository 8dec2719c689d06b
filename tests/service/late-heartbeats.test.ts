import assert from "node:assert/strict";
import { test } from "node:test";
import { job } from "../support/leadership-candidate.js";
import { World } from "../support/world.js";

test("late copies of heartbeats do not add a deleted machine again", async () => {
	const world = new World();
	world.duplicateHeartbeatsAfterS = [30];
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(120_000);
	assert.equal(world.cloud.hosts.size, 0);
	const unknownMachineLines = world.logs.filter((line) => line.includes(" unknown machine running "));
	assert.deepEqual(unknownMachineLines, [], "the leader created the machine, so its heartbeat never adds it");
});
