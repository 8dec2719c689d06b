import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { CopiedMessage } from "../support/late-copies.js";
import { playRandomFailures } from "../support/random-failures.js";
import { seedsOr } from "../support/seeds.js";
import type { World } from "../support/world.js";

const kinds: CopiedMessage[] = [
	"heartbeat",
	"direct command",
	"controller message",
	"store request",
	"cloud request",
];

/** Returns the attempts that workers have started more than once, on any machine. */
function repeatedAttempts(world: World): string[] {
	const seen = new Set<string>();
	const repeated: string[] = [];
	for (const { task, attempt } of world.startedAttempts) {
		const key = `${task} attempt ${attempt}`;
		if (seen.has(key)) repeated.push(key);
		seen.add(key);
	}
	return repeated;
}

/**
 * Guards against a start command that a late copy of any message causes to be executed once more, after the worker has
 * forgotten the attempt: for tasks that have moved, whose job was cancelled, or that are done. Controllers and machines
 * are back within a second, and copies arrive up to half a minute later, also at later processes and leaders.
 */
describe("no attempt is started a second time, with late copies of all messages and random failures", () => {
	const deliveredKinds = new Set<CopiedMessage>();
	for (const seed of seedsOr([1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 22])) {
		test(`seed ${seed}`, async () => {
			const { world, copies, cancellations } = await playRandomFailures({
				seed,
				forwarding: seed % 2 === 0,
				teamQuota: seed % 3 === 0,
				lateCopies: { share: 0.2, minDelayMs: 50, maxDelayMs: 30_000 },
				mixedVersions: seed % 4 === 0,
			});
			assert.deepEqual(world.violations, []);
			assert.deepEqual(repeatedAttempts(world), []);
			assert.ok(world.startedAttempts.length >= 20, `only ${world.startedAttempts.length} starts`);
			assert.ok(cancellations >= 1, "no job was cancelled");
			const moved = [...world.starts.values()].filter((machines) => machines.length > 1);
			assert.ok(moved.length >= 1, "no task was started again on a machine");
			for (const kind of copies?.delivered.keys() ?? []) deliveredKinds.add(kind);
		});
	}

	test("copies of every kind of message were delivered", () => {
		for (const kind of kinds) assert.ok(deliveredKinds.has(kind), kind);
	});
});
