import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { clusters, type ForwarderRestart, playForwarderRestart } from "../support/forwarder-restarts.js";

/** Restarts at different times relative to the workers' heartbeats. */
const delaysMs = [0, 100, 200, 300, 400];
const minHeldResponses = 3;

/** Plays the restart at each time, and asserts that no rule is broken. */
async function assertNoViolations(restart: Omit<ForwarderRestart, "delayMs">): Promise<void> {
	let playedWithHeldResponses = 0;
	for (const delayMs of delaysMs) {
		const { world, heldForEndedProcess, heldForSuccessor } = await playForwarderRestart({
			...restart,
			delayMs,
		});
		assert.deepEqual(world.violations, [], `${delayMs} ms`);
		if (heldForEndedProcess.size >= minHeldResponses && heldForSuccessor.size >= minHeldResponses)
			playedWithHeldResponses += 1;
	}
	assert.ok(playedWithHeldResponses > 0, "the leader held responses for both processes of the node");
}

// review/1: a worker was answered with the starts of another worker, by a process that reused request ids.
describe("a controller that forwards heartbeats ends, and its next process forwards others at once", () => {
	for (const nodes of clusters)
		for (const connections of ["reset", "hanging"] as const)
			for (const crashes of ["once", "twice"] as const)
				test(`${nodes.length} controllers, connections ${connections}, ${crashes}: each start reaches the worker it was decided for`, async () => {
					await assertNoViolations({ nodes, connections, crashes });
				});
});
