/**
 * Distinct types for identifiers and counters that are plain strings and integers at run time.
 *
 * The types are "flavored": a plain string or integer is accepted wherever one of them is expected, so that
 * literals and decoded values need no conversion, but one flavor is not accepted in place of another.
 */

import type { Uint64 } from "./uint64.js";

declare const flavor: unique symbol;

type Flavor<Base, Name extends string> = Base & { readonly [flavor]?: Name };

/** The id of a job, chosen by its user, such as `j-000412`. */
export type JobId = Flavor<string, "JobId">;

/** The id of a task in log lines and for users, such as `j-000412/3`. */
export type TaskId = Flavor<string, "TaskId">;

/** The id of a rented machine, assigned by the cloud, such as `n-000231`. */
export type MachineId = Flavor<string, "MachineId">;

/** The host name of a controller, such as `runner-0`. */
export type NodeId = Flavor<string, "NodeId">;

/** The id of one controller process, or of one of its attempts to become leader. */
export type Incarnation = Flavor<string, "Incarnation">;

/** The version of the store or of one key. The store increments it with every change. */
export type Revision = Flavor<Uint64, "Revision">;

/** The period of one leader, identified by the revision of the write that acquired the leader key. */
export type Term = Flavor<Uint64, "Term">;

/** The number by which workers reject responses and commands of earlier leaders. */
export type FencingToken = Flavor<Uint64, "FencingToken">;

/** The id of a lease of the store. */
export type LeaseId = Flavor<Uint64, "LeaseId">;

/** The number of an attempt at a task, unique in the cluster; later attempts at a task have larger numbers. */
export type AttemptNumber = Flavor<Uint64, "AttemptNumber">;

/** The order of a worker's messages within an agent epoch: a message with a larger number is newer. */
export type HeartbeatSequence = Flavor<Uint64, "HeartbeatSequence">;

/** The number of a worker's period between two expired leases, counted from 1. */
export type AgentEpoch = Flavor<Uint64, "AgentEpoch">;

/** Returns the fencing token of a term. Later terms have larger tokens, because the store's revisions increase. */
export function fencingTokenOf(term: Term): FencingToken {
	return term as Uint64;
}

/** Returns the term that began with the write at the revision. */
export function termOf(revision: Revision): Term {
	return revision as Uint64;
}

/** Returns the revision of the write that began the term. The leader key keeps this revision until the term ends. */
export function revisionOf(term: Term): Revision {
	return term as Uint64;
}

/** Returns the id of a task from its index in the job. */
export function taskIdOf(jobId: JobId, taskIndex: number): TaskId {
	return `${jobId}/${taskIndex}`;
}
