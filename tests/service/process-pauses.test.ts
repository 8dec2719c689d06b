import assert from "node:assert/strict";
import { test } from "node:test";
import { World } from "../support/world.js";

test("a status request that arrives when a process pause ends is answered after a new read of the store", async () => {
	const world = new World();
	await world.time.advance(3000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, run_s: 60 });
	await world.time.advance(12_000);
	world.pauseProcess("runner-1");
	await world.time.advance(9000);
	assert.equal((await world.cancel("runner-0", "j-000001")).status, 200);
	world.resumeProcess("runner-1");
	const response = await world.poll("runner-1", "j-000001");
	assert.deepEqual(
		[response.status, response.body.status],
		[200, "cancelled"],
		"neither 503 nor the status from before the pause",
	);
	assert.ok(world.logs.some((line) => line.includes("runner-1#2 process pause detected")));
	assert.deepEqual(world.violations, []);
});
