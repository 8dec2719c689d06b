import type { Clock } from "../ports/clock.js";

/** A process that is merely short of processor time handles its commands more often than this. */
const shortestStallMs = 2000;

/**
 * Notices that the process stood still while its clocks ran on. It is asked before each batch of
 * commands; the controller's own tick makes sure that there is one several times a second, so a
 * longer gap by the steady clock means that nothing of this process ran in between.
 */
export class PauseDetector {
	private lastSeenAt: number;

	constructor(private readonly time: Pick<Clock, "now">) {
		this.lastSeenAt = time.now();
	}

	/** Milliseconds for which the process stood still until just now, or null. */
	observe(): number | null {
		const now = this.time.now();
		const gapMs = now - this.lastSeenAt;
		this.lastSeenAt = now;
		return gapMs >= shortestStallMs ? gapMs : null;
	}
}
