import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ExitedTask, ExitedTasks } from "../../src/bookkeeping/exited-tasks.js";

const exited = (taskIndex: number, done = false): ExitedTask => ({
	jobId: "j-1",
	taskIndex,
	attempt: 1,
	done,
});
const isRecorded = ({ done }: ExitedTask) => !done;

describe("the exited tasks that a machine lists", () => {
	test("can be forgotten once their outcome is recorded, in their order", () => {
		const tasks = new ExitedTasks();
		for (const task of [exited(0), exited(1, true), exited(2)]) tasks.add(task);
		assert.deepEqual(tasks.selectForgettable(isRecorded, false), [exited(0), exited(2)]);
		assert.equal(tasks.heartbeatTrigger, null);
	});

	test("leave their last one that can be forgotten as heartbeat trigger, to be taken once", () => {
		const tasks = new ExitedTasks();
		for (const task of [exited(0), exited(1), exited(2, true)]) tasks.add(task);
		assert.deepEqual(tasks.selectForgettable(isRecorded, true), [exited(0)]);
		assert.deepEqual(tasks.heartbeatTrigger, exited(1));
		assert.deepEqual(tasks.consumeHeartbeatTrigger(), exited(1));
		assert.equal(tasks.consumeHeartbeatTrigger(), null);
	});

	test("leave none where none can be forgotten or none is to be left", () => {
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

	test("are listed anew by each heartbeat", () => {
		const tasks = new ExitedTasks();
		tasks.add(exited(0));
		tasks.clear();
		tasks.clear();
		tasks.add(exited(1));
		assert.deepEqual(tasks.selectForgettable(isRecorded, false), [exited(1)]);
	});
});
