/** What workers, the agents on machines, and controllers tell each other, in the service's own terms. */

import type { AgentEpoch, FencingToken, JobId, MachineId } from "./identifiers.js";

/** `fetching` waits for the image, `checkpointing` was told to stop and saves, `exited` has ended. */
export type TaskState = "fetching" | "running" | "checkpointing" | "exited";

/**
 * Why a task has exited. `done`: completed. `stopped`: by command. `error`: failed. The others are refused
 * starts: `no_room` on the machine, `busy` with another attempt of the task, `unknown` job or task.
 */
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

/** One try at one task. */
export interface AttemptRef {
	jobId: JobId;
	taskIndex: number;
	/** Number of the try; later tries of a task have larger numbers. */
	attempt: number;
}

/** An attempt as a heartbeat lists it. */
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
	/** Address at which the worker takes direct commands. */
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	agentEpoch: AgentEpoch;
	/** Orders the worker's messages within an agent epoch: the larger is the newer one. */
	sequence: number;
	/** The highest fencing token that the worker has seen. */
	fencingToken: FencingToken;
	/** Seconds until the cloud reclaims a spot machine; null: no notice was given. */
	reclaimInS: number | null;
	/** All attempts on the machine, exited ones included until they are forgotten. */
	tasks: TaskStatus[];
}

/** Starts the attempt, unless the worker knows it already in any state. */
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

/** What a worker is told to do. Each may be repeated, but a start after a forget starts the attempt once more. */
export type WorkerCommand = StartCommand | StopCommand | ForgetCommand;
