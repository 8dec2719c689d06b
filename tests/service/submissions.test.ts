import assert from "node:assert/strict";
import { test } from "node:test";
import { job } from "../support/leadership-candidate.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

test("a service job is accepted only once every controller has reported support for it, and always from then on", async () => {
	const world = new World();
	world.crash("runner-2");
	await world.time.advance(8000);
	const serviceJob = { ...job, form: "standing", cores: 1 };
	const earlyResponse = await world.submit("runner-0", serviceJob);
	assert.equal(earlyResponse.status, 503);
	assert.match(earlyResponse.body.error as string, /not all controllers/);
	assert.equal(
		(await world.submit("runner-0", { ...job, id: "j-000002" })).status,
		201,
		"array jobs are accepted",
	);
	world.start("runner-2");
	await world.time.advance(5000);
	assert.equal((await world.submit("runner-0", serviceJob)).status, 201);
	world.crash("runner-2");
	await world.time.advance(5000);
	assert.equal((await world.submit("runner-1", { ...serviceJob, id: "j-000003" })).status, 201);
	assert.equal((await world.submit("runner-1", { ...serviceJob, id: "j-000004", pieces: 9 })).status, 422);
	assert.equal((await world.submit("runner-1", { ...serviceJob, id: "j-000005", guess_s: 5 })).status, 400);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000006", guess_s: 0 })).status, 400);
	assert.equal(
		(await world.submit("runner-1", { ...serviceJob, id: "j-000007", hall: "a", spread: true })).status,
		422,
	);
	assert.deepEqual(world.violations, []);
});

test("submissions of one job to all nodes create one job; a repeated id is answered before validation", async () => {
	const world = new World();
	await world.time.advance(2000);
	assert.equal((await world.submit("runner-0", job)).status, 201);
	for (const node of nodeNames)
		assert.equal((await world.submit(node, { ...job, desk: "nobody" })).status, 200);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000002", desk: "nobody" })).status, 422);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000003", cores: 9 })).status, 422);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000004", shapes: ["none"] })).status, 422);
	assert.equal((await world.poll("runner-2", "j-000002")).status, 404);
});
