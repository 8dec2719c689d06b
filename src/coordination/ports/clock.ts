/** Clocks and timers as coordination uses them. */

/** A timer that has not run yet. */
export interface Timer {
	/** Cancels the timer: its action does not run. */
	cancel(): void;
}

/** The clocks and timers of a process. */
export interface Clock {
	/** Monotonic time in milliseconds. All safety decisions use this clock. */
	now(): number;
	/** Wall-clock time, for display and for the order of jobs; no safety decision uses it. */
	date(): Date;
	/** Runs the action once, after `delayMs` milliseconds. */
	after(delayMs: number, action: () => void): Timer;
}

/** Resolves after `durationMs` milliseconds of the clock. */
export function delay(clock: Pick<Clock, "after">, durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		clock.after(durationMs, resolve);
	});
}
