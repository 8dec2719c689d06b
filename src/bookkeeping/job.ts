/** The leader's state of a live job: its tasks, its attempts, its run times and its failures. */

import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { isService, type JobSpec, priorityRank } from "../protocol/model/job.js";
import type { Attempt } from "./attempt.js";
import { FailureHistory } from "./failure-history.js";
import { type ReadonlyTaskSet, TaskSet, tasksPerPage } from "./task-set.js";
import { type ReadonlyWaitingTasks, WaitingTasks } from "./waiting-tasks.js";

/** Stage of a job during the term of one leader. */
type JobStage =
	| { kind: "live" }
	/** All tasks are done, and the final record is being written; the last write began at this monotonic time. */
	| { kind: "finalizing"; lastWriteAt: number }
	/** The job has ended in the store. */
	| { kind: "ended" };

/**
 * State of one job. Each task is done, has one attempt or waits; a done task may still have an attempt that has not
 * ended yet. Only the cluster state adds and removes attempts.
 */
export class Job {
	/** The failures of the job's tasks. */
	readonly failures: FailureHistory;

	/** Equal for jobs whose tasks make the same demands on machines. */
	readonly demandKey: string;

	readonly #doneTasks: TaskSet;
	readonly #durableDoneTasks: TaskSet;
	#changedPages = new Set<number>();
	readonly #attempts = new Map<number, Attempt>();
	readonly #waitingTasks: WaitingTasks;
	#stage: JobStage = { kind: "live" };
	#finishedRuns = 0;
	#totalFinishedRunS = 0;
	#loadedAt = 0;
	#reservationUsed = false;
	#placedByLeaderUntil = 0;

	/**
	 * @param acceptedAt Wall-clock time of the submission, in milliseconds.
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
		this.#waitingTasks = new WaitingTasks(spec.taskCount, (taskIndex) => this.isTaken(taskIndex));
	}

	/** True for a service job: its tasks are replicas, which run until the job is cancelled and are never done. */
	get isService(): boolean {
		return isService(this.spec);
	}

	/** Rank of the job's priority; a smaller rank is more urgent. */
	get priorityRank(): number {
		return priorityRank[this.spec.priority];
	}

	/** Monotonic time at which this leader loaded the job. */
	get loadedAt(): number {
		return this.#loadedAt;
	}

	/** Loads the done tasks from the pages of the bitmap that the store holds; all other tasks wait. */
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

	/** Done tasks whose record the store has confirmed. */
	get durableDoneTasks(): ReadonlyTaskSet {
		return this.#durableDoneTasks;
	}

	/** Marks a task as done and returns true if it was not. A replica is never done, whatever its worker reports. */
	markTaskDone(taskIndex: number): boolean {
		const exists = taskIndex >= 0 && taskIndex < this.spec.taskCount;
		if (this.isService || !exists || this.#doneTasks.has(taskIndex)) return false;
		this.#waitingTasks.remove(taskIndex);
		this.#doneTasks.add(taskIndex);
		this.#changedPages.add(Math.floor(taskIndex / tasksPerPage));
		return true;
	}

	/** Returns the pages of the done tasks that have changed since the last call. */
	consumeChangedPages(): ReadonlySet<number> {
		const pages = this.#changedPages;
		if (pages.size > 0) this.#changedPages = new Set();
		return pages;
	}

	/** Adds a page of done tasks that the store has confirmed. */
	markPageDurable(page: number, bits: string): void {
		this.#durableDoneTasks.addPage(page, bits);
	}

	// --- waiting tasks and attempts ---

	/** Tasks that are neither done nor have an attempt, in the order in which they start. */
	get waitingTasks(): ReadonlyWaitingTasks {
		return this.#waitingTasks;
	}

	/** Makes all tasks wait that are neither done nor have an attempt; the one with the lowest number starts first. */
	resetWaitingTasks(): void {
		let taken = this.#doneTasks.count;
		for (const taskIndex of this.#attempts.keys()) if (!this.#doneTasks.has(taskIndex)) taken += 1;
		this.#waitingTasks.reset(taken);
	}

	/** True if a task waits and the job is not in backoff after failures. */
	hasReadyTask(now: number): boolean {
		return this.#waitingTasks.count > 0 && this.failures.retryNotBefore <= now;
	}

	/** Removes and returns the next waiting task, to which the caller adds an attempt; undefined: there is none. */
	dequeueWaitingTask(): number | undefined {
		return this.#waitingTasks.dequeue();
	}

	private isTaken(taskIndex: number): boolean {
		return this.#doneTasks.has(taskIndex) || this.#attempts.has(taskIndex);
	}

	/** Attempts that run or may run, by task number. */
	get attempts(): ReadonlyMap<number, Attempt> {
		return this.#attempts;
	}

	/** Adds the attempt of a task that has none, such as one that was dequeued or found on a machine. */
	addAttempt(attempt: Attempt): void {
		this.#waitingTasks.remove(attempt.taskIndex);
		this.#attempts.set(attempt.taskIndex, attempt);
	}

	/** Removes an attempt that has ended. Returns false if the task has another attempt, or none. */
	removeAttempt(attempt: Attempt): boolean {
		if (this.#attempts.get(attempt.taskIndex) !== attempt) return false;
		return this.#attempts.delete(attempt.taskIndex);
	}

	/** Makes the task wait after the removal of its attempt, unless it is done or the job has ended. */
	requeueTask(taskIndex: number): void {
		if (!this.ended && !this.#doneTasks.has(taskIndex)) this.#waitingTasks.requeue(taskIndex);
	}

	/** Number of tasks that run, including those that save a checkpoint before they end. */
	get runningCount(): number {
		let count = 0;
		for (const { phase } of this.#attempts.values())
			if (phase === "running" || phase === "checkpointing") count += 1;
		return count;
	}

	// --- end of the job ---

	/** True if all tasks are done and the final record is being written. */
	get finalizing(): boolean {
		return this.#stage.kind === "finalizing";
	}

	/** Monotonic time at which the last write of the final record began; -Infinity: the job is not finalizing. */
	get lastFinalWriteAt(): number {
		return this.#stage.kind === "finalizing" ? this.#stage.lastWriteAt : Number.NEGATIVE_INFINITY;
	}

	/** True if the job has ended in the store: none of its tasks may start. */
	get ended(): boolean {
		return this.#stage.kind === "ended";
	}

	/** Records that a write of the final record begins, also for each retry. No task of the job starts any more. */
	startFinalizing(now: number): void {
		if (!this.ended) this.#stage = { kind: "finalizing", lastWriteAt: now };
	}

	/** Marks the job as ended in the store, by completion or by cancellation. */
	end(): void {
		this.#stage = { kind: "ended" };
		this.#waitingTasks.clear();
	}

	// --- run times ---

	/** Estimated run time of a task: the mean of the finished runs, otherwise the user's estimate; 0 for replicas. */
	get estimatedRunS(): number {
		if (this.isService) return 0;
		return this.#finishedRuns > 0 ? this.#totalFinishedRunS / this.#finishedRuns : this.spec.estimatedRunS;
	}

	/** Runs that have completed under this leader. */
	get finishedRuns(): number {
		return this.#finishedRuns;
	}

	/** Records the duration of a completed run. */
	recordRun(seconds: number): void {
		this.#finishedRuns += 1;
		this.#totalFinishedRunS += seconds;
	}

	// --- placement ---

	/** True if the job has used a machine reservation. Each job gets a reservation once, for its first task. */
	get reservationUsed(): boolean {
		return this.#reservationUsed;
	}

	/** Records that the task for which a machine was reserved has started. */
	markReservationUsed(): void {
		this.#reservationUsed = true;
	}

	/** Monotonic time until which the leader places the job, even if its team has another placer. */
	get placedByLeaderUntil(): number {
		return this.#placedByLeaderUntil;
	}

	/** Makes the leader place the job until this monotonic time, because the team's placer does not have the job. */
	placeByLeaderUntil(until: number): void {
		this.#placedByLeaderUntil = until;
	}
}
