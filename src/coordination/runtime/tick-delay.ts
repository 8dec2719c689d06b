/**
 * Tells whether the process is short of processor time, by how late its regular ticks come.
 *
 * A process that is overloaded sees its workers late and its own messages leave late. It takes on less, and does
 * not blame others for what may be its own delay.
 */

/** With ticks later than this on average, the process is overloaded. */
const overloadedAboveMs = 40;

/** Weight of the latest tick in that average. */
const latestWeight = 0.2;

/** Owns the average delay of ticks. */
export class TickDelay {
	private averageMs = 0;

	/**
	 * @param intervalMs Regular time between two ticks.
	 * @param lastTickAt Steady time from which the first tick is expected.
	 */
	constructor(
		private readonly intervalMs: number,
		private lastTickAt: number,
	) {}

	/** A tick has come. */
	observe(now: number): void {
		const delayMs = now - this.lastTickAt - this.intervalMs;
		this.averageMs += latestWeight * (delayMs - this.averageMs);
		this.lastTickAt = now;
	}

	/** The process has paused: that is no lack of processor time, so the gap does not count as a delay. */
	onProcessPause(now: number): void {
		this.lastTickAt = now;
	}

	/** The process is short of processor time. */
	get overloaded(): boolean {
		return this.averageMs > overloadedAboveMs;
	}
}
