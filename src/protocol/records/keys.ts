/**
 * Keys of the state service under which controllers keep their records.
 *
 * Everything that changes while jobs live is below `r/`, which every controller watches. Jobs that are over
 * move to `r/fin/`, which is never listed, so that start-up time does not grow with history.
 *
 * Keys are data of the versions in production: they keep their historic spelling.
 */

import type { JobId } from "../model/identifiers.js";

/** Keys and key prefixes; a prefix ends with a slash. */
export const keys = {
	/** Prefix of all that a controller watches. */
	root: "r/",
	/** The leader key, attached to the leader's lease. */
	leader: "r/one/leader",
	/** The machine types that the cloud offers. */
	machineTypes: "r/one/types",
	/** What every controller has said it supports. */
	features: "r/one/able",
	/** Prefix of records of which there is one. */
	singletons: "r/one/",
	/** Prefix of live jobs. */
	jobs: "r/job/",
	/** Prefix of the chunks that hold which tasks of live jobs are done. */
	progress: "r/prog/",
	/** Prefix of the chunks that hold machines that may run tasks. */
	machines: "r/machs/",
	/** Prefix of jobs that are over. */
	finals: "r/fin/",
	/** Prefix of team quota's records, which its package reads and writes. */
	quota: "r/quota/",
	/** The record of a live job. */
	job: (id: JobId) => `r/job/${id}`,
	/** The record of a job that is over. */
	final: (id: JobId) => `r/fin/${id}`,
} as const;
