import assert from "node:assert/strict";
import { test } from "node:test";
import { job } from "../support/leadership-candidate.js";
import { World } from "../support/world.js";
import { nodeNames } from "../support/world-settings.js";

test("a node cut off from the store answers 503 at once and is not ready, but all nodes are ready if the store answers none", async () => {
	const world = new World();
	await world.time.advance(2000);
	const isolatedNode = nodeNames.find((n) => n !== world.leaderNode()) as string;
	assert.equal(world.ready(isolatedNode), true);
	world.network.faultFor = (from, to) =>
		to === "state" && from.startsWith(isolatedNode) ? { dropRequest: true } : {};
	await world.time.advance(12_000);
	assert.equal(world.ready(isolatedNode), false);
	for (let i = 0; i < 10; i++) {
		const submittedAt = world.time.now();
		assert.equal((await world.submit(isolatedNode, { ...job, id: `j-00010${i}` })).status, 503);
		assert.ok(world.time.now() - submittedAt <= 50, "the response was not immediate");
	}
	world.network.faultFor = () => ({});
	await world.time.advance(8000);
	assert.equal(world.ready(isolatedNode), true);
	// If the store answers no node, a node taken out of rotation would only return late.
	world.state.setOutage(true);
	await world.time.advance(12_000);
	for (const node of nodeNames) assert.equal(world.ready(node), true);
});
