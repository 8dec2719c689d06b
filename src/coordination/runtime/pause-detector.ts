/**
 * Detects process pauses: times in which the process did not run while its clocks advanced, for example because its
 * machine was suspended or the process was stopped by a signal.
 *
 * The detector is called before each batch of actions. The controller's tick causes several batches a second, so a
 * longer gap on the monotonic clock means that the process did not run in between. Traces 34, 35 and 54;
 * pause-detector.test.ts.
 */

import type { Clock } from "../ports/clock.js";

/** Shortest gap that counts as a pause; a process that is only short of processor time runs more often than this. */
const minPauseMs = 2000;

/** Owns the time of the latest batch. */
export class PauseDetector {
	private lastSeenAt: number;

	constructor(private readonly clock: Pick<Clock, "now">) {
		this.lastSeenAt = clock.now();
	}

	/** Returns the length in milliseconds of a pause since the previous call; null: there was none. */
	observe(): number | null {
		const now = this.clock.now();
		const gapMs = now - this.lastSeenAt;
		this.lastSeenAt = now;
		return gapMs >= minPauseMs ? gapMs : null;
	}
}
