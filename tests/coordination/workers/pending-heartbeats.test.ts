import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { PendingHeartbeats } from "../../../src/coordination/workers/pending-heartbeats.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import { FakeTime } from "../../support/fake-time.js";

const start: WorkerCommand = { kind: "start", jobId: "j-1", taskIndex: 0, attempt: 1 };

/** Creates pending heartbeats with the same start command for every machine. */
function setUp() {
	const clock = new FakeTime();
	const pending = new PendingHeartbeats({ clock, post: (action) => action(), commandsFor: () => [start] });
	/** Holds a response. The commands are undefined until it is released. */
	const hold = (machineId: string, dueAt: number, reason: "placement" | "idle") => {
		const result: { commands?: WorkerCommand[] | null } = {};
		pending.hold(machineId, dueAt, reason).then((commands) => {
			result.commands = commands;
		});
		return result;
	};
	return { clock, pending, hold };
}

describe("heartbeats whose responses are held", () => {
	test("are answered with the machine's commands when they are due", async () => {
		const { clock, pending, hold } = setUp();
		const held = hold("n-1", 100, "placement");
		await clock.advance(60);
		assert.equal(held.commands, undefined);
		assert.ok(pending.has("n-1"));
		await clock.advance(90);
		assert.deepEqual(held.commands, [start]);
		assert.equal(pending.has("n-1"), false);
	});

	test("are answered without commands when a later heartbeat of the machine arrives", async () => {
		const { clock, pending, hold } = setUp();
		const earlier = hold("n-1", 1000, "placement");
		pending.supersede("n-1");
		const later = hold("n-1", 1000, "placement");
		pending.release("n-1");
		await clock.advance(1);
		assert.deepEqual([earlier.commands, later.commands], [[], [start]]);
	});

	test("for a placement are answered by releaseAwaitingPlacement, while those of idle machines stay held", async () => {
		const { clock, pending, hold } = setUp();
		const placement = hold("n-1", 1000, "placement");
		const idle = hold("n-2", 1000, "idle");
		pending.releaseAwaitingPlacement();
		await clock.advance(1);
		assert.deepEqual([placement.commands, idle.commands], [[start], undefined]);
	});

	test("are completed with null when this process may no longer answer", async () => {
		const { clock, pending, hold } = setUp();
		const held = [hold("n-1", 1000, "placement"), hold("n-2", 1000, "idle")];
		pending.refuseAll();
		await clock.advance(1);
		assert.deepEqual(
			held.map(({ commands }) => commands),
			[null, null],
		);
		assert.equal(pending.has("n-1"), false);
	});
});
