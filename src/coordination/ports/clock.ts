/** What coordination needs of time. */

/** A timer that has not run yet. */
export interface Timer {
	/** The timer does not run any more. */
	cancel(): void;
}

/** The clocks and timers of a process. */
export interface Clock {
	/** Steady time in milliseconds. All safety decisions use this clock. */
	now(): number;
	/** Time of day, for people and for the order of jobs; no safety decision uses it. */
	date(): Date;
	/** Runs the action once after that many milliseconds. */
	after(delayMs: number, action: () => void): Timer;
}

/** Resolves after that many milliseconds by the clock. */
export function delay(clock: Pick<Clock, "after">, durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		clock.after(durationMs, resolve);
	});
}
