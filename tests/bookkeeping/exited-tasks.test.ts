import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ExitedTask, ExitedTasks } from "../../src/bookkeeping/exited-tasks.js";

const exited = (taskIndex: number, done = false): ExitedTask => ({
	jobId: "j-1",
	taskIndex,
	attempt: 1,
	done,
});
/** Only the outcomes of tasks that are not done count as recorded; those of done tasks are still being stored. */
const isRecorded = ({ done }: ExitedTask) => !done;

describe("the exited tasks that a machine lists", () => {
	test("are selected for forget commands once their outcome is recorded, in the order of the list", () => {
		const tasks = new ExitedTasks();
		for (const task of [exited(0), exited(1, true), exited(2)]) tasks.add(task);
		assert.deepEqual(tasks.selectForgettable(isRecorded, false), [exited(0), exited(2)]);
		assert.equal(tasks.heartbeatTrigger, null);
	});

	test("leave the last one of those selected as the heartbeat trigger, which is consumed once", () => {
		const tasks = new ExitedTasks();
		for (const task of [exited(0), exited(1), exited(2, true)]) tasks.add(task);
		assert.deepEqual(tasks.selectForgettable(isRecorded, true), [exited(0)]);
		assert.deepEqual(tasks.heartbeatTrigger, exited(1));
		assert.deepEqual(tasks.consumeHeartbeatTrigger(), exited(1));
		assert.equal(tasks.consumeHeartbeatTrigger(), null);
	});

	test("leave no heartbeat trigger if no outcome is recorded or no trigger is requested", () => {
		const tasks = new ExitedTasks();
		tasks.add(exited(0, true));
		assert.deepEqual(tasks.selectForgettable(isRecorded, true), []);
		assert.equal(tasks.heartbeatTrigger, null);
		tasks.add(exited(1));
		tasks.selectForgettable(isRecorded, true);
		assert.notEqual(tasks.heartbeatTrigger, null);
		tasks.selectForgettable(isRecorded, false);
		assert.equal(tasks.heartbeatTrigger, null);
	});

	test("are only those added since the list was last cleared, as each heartbeat lists them anew", () => {
		const tasks = new ExitedTasks();
		tasks.add(exited(0));
		tasks.clear();
		tasks.clear();
		tasks.add(exited(1));
		assert.deepEqual(tasks.selectForgettable(isRecorded, false), [exited(1)]);
	});
});
