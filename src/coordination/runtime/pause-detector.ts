/**
 * Notices that the process paused while its clocks ran on, as when its machine was suspended or the process was
 * stopped by a signal.
 *
 * The detector is asked before each batch of actions. The controller's own tick makes sure that there is a batch
 * several times a second, so a longer gap by the steady clock means that nothing of this process ran in between.
 * Traces 34, 35 and 54; pause-detector.test.ts.
 */

import type { Clock } from "../ports/clock.js";

/** Shortest gap that counts: a process that is merely short of processor time runs more often than this. */
const minPauseMs = 2000;

/** Owns when the process was last seen running. */
export class PauseDetector {
	private lastSeenAt: number;

	constructor(private readonly clock: Pick<Clock, "now">) {
		this.lastSeenAt = clock.now();
	}

	/** Milliseconds for which the process paused until just now; null: it did not. Each pause is told once. */
	observe(): number | null {
		const now = this.clock.now();
		const gapMs = now - this.lastSeenAt;
		this.lastSeenAt = now;
		return gapMs >= minPauseMs ? gapMs : null;
	}
}
