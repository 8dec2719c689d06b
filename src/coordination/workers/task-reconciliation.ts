/** Reconciles the tasks that one heartbeat lists with the attempts that the leader has recorded on the machine. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { type TaskId, taskIdOf } from "../../protocol/model/identifiers.js";
import type { ExitCause, TaskStatus } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";

/** The exit of an attempt of this leader. */
export interface AttemptOutcome {
	attempt: Attempt;
	cause: ExitCause;
}

/** Reconciles one machine's tasks with one heartbeat; each heartbeat needs a new instance. */
export class TaskReconciliation {
	/** Attempts that have exited since the previous heartbeat. */
	readonly outcomes: AttemptOutcome[] = [];
	/** Jobs with tasks that the heartbeat lists as done, under attempts of this leader or of earlier leaders. */
	readonly jobsWithDoneTasks = new Set<Job>();
	/** Replicas that are reported running for the first time. */
	readonly startedReplicas: Attempt[] = [];
	/** Tasks that the heartbeat lists under an attempt of this leader, adopted attempts included. */
	readonly #listedTasks = new Set<TaskId>();
	#startListed = false;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly machine: Machine,
		private readonly now: number,
	) {}

	/** True if the heartbeat lists an attempt whose start command had been sent and not yet been confirmed. */
	get startListed(): boolean {
		return this.#startListed;
	}

	/** Applies the state of every task that the heartbeat lists. */
	reconcileListed(tasks: readonly TaskStatus[]): void {
		const listWasFull = this.machine.taskHeadroom === 0;
		this.machine.exitedTasks.clear();
		this.clusterState.clearOrphans(this.machine);
		for (const task of tasks) {
			const taskId = taskIdOf(task.jobId, task.taskIndex);
			const attempt = this.machine.attempts.get(taskId);
			if (attempt?.number === task.attempt) {
				this.#listedTasks.add(taskId);
				this.reconcileAttempt(attempt, task);
			} else if (task.state === "exited") this.reconcileUnknownExit(task);
			else if (this.adoptOrOrphan(task, task.state)) this.#listedTasks.add(taskId);
		}
		if (listWasFull && this.machine.taskHeadroom > 0) this.clusterState.requestPlacement();
	}

	/** True if the heartbeat lacks an attempt whose start command was sent. Called before `reconcileAbsent`. */
	startMissing(): boolean {
		for (const [taskId, { phase, stopRequest }] of this.machine.attempts)
			if (phase === "sent" && stopRequest === null && !this.#listedTasks.has(taskId)) return true;
		return false;
	}

	/**
	 * Ends or retries the attempts that the heartbeat does not list.
	 *
	 * @param newAgentEpoch True if the worker's lease expired since the previous heartbeat, so its tasks were killed.
	 * @returns Attempts that were on the machine and have disappeared.
	 */
	reconcileAbsent(newAgentEpoch: boolean): Attempt[] {
		const { agent } = this.machine;
		const lostAttempts: Attempt[] = [];
		for (const [taskId, attempt] of [...this.machine.attempts]) {
			if (this.#listedTasks.has(taskId)) continue;
			if (attempt.phase === "assigned") {
				if (agent.unreachableSince !== null) this.clusterState.endAttempt(attempt);
				continue;
			}
			// Until the worker has shown this leader's token, responses of earlier leaders may still start tasks, so
			// absence from the list proves nothing ("a heartbeat with an earlier fencing token adds the tasks that it
			// lists but does not prove others absent" in tests/coordination/workers/heartbeat-reconciliation.test.ts).
			if (!newAgentEpoch && !agent.fenced) continue;
			if (attempt.phase === "sent" && !newAgentEpoch && attempt.stopRequest === null)
				this.retryStart(attempt);
			else {
				this.clusterState.endAttempt(attempt);
				lostAttempts.push(attempt);
			}
		}
		return lostAttempts;
	}

	/**
	 * Handles a start whose response was lost. It can no longer be executed, since the worker has sent a later
	 * heartbeat. The start is sent again with the same attempt number; if the machine is unreachable, the attempt ends.
	 */
	private retryStart(attempt: Attempt): void {
		if (this.machine.agent.unreachableSince === null) attempt.markStartLost();
		else this.clusterState.endAttempt(attempt);
	}

	private reconcileAttempt(attempt: Attempt, task: TaskStatus): void {
		this.#startListed ||= attempt.phase === "sent";
		if (task.state !== "exited") {
			if (this.recordState(attempt, task.state) && attempt.job.isService) this.startedReplicas.push(attempt);
			return;
		}
		const cause = task.exitCause ?? "error";
		this.addExited(task);
		if (cause === "done") {
			this.clusterState.markTaskDone(attempt.job, attempt.taskIndex);
			this.jobsWithDoneTasks.add(attempt.job);
		}
		this.clusterState.endAttempt(attempt);
		this.outcomes.push({ attempt, cause });
	}

	/** Records the reported state. Returns true if the attempt is reported running for the first time. */
	private recordState(attempt: Attempt, state: Exclude<TaskStatus["state"], "exited">): boolean {
		if (!attempt.updatePhase(state, this.now)) return false;
		attempt.machine.capacity.recordImageUse(attempt.job.spec.image);
		return true;
	}

	private addExited({ jobId, taskIndex, attempt, exitCause }: TaskStatus): void {
		// The completion of a replica is not recorded, so it need not be stored before the worker forgets the attempt.
		const done = exitCause === "done" && this.clusterState.jobs.get(jobId)?.isService === false;
		this.machine.exitedTasks.add({ jobId, taskIndex, attempt, done });
	}

	/** Handles the exit of an attempt that this leader has no record of. A completion counts nevertheless. */
	private reconcileUnknownExit(task: TaskStatus): void {
		this.addExited(task);
		const job = this.clusterState.jobs.get(task.jobId);
		if (task.exitCause !== "done" || !job || task.taskIndex >= job.spec.taskCount) return;
		this.markDoneByEarlierAttempt(job, task.taskIndex);
		this.jobsWithDoneTasks.add(job);
	}

	/**
	 * Marks a task as done that completed under an attempt of an earlier leader, and ends or stops its current attempt.
	 */
	private markDoneByEarlierAttempt(job: Job, taskIndex: number): void {
		if (job.isService) return;
		this.clusterState.markTaskDone(job, taskIndex);
		const currentAttempt = job.attempts.get(taskIndex);
		if (!currentAttempt) return;
		if (currentAttempt.phase === "assigned") this.clusterState.endAttempt(currentAttempt);
		else currentAttempt.requestStop("task done", 0);
	}

	/**
	 * Adopts a running task that this leader has not recorded on the machine, or records it as orphaned. Returns true
	 * if it was adopted.
	 */
	private adoptOrOrphan(task: TaskStatus, state: Exclude<TaskStatus["state"], "exited">): boolean {
		const job = this.clusterState.jobs.get(task.jobId);
		if (!job || !shouldContinue(job, task)) {
			const { jobId, taskIndex, attempt } = task;
			this.clusterState.addOrphan(this.machine, { jobId, taskIndex, attempt });
			return false;
		}
		const earlierAttempt = job.attempts.get(task.taskIndex);
		if (earlierAttempt) this.clusterState.endAttempt(earlierAttempt);
		const attempt = this.clusterState.adoptAttempt(job, task.taskIndex, task.attempt, this.machine);
		this.recordState(attempt, state);
		return true;
	}
}

/**
 * True if a listed task should continue to run. Of two attempts the one with the larger number is current: an attempt
 * is assigned only when the previous one is confirmed to have ended, but after a failover a late copy of a heartbeat
 * may list the previous one again ("a late copy that lists an earlier attempt does not replace the later attempt of the
 * task" in tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
function shouldContinue(job: Job, { taskIndex, attempt }: TaskStatus): boolean {
	if (taskIndex >= job.spec.taskCount || job.doneTasks.has(taskIndex)) return false;
	const currentAttempt = job.attempts.get(taskIndex);
	return currentAttempt === undefined || currentAttempt.number < attempt;
}
