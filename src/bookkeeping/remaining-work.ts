/**
 * How much work tasks still are, in CPU seconds: what the hill climb weighs against the machines. The estimates
 * behind it are often wrong, so no task counts for more than a bound (`capS`, in seconds).
 */

import type { Attempt } from "./attempt.js";

/** A running task counts as at most this much done, however long it has run beyond its estimate. */
const maxPercentDone = 99;

/** CPU seconds that a running task has left. */
export function remainingCpuSecondsOfRunning(
	cpus: number,
	elapsedS: number,
	estimateS: number,
	capS: number,
): number {
	const percent = estimateS > 0 ? Math.min(maxPercentDone, (100 * elapsedS) / estimateS) : maxPercentDone;
	return cpus * Math.min(capS, (estimateS * (100 - percent)) / 100);
}

/** CPU seconds of a task that has not begun. */
export function remainingCpuSecondsOfWaiting(cpus: number, estimateS: number, capS: number): number {
	return cpus * Math.min(capS, estimateS);
}

/** CPU seconds that the attempt has left, by the estimated run time of its job's tasks. */
export function remainingCpuSecondsOfAttempt(
	attempt: Pick<Attempt, "runningSince" | "job">,
	now: number,
	capS: number,
): number {
	const { estimatedRunS, spec } = attempt.job;
	if (attempt.runningSince === null) return remainingCpuSecondsOfWaiting(spec.cpus, estimatedRunS, capS);
	return remainingCpuSecondsOfRunning(spec.cpus, (now - attempt.runningSince) / 1000, estimatedRunS, capS);
}
