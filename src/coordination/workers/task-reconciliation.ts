/** Squares the tasks that one heartbeat lists with the attempts that the leader knows on the machine. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { type TaskId, taskIdOf } from "../../protocol/model/identifiers.js";
import type { ExitCause, TaskStatus } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";

/** How an attempt of this leader has ended. */
export interface AttemptOutcome {
	attempt: Attempt;
	cause: ExitCause;
}

/** The reconciliation of one machine's tasks with one heartbeat; made anew for each heartbeat. */
export class TaskReconciliation {
	/** Attempts that have exited since the heartbeat before. */
	readonly outcomes: AttemptOutcome[] = [];
	/** Jobs of which tasks are listed as done, under this leader's attempts or those of earlier ones. */
	readonly jobsWithDoneTasks = new Set<Job>();
	/** Replicas that are reported running for the first time. */
	readonly startedReplicas: Attempt[] = [];
	/** Tasks of which the machine has an attempt of this leader. */
	readonly #listed = new Set<TaskId>();
	#startListed = false;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly machine: Machine,
		private readonly now: number,
	) {}

	/** A start command that was sent shows in the heartbeat. */
	get startListed(): boolean {
		return this.#startListed;
	}

	/** Takes over the state of every task that the heartbeat lists. */
	reconcileListed(tasks: readonly TaskStatus[]): void {
		this.machine.exitedTasks.clear();
		this.clusterState.clearOrphans(this.machine);
		for (const task of tasks) {
			const taskId = taskIdOf(task.jobId, task.taskIndex);
			const attempt = this.machine.attempts.get(taskId);
			if (attempt?.number === task.attempt) {
				this.#listed.add(taskId);
				this.reconcileAttempt(attempt, task);
			} else if (task.state === "exited") this.reconcileUnknownExit(task);
			else if (this.adoptOrOrphan(task, task.state)) this.#listed.add(taskId);
		}
	}

	/** Whether a start command was sent that the heartbeat does not show. Called before `reconcileAbsent`. */
	startMissing(): boolean {
		for (const [taskId, { phase, stopRequest: stop }] of this.machine.attempts)
			if (phase === "sent" && stop === null && !this.#listed.has(taskId)) return true;
		return false;
	}

	/**
	 * Judges the attempts that the heartbeat does not list.
	 *
	 * @param newAgentEpoch The worker's lease expired since the heartbeat before, so it has killed all its tasks.
	 * @returns Attempts that are gone though they were on the machine.
	 */
	reconcileAbsent(newAgentEpoch: boolean): Attempt[] {
		const { agent } = this.machine;
		const lost: Attempt[] = [];
		for (const [taskId, attempt] of [...this.machine.attempts]) {
			if (this.#listed.has(taskId)) continue;
			if (attempt.phase === "assigned") {
				if (agent.unreachableSince !== null) this.clusterState.endAttempt(attempt);
				continue;
			}
			// Responses of earlier leaders may still start tasks until the worker has shown this leader's token, so before
			// that absence proves nothing ("a heartbeat with an earlier fencing token adds tasks but proves no absence" in
			// tests/coordination/workers/heartbeat-reconciliation.test.ts).
			if (!newAgentEpoch && !agent.fenced) continue;
			if (attempt.phase === "sent" && !newAgentEpoch && attempt.stopRequest === null)
				this.retryStart(attempt);
			else {
				this.clusterState.endAttempt(attempt);
				lost.push(attempt);
			}
		}
		return lost;
	}

	/**
	 * The response with the start was lost and can no longer be carried out, since the worker has sent a heartbeat
	 * after it. The start is sent again with the same number or, where responses do not arrive at all, given up.
	 */
	private retryStart(attempt: Attempt): void {
		if (this.machine.agent.unreachableSince === null) attempt.markStartLost();
		else this.clusterState.endAttempt(attempt);
	}

	private reconcileAttempt(attempt: Attempt, task: TaskStatus): void {
		this.#startListed ||= attempt.phase === "sent";
		if (task.state !== "exited") {
			if (this.noteState(attempt, task.state) && attempt.job.isService) this.startedReplicas.push(attempt);
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

	/** Returns whether the attempt is reported running for the first time. */
	private noteState(attempt: Attempt, state: Exclude<TaskStatus["state"], "exited">): boolean {
		if (!attempt.updatePhase(state, this.now)) return false;
		attempt.machine.capacity.recordImageUse(attempt.job.spec.image);
		return true;
	}

	private addExited({ jobId, taskIndex, attempt, exitCause }: TaskStatus): void {
		// What a replica reports as done is not recorded, so nothing is lost with it.
		const done = exitCause === "done" && this.clusterState.jobs.get(jobId)?.isService === false;
		this.machine.exitedTasks.add({ jobId, taskIndex, attempt, done });
	}

	/** An attempt has exited that this leader does not know. A result counts all the same. */
	private reconcileUnknownExit(task: TaskStatus): void {
		this.addExited(task);
		const job = this.clusterState.jobs.get(task.jobId);
		if (task.exitCause !== "done" || !job || task.taskIndex >= job.spec.taskCount) return;
		this.markFoundDone(job, task.taskIndex);
		this.jobsWithDoneTasks.add(job);
	}

	/** The task has completed under an attempt of an earlier leader: another attempt of it is not needed any more. */
	private markFoundDone(job: Job, taskIndex: number): void {
		if (job.isService) return;
		this.clusterState.markTaskDone(job, taskIndex);
		const other = job.attempts.get(taskIndex);
		if (!other) return;
		if (other.phase === "assigned") this.clusterState.endAttempt(other);
		else other.requestStop("task done", 0);
	}

	/** A task runs that this leader does not know here. Returns whether it is this machine's from now on. */
	private adoptOrOrphan(task: TaskStatus, state: Exclude<TaskStatus["state"], "exited">): boolean {
		const job = this.clusterState.jobs.get(task.jobId);
		if (!job || !isWanted(job, task)) {
			const { jobId, taskIndex, attempt } = task;
			this.clusterState.addOrphan(this.machine, { jobId, taskIndex, attempt });
			return false;
		}
		const earlier = job.attempts.get(task.taskIndex);
		if (earlier) this.clusterState.endAttempt(earlier);
		const attempt = this.clusterState.adoptAttempt(job, task.taskIndex, task.attempt, this.machine);
		this.noteState(attempt, state);
		return true;
	}
}

/**
 * Whether a listed task is to run on. Of two attempts the one with the larger number is real: an attempt is assigned
 * only when the one before is proved over, which a late copy of a heartbeat may list again after a failover ("a late
 * copy that lists an earlier attempt yields to the later one" in
 * tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
function isWanted(job: Job, { taskIndex, attempt }: TaskStatus): boolean {
	if (taskIndex >= job.spec.taskCount || job.doneTasks.has(taskIndex)) return false;
	const other = job.attempts.get(taskIndex);
	return other === undefined || other.number < attempt;
}
