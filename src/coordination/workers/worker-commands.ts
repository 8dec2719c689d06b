/** The commands that a worker is given: in responses to its heartbeats, or directly. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { ExitedTask } from "../../bookkeeping/exited-tasks.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { StopCommand, WorkerCommand } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Takes the commands for the response to a heartbeat of the machine's worker: forgets, stops, then starts. Attempts
 * that were assigned to the machine count as sent from now on, or end where they may not start any more.
 *
 * Starts leave only here, never as direct commands. A direct command may be carried out minutes late, when the task
 * may run elsewhere, while a worker drops a response that comes later than 4 s (trace 36).
 */
export function takeCommands(clusterState: ClusterState, machine: Machine): WorkerCommand[] {
	const commands: WorkerCommand[] = [];
	addForgets(clusterState, machine, commands);
	for (const { jobId, taskIndex, attempt } of machine.orphans)
		commands.push({ kind: "stop", jobId, taskIndex, attempt, graceS: 0 });
	const starts: WorkerCommand[] = [];
	for (const attempt of [...machine.attempts.values()]) {
		if (attempt.phase === "assigned") {
			if (startOrEnd(clusterState, attempt)) starts.push(startCommandFor(attempt));
		} else if (attempt.stopRequest !== null) commands.push(stopCommandFor(attempt));
	}
	return [...commands, ...starts];
}

/** One exited attempt stays with a machine that may get work, to be forgotten when a heartbeat is wanted. */
function addForgets(clusterState: ClusterState, machine: Machine, commands: WorkerCommand[]): void {
	const forgettable = machine.exitedTasks.selectForgettable(
		(task) => isRecorded(clusterState, task),
		machine.schedulable,
	);
	for (const { jobId, taskIndex, attempt } of forgettable)
		commands.push({ kind: "forget", jobId, taskIndex, attempt });
}

/**
 * Whether the outcome of an exited attempt can no longer be lost with the worker's list. A task that was forgotten
 * before its completion is in the store would run once more after a failover ("a completed task is forgotten only
 * when its completion is stored" in tests/coordination/workers/worker-commands.test.ts).
 */
function isRecorded(clusterState: ClusterState, task: ExitedTask): boolean {
	if (!task.done) return true;
	const job = clusterState.jobs.get(task.jobId);
	return job === undefined || job.durableDoneTasks.has(task.taskIndex);
}

/**
 * Decides whether an assigned attempt is still to start. Since the assignment its job may have ended or the
 * machine may have become unusable. A machine that began to drain meanwhile runs the attempt first: work that
 * fits nowhere else would be put off again and again (trace 41).
 */
function startOrEnd(clusterState: ClusterState, attempt: Attempt): boolean {
	if (!attempt.machine.acceptsAssignedStarts || attempt.stopRequest !== null || attempt.job.ended) {
		clusterState.endAttempt(attempt);
		return false;
	}
	attempt.markSent();
	return true;
}

function startCommandFor({ job, taskIndex, number }: Attempt): WorkerCommand {
	return { kind: "start", jobId: job.id, taskIndex, attempt: number };
}

/** The command that ends the attempt, with the grace of its stop request. It may be carried out late without harm. */
export function stopCommandFor({ job, taskIndex, number, stopRequest: stop }: Attempt): StopCommand {
	return { kind: "stop", jobId: job.id, taskIndex, attempt: number, graceS: stop?.graceS ?? 0 };
}
