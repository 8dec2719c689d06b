/** The clocks and timers of this process. */

import type { Clock } from "./coordination/ports/clock.js";

/** The standard library's steady clock, time of day and timers. */
export const systemClock: Clock = {
	now: () => performance.now(),
	date: () => new Date(),
	after: (ms, run) => {
		const timer = setTimeout(run, ms);
		return { cancel: () => clearTimeout(timer) };
	},
};
