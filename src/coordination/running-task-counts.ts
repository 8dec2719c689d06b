/** How many tasks of each job run, as the leader has last told this controller. */

import type { JobId } from "../protocol/model/identifiers.js";
import type { RunningTaskCount } from "../protocol/peer/messages.js";

/** Counts for users who ask a controller that does not lead. They are for display and may lag. */
export class RunningTaskCounts {
	private counts: ReadonlyMap<JobId, number> = new Map();

	/** The leader has sent the counts of all jobs with running tasks. */
	replace(counts: readonly RunningTaskCount[]): void {
		this.counts = new Map(counts);
	}

	/** Tasks of the job that run. */
	of(jobId: JobId): number {
		return this.counts.get(jobId) ?? 0;
	}
}
