/**
 * The remaining work of tasks in CPU seconds, from which the hill climb computes the load on the machines. Run time
 * estimates are often wrong, so the remaining run time of a task counts up to a bound (`maxRemainingS`).
 */

import type { Attempt } from "./attempt.js";

/** Upper bound of the progress of a running task, for tasks that run longer than their estimate. */
const maxPercentDone = 99;

/** Remaining CPU seconds of a running task. */
export function remainingCpuSecondsOfRunning(
	cpus: number,
	elapsedS: number,
	estimateS: number,
	maxRemainingS: number,
): number {
	const percent = estimateS > 0 ? Math.min(maxPercentDone, (100 * elapsedS) / estimateS) : maxPercentDone;
	return cpus * Math.min(maxRemainingS, (estimateS * (100 - percent)) / 100);
}

/** CPU seconds of a task that has not started to run. */
export function remainingCpuSecondsOfWaiting(cpus: number, estimateS: number, maxRemainingS: number): number {
	return cpus * Math.min(maxRemainingS, estimateS);
}

/** Remaining CPU seconds of an attempt, by the estimated run time of its job's tasks. */
export function remainingCpuSecondsOfAttempt(
	attempt: Pick<Attempt, "runningSince" | "job">,
	now: number,
	maxRemainingS: number,
): number {
	const { estimatedRunS, spec } = attempt.job;
	if (attempt.runningSince === null)
		return remainingCpuSecondsOfWaiting(spec.cpus, estimatedRunS, maxRemainingS);
	return remainingCpuSecondsOfRunning(
		spec.cpus,
		(now - attempt.runningSince) / 1000,
		estimatedRunS,
		maxRemainingS,
	);
}
