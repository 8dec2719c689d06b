/** Creates the commands for workers, in heartbeat responses and for direct sending. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { ExitedTask } from "../../bookkeeping/exited-tasks.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { StopCommand, WorkerCommand } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Issues the commands for the response to a heartbeat of the machine's worker: forgets, stops, then starts. Attempts
 * assigned to the machine are marked as sent, or end if they may not start any more.
 *
 * Starts are sent only in these responses, never as direct commands: a direct command may be executed minutes late,
 * when the task may run elsewhere, whereas a worker drops a response that arrives after more than 4 s (trace 36).
 */
export function issueCommands(clusterState: ClusterState, machine: Machine): WorkerCommand[] {
	const commands: WorkerCommand[] = [];
	addForgetCommands(clusterState, machine, commands);
	commands.push(...stopCommandsFor(machine));
	for (const attempt of [...machine.attempts.values()])
		if (attempt.phase === "assigned" && markSentOrEnd(clusterState, attempt))
			commands.push(startCommandFor(attempt));
	return commands;
}

/**
 * Returns the commands that stop the machine's orphaned tasks, and its attempts that are to end. Every response that may
 * renew a worker's lease contains them: otherwise a task of a cancelled job could run on for as long as that lease.
 */
export function stopCommandsFor(machine: Machine): StopCommand[] {
	const commands: StopCommand[] = [];
	for (const { jobId, taskIndex, attempt } of machine.orphans)
		commands.push({ kind: "stop", jobId, taskIndex, attempt, graceS: 0 });
	for (const attempt of machine.attempts.values())
		if (attempt.phase !== "assigned" && attempt.stopRequest !== null) commands.push(stopCommandFor(attempt));
	return commands;
}

/**
 * Adds forget commands. A schedulable machine keeps one exited attempt, which can be forgotten to trigger a heartbeat.
 */
function addForgetCommands(clusterState: ClusterState, machine: Machine, commands: WorkerCommand[]): void {
	const forgettable = machine.exitedTasks.selectForgettable(
		(task) => isOutcomeDurable(clusterState, task),
		machine.schedulable,
	);
	for (const { jobId, taskIndex, attempt } of forgettable)
		commands.push({ kind: "forget", jobId, taskIndex, attempt });
}

/**
 * True if the outcome of an exited attempt is not lost when the worker forgets the attempt. A task forgotten before its
 * completion is stored would run again after a failover ("a completed task is forgotten only after its completion is
 * stored" in tests/coordination/workers/worker-commands.test.ts).
 */
function isOutcomeDurable(clusterState: ClusterState, task: ExitedTask): boolean {
	if (!task.done) return true;
	const job = clusterState.jobs.get(task.jobId);
	return job === undefined || job.durableDoneTasks.has(task.taskIndex);
}

/**
 * Marks an assigned attempt as sent and returns true, or ends it if its job has ended or the machine has become
 * unusable since the assignment. A machine that has started draining since then still runs the attempt: otherwise a
 * task that fits on no other machine could be deferred repeatedly (trace 41).
 */
function markSentOrEnd(clusterState: ClusterState, attempt: Attempt): boolean {
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

/** Returns the command that stops the attempt, with the grace of its stop request. It may safely be executed late. */
export function stopCommandFor({ job, taskIndex, number, stopRequest }: Attempt): StopCommand {
	return { kind: "stop", jobId: job.id, taskIndex, attempt: number, graceS: stopRequest?.graceS ?? 0 };
}
