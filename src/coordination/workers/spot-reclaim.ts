/** What happens to the tasks on a spot machine that the cloud is about to reclaim. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";

/** A task is given up on a machine about to be reclaimed if it needs this many times what is left. */
const hopelessFactor = 1.3;

/** A stop command may go out with the response to the next heartbeat or the one after. */
const heartbeatsUntilStopped = 2;

/**
 * Asks for the end of attempts on a machine that will be reclaimed. A task that can save a checkpoint is stopped in
 * time for that. One that cannot, and will hardly finish, is stopped at once: its work is lost in any case, and
 * elsewhere it begins so much earlier. Replicas are relocated, and run until then.
 *
 * @returns The attempts to be stopped by direct command; the others are stopped by the next response.
 */
export function stopBeforeReclaim(machine: Machine, now: number, heartbeatIntervalS: number): Attempt[] {
	const { reclaimAt } = machine.lifecycle;
	if (reclaimAt === null) return [];
	const leftS = (reclaimAt - now) / 1000;
	const stoppedAtOnce: Attempt[] = [];
	for (const attempt of machine.attempts.values()) {
		const { job, phase } = attempt;
		if (attempt.stopRequest !== null || phase === "assigned" || job.isService) continue;
		const { checkpointIntervalS, checkpointCostS } = job.spec;
		if (checkpointIntervalS > 0 && phase === "running") {
			if (leftS <= checkpointCostS + heartbeatsUntilStopped * heartbeatIntervalS)
				attempt.requestStop("spot reclaim", leftS);
		} else if (remainingS(attempt, now) > leftS * hopelessFactor) {
			attempt.requestStop("spot reclaim", 0);
			stoppedAtOnce.push(attempt);
		}
	}
	return stoppedAtOnce;
}

/** Seconds that the attempt still needs, by the estimated run time of its job's tasks. */
function remainingS({ job, runningSince }: Attempt, now: number): number {
	const elapsedS = runningSince === null ? 0 : (now - runningSince) / 1000;
	return job.estimatedRunS - elapsedS;
}
