/**
 * Distinct types for identifiers and counters that are plain strings and numbers at run time.
 *
 * The types are "flavored": a plain string or number is accepted wherever one of them is expected, so that
 * literals and decoded values need no conversion, but one flavor is not accepted in place of another.
 */

declare const flavor: unique symbol;

type Flavor<Base, Name extends string> = Base & { readonly [flavor]?: Name };

/** A job, as its user named it, such as `j-000412`. */
export type JobId = Flavor<string, "JobId">;

/** A task of a job, such as `j-000412/3`: what log lines and users call it. */
export type TaskId = Flavor<string, "TaskId">;

/** A rented machine, as the cloud named it, such as `n-000231`. */
export type MachineId = Flavor<string, "MachineId">;

/** The host name of a controller, such as `runner-0`. */
export type NodeId = Flavor<string, "NodeId">;

/** One process of a controller, or one of its attempts to become leader. */
export type Incarnation = Flavor<string, "Incarnation">;

/** A state of the store, and of a key in it: the store counts every change. */
export type Revision = Flavor<number, "Revision">;

/** One leadership: the revision of the write that won the leader key. */
export type Term = Flavor<number, "Term">;

/** What workers compare to drop responses and commands of earlier leaders. */
export type FencingToken = Flavor<number, "FencingToken">;

/** A lease of the store. */
export type LeaseId = Flavor<number, "LeaseId">;

/** A worker's life between two expired leases, counted from 1. */
export type AgentEpoch = Flavor<number, "AgentEpoch">;

/** The fencing token of a term: later terms have larger ones, since the store's revisions grow. */
export function fencingTokenOf(term: Term): FencingToken {
	return Number(term);
}

/** The term that a write at the revision began. */
export function termOf(revision: Revision): Term {
	return Number(revision);
}

/** The revision of the write that began the term, which the leader key has for as long as the term lasts. */
export function revisionOf(term: Term): Revision {
	return Number(term);
}

/** The id of a job's task, by its index in the job. */
export function taskIdOf(jobId: JobId, taskIndex: number): TaskId {
	return `${jobId}/${taskIndex}`;
}
