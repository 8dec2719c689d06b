import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";

/** A task is given up on a machine about to be taken if it needs this many times what is left. */
const needsTooLongFactor = 1.3;

/**
 * On a machine that will be taken away, a task that can save is stopped in time for that. One
 * that cannot save and will hardly finish is stopped at once: its work is lost in any case, and
 * elsewhere it begins so much earlier. Replicas are moved, and run until then.
 *
 * Sets the stop of every such attempt, and returns those to be stopped at once.
 */
export function stopBeforeReclaim(machine: Machine, now: number, reportS: number): Attempt[] {
	if (machine.lifecycle.reclaimAt === null) return [];
	const leftS = (machine.lifecycle.reclaimAt - now) / 1000;
	const atOnce: Attempt[] = [];
	for (const attempt of machine.attempts.values()) {
		const { job, phase } = attempt;
		if (attempt.stop !== null || phase === "assigned" || job.isService) continue;
		if (job.spec.checkpointIntervalS > 0 && phase === "running") {
			// It goes out with the answer to a report, the next or the one after.
			if (leftS <= job.spec.checkpointCostS + 2 * reportS) attempt.requestStop("spot reclaim", leftS);
		} else if (secondsNeeded(attempt, now) > leftS * needsTooLongFactor) {
			attempt.requestStop("spot reclaim", 0);
			atOnce.push(attempt);
		}
	}
	return atOnce;
}

function secondsNeeded({ job, runningSince }: Attempt, now: number): number {
	const elapsedS = runningSince === null ? 0 : (now - runningSince) / 1000;
	return job.estimatedRunS - elapsedS;
}
