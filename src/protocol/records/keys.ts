/**
 * Keys of the records of controllers in the state service.
 *
 * All data that changes while jobs are live is below `r/`, which every controller watches. Records of ended jobs
 * are moved to `r/fin/`, which is never listed, so that the start-up time does not grow with history.
 *
 * Versions in production use the same keys, so they must not change.
 */

import type { JobId } from "../model/identifiers.js";

/** Keys and key prefixes; a prefix ends with a slash. */
export const keys = {
	/** Prefix of all keys that a controller watches. */
	root: "r/",
	/** The leader key, attached to the leader's lease. */
	leader: "r/one/leader",
	/** The machine types that the cloud offers. */
	machineTypes: "r/one/types",
	/** The features that every controller has reported as supported. */
	features: "r/one/able",
	/** The number of reserved ranges of attempt numbers; versions up to 0.8.0 ignore it. */
	attemptRanges: "r/one/attempts",
	/** Prefix of singleton records. */
	singletons: "r/one/",
	/** Prefix of the records of live jobs. */
	jobs: "r/job/",
	/** Prefix of the chunks that record the done tasks of live jobs. */
	progress: "r/prog/",
	/** Prefix of the chunks that record the machines that may run tasks. */
	machines: "r/machs/",
	/** Prefix of the records of ended jobs. */
	finals: "r/fin/",
	/** Prefix of the records of team quota, which the team quota package reads and writes. */
	quota: "r/quota/",
	/** The record of a live job. */
	job: (id: JobId) => `r/job/${id}`,
	/** The record of an ended job. */
	final: (id: JobId) => `r/fin/${id}`,
} as const;
