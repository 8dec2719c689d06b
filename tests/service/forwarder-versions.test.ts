import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type PlayedRestart, playForwarderRestart, type RestartRole } from "../support/forwarder-restarts.js";
import { nodeNames } from "../support/world-settings.js";

/** Restarts at different times relative to the workers' heartbeats. */
const delaysMs = [0, 100, 200, 300, 400];
const roles: readonly RestartRole[] = ["leader", "ended process", "successor"];

/** All sets of roles that processes of a version up to 0.8.0 may have beside current ones. */
const mixtures = Array.from({ length: 2 ** roles.length - 1 }, (_, bits) =>
	roles.filter((_role, i) => bits & (1 << i)),
);

function playAll(unnamed: readonly RestartRole[]): Promise<PlayedRestart[]> {
	const restart = {
		nodes: nodeNames,
		connections: "reset",
		crashes: "once",
		unnamed: new Set(unnamed),
	} as const;
	return Promise.all(
		delaysMs.map((delayMs) => playForwarderRestart({ ...restart, nodes: [...nodeNames], delayMs })),
	);
}

describe("a forwarder restarts while controllers of versions up to 0.8.0 run beside current ones", () => {
	for (const unnamed of mixtures)
		test(`of those versions: ${unnamed.join(", ") || "none"}: each start reaches the worker it was decided for`, async () => {
			for (const { world } of await playAll(unnamed)) {
				assert.deepEqual(world.violations, []);
				assert.ok(world.starts.size > 0, "tasks start");
			}
		});

	// Shows that the stand-in has the fault of these versions, so that the tests above could fail.
	test("with all three processes of those versions, workers still get the starts of others", async () => {
		const violations = (await playAll(roles)).flatMap(({ world }) => world.violations);
		assert.ok(violations.some((line) => line.startsWith("ran_twice") || line.startsWith("wrong_place")));
	});
});
