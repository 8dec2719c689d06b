/** Running tasks of each job, as last reported by the leader. */

import type { JobId } from "../protocol/model/identifiers.js";
import type { RunningTaskCount } from "../protocol/peer/messages.js";

/** Owns a follower's counts of running tasks, which are displayed to users and may lag behind the leader's. */
export class RunningTaskCounts {
	private counts: ReadonlyMap<JobId, number> = new Map();

	/** Replaces all counts by those that the leader has sent, which include every job with running tasks. */
	replace(counts: readonly RunningTaskCount[]): void {
		this.counts = new Map(counts);
	}

	/** Returns the number of running tasks of the job. */
	countOf(jobId: JobId): number {
		return this.counts.get(jobId) ?? 0;
	}
}
