import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { WaitingTasks } from "../../src/bookkeeping/waiting-tasks.js";

const taskCount = 40;

/** Waiting tasks beside a plain record of which tasks are done, have an attempt or wait again. */
class Scenario {
	readonly done = new Set<number>();
	readonly attempts = new Set<number>();
	readonly waiting = new WaitingTasks(taskCount, (i) => this.done.has(i) || this.attempts.has(i));

	expectedCount(): number {
		return taskCount - new Set([...this.done, ...this.attempts]).size;
	}

	start(): number | undefined {
		const taskIndex = this.waiting.dequeue();
		if (taskIndex !== undefined) this.take(this.attempts, taskIndex);
		return taskIndex;
	}

	/** Adds the task to the done tasks, or to those with an attempt. */
	take(tasks: Set<number>, taskIndex: number): void {
		this.waiting.remove(taskIndex);
		tasks.add(taskIndex);
	}

	endAttempt(taskIndex: number): void {
		if (!this.attempts.delete(taskIndex)) return;
		if (!this.done.has(taskIndex)) this.waiting.requeue(taskIndex);
	}
}

describe("waiting tasks", () => {
	test("start in ascending order, those that wait again first", () => {
		const scenario = new Scenario();
		for (let i = 0; i < 5; i++) scenario.start();
		scenario.endAttempt(1);
		scenario.endAttempt(3);
		assert.deepEqual([...scenario.waiting].slice(0, 4), [3, 1, 5, 6]);
		assert.deepEqual(
			[1, 2, 3, 4].map(() => scenario.start()),
			[3, 1, 5, 6],
		);
	});

	test("are exactly the tasks that are neither done nor attempted, after any sequence of events", () => {
		for (let seed = 1; seed <= 200; seed++) {
			const random = xoroshiro128plus(seed);
			const scenario = new Scenario();
			for (let step = 0; step < 300; step++) {
				const taskIndex = uniformInt(random, 0, taskCount - 1);
				const event = uniformInt(random, 0, 9);
				if (event < 4) scenario.start();
				else if (event < 5 && !scenario.attempts.has(taskIndex) && !scenario.done.has(taskIndex))
					scenario.take(scenario.attempts, taskIndex);
				else if (event < 6 && step % 5 === 0) scenario.take(scenario.done, taskIndex);
				else scenario.endAttempt(taskIndex);
				const listed = [...scenario.waiting];
				assert.equal(scenario.waiting.count, scenario.expectedCount(), `seed ${seed}, step ${step}`);
				assert.equal(new Set(listed).size, listed.length, "no task waits twice");
				assert.equal(listed.length, scenario.expectedCount());
				assert.ok(listed.every((i) => !scenario.done.has(i) && !scenario.attempts.has(i)));
			}
			const started = new Set<number>();
			for (let next = scenario.start(); next !== undefined; next = scenario.start()) started.add(next);
			for (let i = 0; i < taskCount; i++)
				assert.ok(scenario.done.has(i) || scenario.attempts.has(i), `task ${i} never starts, seed ${seed}`);
			assert.equal(scenario.waiting.count, 0);
		}
	});
});
