/** Messages between controllers and workers, the agents on machines, decoded from the names on the wire. */

import {
	type AgentEpoch,
	type AttemptNumber,
	type FencingToken,
	type HeartbeatSequence,
	type JobId,
	type MachineId,
	type TaskId,
	taskIdOf,
} from "./identifiers.js";

/** `fetching`: waits for the image. `checkpointing`: saves a checkpoint after a stop command. `exited`: has ended. */
export type TaskState = "fetching" | "running" | "checkpointing" | "exited";

/**
 * The reason for the exit of a task. `done`: completed. `stopped`: stopped by a command. `error`: failed. The other
 * causes are rejected starts. `no_room`: insufficient capacity on the machine. `busy`: another attempt at the task
 * is on the machine. `unknown`: the job or the task is unknown.
 */
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

/** Identifies one attempt at one task. */
export interface AttemptRef {
	jobId: JobId;
	taskIndex: number;
	attempt: AttemptNumber;
}

/** The state of an attempt in a heartbeat. */
export interface TaskStatus extends AttemptRef {
	state: TaskState;
	/** null: the attempt has not exited. */
	exitCause: ExitCause | null;
	/** The attempt was stopped and its progress is saved. */
	checkpointed: boolean;
}

/** A worker's periodic message with the state of its machine. */
export interface WorkerHeartbeat {
	machineId: MachineId;
	/** The address at which the worker receives direct commands. */
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	agentEpoch: AgentEpoch;
	sequence: HeartbeatSequence;
	/** The highest fencing token that the worker has received. */
	fencingToken: FencingToken;
	/** Seconds until the cloud reclaims a spot machine; null: the cloud has given no notice. */
	reclaimInS: number | null;
	/** All attempts on the machine; exited ones are included until a forget command removes them. */
	tasks: TaskStatus[];
}

/** Starts the attempt, unless the worker already lists it in any state. */
export interface StartCommand extends AttemptRef {
	kind: "start";
}

/** Ends the attempt. A task that can save a checkpoint within the grace period does so first. */
export interface StopCommand extends AttemptRef {
	kind: "stop";
	graceS: number;
}

/** Removes the exited attempt from the worker's heartbeats. */
export interface ForgetCommand extends AttemptRef {
	kind: "forget";
}

/** A command to a worker. Every command may be repeated, but a start after a forget starts the attempt again. */
export type WorkerCommand = StartCommand | StopCommand | ForgetCommand;

/** Returns the tasks that the commands start; null: there are no commands. */
export function startedTaskIds(commands: readonly WorkerCommand[] | null): TaskId[] {
	const starts = commands?.filter(({ kind }) => kind === "start") ?? [];
	return starts.map(({ jobId, taskIndex }) => taskIdOf(jobId, taskIndex));
}
