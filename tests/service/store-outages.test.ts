import assert from "node:assert/strict";
import { test } from "node:test";
import { job } from "../support/leadership-candidate.js";
import { nodeNames, World } from "../support/world.js";

test("a node that hears nothing of the store answers 503 at once and is not ready while others are served", async () => {
	const world = new World();
	await world.time.advance(2000);
	const other = nodeNames.find((n) => n !== world.leaderNode()) as string;
	assert.equal(world.ready(other), true);
	world.network.fault = (from, to) => (to === "state" && from.startsWith(other) ? { cut: true } : {});
	await world.time.advance(12_000);
	assert.equal(world.ready(other), false);
	for (let i = 0; i < 10; i++) {
		const before = world.time.now();
		assert.equal((await world.submit(other, { ...job, id: `j-00010${i}` })).status, 503);
		assert.ok(world.time.now() - before <= 50, "kept waiting");
	}
	world.network.fault = () => ({});
	await world.time.advance(8000);
	assert.equal(world.ready(other), true);
	// When nobody is served, leaving would only make coming back late.
	world.state.setOutage(true);
	await world.time.advance(12_000);
	for (const node of nodeNames) assert.equal(world.ready(node), true);
});
