import type { Attempt } from "./attempt.js";

/** Remaining core seconds of a running task; its percentage is capped at 99. */
export function remainingOfRunning(cpus: number, elapsedS: number, estimateS: number, capS: number): number {
	const percent = estimateS > 0 ? Math.min(99, (100 * elapsedS) / estimateS) : 99;
	return cpus * Math.min(capS, (estimateS * (100 - percent)) / 100);
}

export function remainingOfWaiting(cpus: number, estimateS: number, capS: number): number {
	return cpus * Math.min(capS, estimateS);
}

/** Core seconds that the attempt has left. */
export function remainingOfAttempt(
	attempt: Pick<Attempt, "runningSince" | "job">,
	now: number,
	capS: number,
): number {
	const { estimatedRunS: estimateS, spec } = attempt.job;
	if (attempt.runningSince === null) return remainingOfWaiting(spec.cpus, estimateS, capS);
	return remainingOfRunning(spec.cpus, (now - attempt.runningSince) / 1000, estimateS, capS);
}
