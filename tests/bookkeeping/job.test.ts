import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt } from "../../src/bookkeeping/attempt.js";
import { Job } from "../../src/bookkeeping/job.js";
import { TaskSet } from "../../src/bookkeeping/task-set.js";
import { attemptOf, jobOf, machineOf } from "../support/machines.js";
import { specOf } from "../support/specs.js";

describe("the waiting tasks of a job", () => {
	test("are dequeued in ascending order, each once", () => {
		const job = jobOf("j-1", { taskCount: 3 });
		assert.deepEqual(
			[0, 1, 2, 3].map(() => job.dequeueWaitingTask()),
			[0, 1, 2, undefined],
		);
	});

	test("do not include tasks that are done or have an attempt", () => {
		const job = jobOf("j-1", { taskCount: 3 });
		job.markTaskDone(1);
		job.addAttempt(attemptOf(job, machineOf()));
		assert.equal(job.dequeueWaitingTask(), 2, "tasks 0 and 1 are skipped");
		job.resetWaitingTasks();
		assert.deepEqual([...job.waitingTasks], [2]);
	});

	test("include a requeued task, unless it is done or the job has ended", () => {
		const job = jobOf("j-1", { taskCount: 3 });
		for (let i = 0; i < 3; i++) job.dequeueWaitingTask();
		job.requeueTask(1);
		assert.deepEqual([...job.waitingTasks], [1]);
		job.markTaskDone(2);
		job.requeueTask(2);
		assert.deepEqual([...job.waitingTasks], [1], "task 2 is done");
		job.end();
		job.requeueTask(0);
		assert.deepEqual([...job.waitingTasks], [], "the job has ended");
	});

	test("do not include a task of which an attempt was found on a machine", () => {
		const job = jobOf("j-1", { taskCount: 3 });
		job.addAttempt(attemptOf(job, machineOf(), { taskIndex: 1 }));
		assert.deepEqual([...job.waitingTasks], [0, 2]);
		assert.equal(job.waitingTasks.count, 2);
	});

	test("are ready to start unless the job is in backoff after failures", () => {
		const job = jobOf("j-1", { taskCount: 1 });
		assert.equal(job.hasReadyTask(0), true);
		job.failures.backOffUntil(100);
		assert.equal(job.hasReadyTask(99), false);
		assert.equal(job.hasReadyTask(100), true);
		job.dequeueWaitingTask();
		assert.equal(job.hasReadyTask(100), false);
	});
});

describe("the attempts of a job", () => {
	test("are removed only once, and the removal of an old attempt leaves a later one of the same task", () => {
		const job = jobOf("j-1");
		const [first, second] = [1, 2].map((number) => attemptOf(job, machineOf(), { number })) as [
			Attempt,
			Attempt,
		];
		job.addAttempt(first);
		assert.equal(job.removeAttempt(first), true);
		assert.equal(job.removeAttempt(first), false);
		job.addAttempt(second);
		assert.equal(job.removeAttempt(first), false);
		assert.equal(job.attempts.get(0), second);
	});

	test("count as running while they run or save a checkpoint", () => {
		const job = jobOf("j-1");
		const attempt = attemptOf(job, machineOf());
		job.addAttempt(attempt);
		const counts = [job.runningCount];
		for (const state of ["fetching", "running", "checkpointing"] as const) {
			attempt.updatePhase(state, 1);
			counts.push(job.runningCount);
		}
		assert.deepEqual(counts, [0, 0, 1, 1]);
	});
});

describe("the done tasks of a job", () => {
	test("are marked once, and their pages are returned once as changed", () => {
		const job = jobOf("j-1", { taskCount: 5000 });
		assert.equal(job.markTaskDone(1), true);
		assert.equal(job.markTaskDone(1), false);
		assert.equal(job.markTaskDone(4999), true);
		assert.equal(job.markTaskDone(5000), false, "the job has no such task");
		assert.deepEqual([...job.consumeChangedPages()], [0, 1]);
		assert.deepEqual([...job.consumeChangedPages()], []);
		job.markTaskDone(2);
		assert.deepEqual([...job.consumeChangedPages()], [0]);
	});

	test("are durable once the store has confirmed their page", () => {
		const job = jobOf("j-1");
		job.markTaskDone(1);
		assert.equal(job.durableDoneTasks.has(1), false);
		job.markPageDurable(0, job.doneTasks.encodePage(0));
		assert.equal(job.durableDoneTasks.has(1), true);
		assert.equal(job.durableDoneTasks.has(0), false);
	});

	test("are never marked for a service job, even if a replica reports its completion", () => {
		const job = jobOf("j-1", { form: "service", taskCount: 1 });
		assert.equal(job.markTaskDone(0), false);
		assert.equal(job.doneTasks.full, false);
		assert.deepEqual([...job.consumeChangedPages()], []);
	});

	test("are loaded from the pages in the store, and are not returned as changed", () => {
		const stored = new TaskSet(3);
		stored.add(1);
		const job = new Job("j-1", specOf("j-1", { taskCount: 3 }), 0, 1);
		job.load([[0, stored.encodePage(0)]], 700);
		assert.equal(job.loadedAt, 700);
		assert.ok(job.doneTasks.has(1) && job.durableDoneTasks.has(1));
		assert.deepEqual([...job.waitingTasks], [0, 2]);
		assert.deepEqual([...job.consumeChangedPages()], [], "the store has these pages");
	});
});

describe("the end of a job", () => {
	test("follows finalizing, during which the final record may be written repeatedly", () => {
		const job = jobOf("j-1");
		assert.deepEqual(
			[job.finalizing, job.ended, job.lastFinalWriteAt],
			[false, false, Number.NEGATIVE_INFINITY],
		);
		job.startFinalizing(100);
		job.startFinalizing(200);
		assert.deepEqual([job.finalizing, job.ended, job.lastFinalWriteAt], [true, false, 200]);
		job.end();
		assert.deepEqual([job.finalizing, job.ended], [false, true]);
	});

	test("leaves no waiting tasks and cannot be followed by finalizing", () => {
		const job = jobOf("j-1");
		job.end();
		assert.deepEqual([...job.waitingTasks], []);
		job.startFinalizing(300);
		assert.deepEqual([job.finalizing, job.ended], [false, true]);
	});
});

describe("the estimated run time of a job's tasks", () => {
	test("is the user's estimate until a run has finished, and then the mean of the finished runs", () => {
		const job = jobOf("j-1", { estimatedRunS: 10 });
		assert.equal(job.estimatedRunS, 10);
		job.recordRun(20);
		job.recordRun(40);
		assert.equal(job.finishedRuns, 2);
		assert.equal(job.estimatedRunS, 30);
	});

	test("is 0 for a service job, because its replicas run until the job is cancelled", () => {
		const job = jobOf("j-1", { form: "service", estimatedRunS: 10 });
		job.recordRun(20);
		assert.equal(job.estimatedRunS, 0);
	});
});

describe("the placement state of a job", () => {
	test("records whether a reservation was used, and until when the leader places the job", () => {
		const job = jobOf("j-1");
		assert.deepEqual([job.reservationUsed, job.placedByLeaderUntil], [false, 0]);
		job.markReservationUsed();
		job.placeByLeaderUntil(5000);
		assert.deepEqual([job.reservationUsed, job.placedByLeaderUntil], [true, 5000]);
	});

	test("has a demand key that is equal for jobs that make the same demands on machines", () => {
		assert.equal(jobOf("j-1", { team: "red" }).demandKey, jobOf("j-2", { team: "blue" }).demandKey);
		assert.notEqual(jobOf("j-1").demandKey, jobOf("j-2", { zone: "a" }).demandKey);
	});
});
