/** A live job as its leader sees it: its tasks, its attempts and what is known of its run times and failures. */

import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { isService, type JobSpec, priorityRank } from "../protocol/model/job.js";
import type { Attempt } from "./attempt.js";
import { FailureHistory } from "./failure-history.js";
import { type ReadonlyTaskSet, TaskSet, tasksPerPage } from "./task-set.js";

/** Where a job is in its life with one leader. */
type JobStage =
	| { kind: "live" }
	/** All tasks are done, and the record that says so is being written; it was last tried at this steady time. */
	| { kind: "finalizing"; lastTriedAt: number }
	/** The job has ended in the store. */
	| { kind: "over" };

/**
 * Owns the state of one job. Each task is done, has one attempt or waits; a task that is done may still have an
 * attempt that ends. The cluster state alone adds and removes attempts.
 */
export class Job {
	/** What has failed, where and when. */
	readonly failures: FailureHistory;

	/** The same for jobs whose tasks make the same demands on machines. */
	readonly demandKey: string;

	readonly #doneTasks: TaskSet;
	readonly #durableDoneTasks: TaskSet;
	#changedPages = new Set<number>();
	readonly #attempts = new Map<number, Attempt>();
	readonly #waitingTasks: number[] = [];
	#stage: JobStage = { kind: "live" };
	#finishedRuns = 0;
	#finishedSeconds = 0;
	#loadedAt = 0;
	#hadReservation = false;
	#placedByLeaderUntil = 0;

	/**
	 * @param acceptedAt Time of day of the submission, in milliseconds.
	 * @param revision Revision of the job's live record.
	 */
	constructor(
		readonly id: JobId,
		readonly spec: JobSpec,
		readonly acceptedAt: number,
		readonly revision: Revision,
	) {
		const { machineTypes, zone, allowSpot, cpus, gpus, memoryGb } = spec;
		this.demandKey = JSON.stringify([machineTypes, zone, allowSpot, cpus, gpus, memoryGb]);
		this.failures = new FailureHistory(isService(spec));
		this.#doneTasks = new TaskSet(spec.taskCount);
		this.#durableDoneTasks = new TaskSet(spec.taskCount);
	}

	/** Its tasks are replicas: they run until the job is cancelled, and none is ever done. */
	get isService(): boolean {
		return isService(this.spec);
	}

	/** The rank of its priority: smaller ranks come first. */
	get priorityRank(): number {
		return priorityRank[this.spec.priority];
	}

	/** Steady time at which this leader came to know the job. */
	get loadedAt(): number {
		return this.#loadedAt;
	}

	/** Takes over the done tasks that the store holds, as pages of the bitmap. */
	load(donePages: Iterable<[page: number, bits: string]>, now: number): void {
		for (const [page, bits] of donePages) {
			this.#doneTasks.addPage(page, bits);
			this.#durableDoneTasks.addPage(page, bits);
		}
		this.#loadedAt = now;
		this.resetWaitingTasks();
	}

	// --- done tasks ---

	/** Tasks that have completed. */
	get doneTasks(): ReadonlyTaskSet {
		return this.#doneTasks;
	}

	/** The part of the done tasks that the store has confirmed. */
	get durableDoneTasks(): ReadonlyTaskSet {
		return this.#durableDoneTasks;
	}

	/** The task has completed; false: that was known. A replica is never done, whatever it reports. */
	markTaskDone(taskIndex: number): boolean {
		if (this.isService || !this.#doneTasks.add(taskIndex)) return false;
		this.#changedPages.add(Math.floor(taskIndex / tasksPerPage));
		return true;
	}

	/** Pages of the done tasks that have changed since the last call. */
	consumeChangedPages(): ReadonlySet<number> {
		const pages = this.#changedPages;
		if (pages.size > 0) this.#changedPages = new Set();
		return pages;
	}

	/** The store has confirmed this page of the done tasks. */
	markPageDurable(page: number, bits: string): void {
		this.#durableDoneTasks.addPage(page, bits);
	}

	// --- waiting tasks and attempts ---

	/** Tasks that are neither done nor have an attempt; the last one starts first. */
	get waitingTasks(): readonly number[] {
		return this.#waitingTasks;
	}

	/** Works out the waiting tasks anew, the lowest number to start first. */
	resetWaitingTasks(): void {
		this.#waitingTasks.length = 0;
		for (let i = this.spec.taskCount - 1; i >= 0; i--) {
			if (!this.#doneTasks.has(i) && !this.#attempts.has(i)) this.#waitingTasks.push(i);
		}
	}

	/** A task waits, and no pause after failures keeps it from being tried. */
	hasReadyTask(now: number): boolean {
		return this.#waitingTasks.length > 0 && this.failures.retryNotBefore <= now;
	}

	/** Takes the next waiting task that needs an attempt; undefined: there is none. */
	dequeueWaitingTask(): number | undefined {
		let taskIndex = this.#waitingTasks.pop();
		while (taskIndex !== undefined && (this.#doneTasks.has(taskIndex) || this.#attempts.has(taskIndex)))
			taskIndex = this.#waitingTasks.pop();
		return taskIndex;
	}

	/** Attempts that run or may run, by task. */
	get attempts(): ReadonlyMap<number, Attempt> {
		return this.#attempts;
	}

	/** The task has an attempt from now on. */
	addAttempt(attempt: Attempt): void {
		this.#attempts.set(attempt.taskIndex, attempt);
	}

	/** The task does not wait any more: an attempt of it was found on a machine. */
	removeWaitingTask(taskIndex: number): void {
		const at = this.#waitingTasks.indexOf(taskIndex);
		if (at >= 0) this.#waitingTasks.splice(at, 1);
	}

	/** The attempt is proved over; false: the task has another one, or none. */
	removeAttempt(attempt: Attempt): boolean {
		if (this.#attempts.get(attempt.taskIndex) !== attempt) return false;
		return this.#attempts.delete(attempt.taskIndex);
	}

	/** The task waits again after its attempt, unless it is done or the job is over. */
	requeueTask(taskIndex: number): void {
		if (!this.ended && !this.#doneTasks.has(taskIndex)) this.#waitingTasks.push(taskIndex);
	}

	/** Tasks that run, or save before they end. */
	get runningCount(): number {
		let count = 0;
		for (const { phase } of this.#attempts.values())
			if (phase === "running" || phase === "checkpointing") count += 1;
		return count;
	}

	// --- the end ---

	/** All tasks are done, and the record that ends the job is being written. */
	get finalizing(): boolean {
		return this.#stage.kind === "finalizing";
	}

	/** Steady time at which writing that record was last tried; -Infinity: never. */
	get lastFinalWriteAt(): number {
		return this.#stage.kind === "finalizing" ? this.#stage.lastTriedAt : Number.NEGATIVE_INFINITY;
	}

	/** The job has ended in the store: nothing of it may start. */
	get ended(): boolean {
		return this.#stage.kind === "over";
	}

	/** The record that ends the job is being written; repeated for every try. Nothing of the job starts any more. */
	startFinalizing(now: number): void {
		if (!this.ended) this.#stage = { kind: "finalizing", lastTriedAt: now };
	}

	/** The job has ended in the store, by completion or by cancellation. */
	end(): void {
		this.#stage = { kind: "over" };
		this.#waitingTasks.length = 0;
	}

	// --- run times ---

	/** Estimated run time of a task: the mean of those finished, else the owner's estimate. Replicas have none: 0. */
	get estimatedRunS(): number {
		if (this.isService) return 0;
		return this.#finishedRuns > 0 ? this.#finishedSeconds / this.#finishedRuns : this.spec.estimatedRunS;
	}

	/** Runs that have completed under this leader. */
	get finishedRuns(): number {
		return this.#finishedRuns;
	}

	/** A run has completed after so many seconds. */
	recordRun(seconds: number): void {
		this.#finishedRuns += 1;
		this.#finishedSeconds += seconds;
	}

	// --- placement ---

	/** A machine was reserved for the job's first task, which is done once for each job. */
	get reservationUsed(): boolean {
		return this.#hadReservation;
	}

	/** The task that the machine was reserved for has started. */
	markReservationUsed(): void {
		this.#hadReservation = true;
	}

	/** Steady time until which the leader places the job, whoever its team's placer is. */
	get placedByLeaderUntil(): number {
		return this.#placedByLeaderUntil;
	}

	/** The leader places the job until this steady time: the team's placer does not know it. */
	placeByLeaderUntil(until: number): void {
		this.#placedByLeaderUntil = until;
	}
}
