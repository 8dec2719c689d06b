/** The clocks and timers of this process. */

import type { Clock } from "./coordination/ports/clock.js";

/** The monotonic time, the time of day and the timers of the standard library. */
export const systemClock: Clock = {
	now: () => performance.now(),
	date: () => new Date(),
	after: (ms, run) => {
		const timer = setTimeout(run, ms);
		return { cancel: () => clearTimeout(timer) };
	},
};
