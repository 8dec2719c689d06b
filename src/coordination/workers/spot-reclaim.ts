/** Decides which attempts to stop on a spot machine that the cloud is about to reclaim. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";

/** A task is stopped early if its estimated remaining time exceeds the time until the reclaim by this factor. */
const minUnfinishableRatio = 1.3;

/** Maximum number of heartbeat intervals until a response contains a requested stop. */
const maxHeartbeatsUntilStop = 2;

/**
 * Requests stops of attempts on a machine that will be reclaimed. A task that saves checkpoints is stopped in time to
 * save one. A task that cannot save one and is unlikely to finish is stopped at once: its work is lost in any case, and
 * it can restart elsewhere sooner. Replicas are not stopped here; they run until they are relocated.
 *
 * @returns The attempts to stop by direct command; the next response contains the stops of the others.
 */
export function stopBeforeReclaim(machine: Machine, now: number, heartbeatIntervalS: number): Attempt[] {
	const { reclaimAt } = machine.lifecycle;
	if (reclaimAt === null) return [];
	const timeLeftS = (reclaimAt - now) / 1000;
	const stoppedImmediately: Attempt[] = [];
	for (const attempt of machine.attempts.values()) {
		const { job, phase } = attempt;
		if (attempt.stopRequest !== null || phase === "assigned" || job.isService) continue;
		const { checkpointIntervalS, checkpointCostS } = job.spec;
		if (checkpointIntervalS > 0 && phase === "running") {
			if (timeLeftS <= checkpointCostS + maxHeartbeatsUntilStop * heartbeatIntervalS)
				attempt.requestStop("spot reclaim", timeLeftS);
		} else if (remainingS(attempt, now) > timeLeftS * minUnfinishableRatio) {
			attempt.requestStop("spot reclaim", 0);
			stoppedImmediately.push(attempt);
		}
	}
	return stoppedImmediately;
}

/** Returns the seconds that the attempt still needs according to the estimated run time of its job's tasks. */
function remainingS({ job, runningSince }: Attempt, now: number): number {
	const elapsedS = runningSince === null ? 0 : (now - runningSince) / 1000;
	return job.estimatedRunS - elapsedS;
}
