/**
 * Detects that the process is short of processor time, by the delay of its regular ticks.
 *
 * An overloaded process handles heartbeats late and sends its messages late. It therefore starts less work, and does
 * not treat delays as failures of workers or controllers, since it may cause them itself.
 */

/** The process is overloaded if its ticks are later than this on average. */
const overloadedAboveMs = 40;

/** Weight of the latest tick in the moving average. */
const latestSampleWeight = 0.2;

/** Owns the average delay of ticks. */
export class TickDelay {
	private averageMs = 0;

	/**
	 * @param intervalMs Regular interval between two ticks.
	 * @param lastTickAt Monotonic time from which the interval to the first tick counts.
	 */
	constructor(
		private readonly intervalMs: number,
		private lastTickAt: number,
	) {}

	/** Records a tick. */
	observe(now: number): void {
		const delayMs = now - this.lastTickAt - this.intervalMs;
		this.averageMs += latestSampleWeight * (delayMs - this.averageMs);
		this.lastTickAt = now;
	}

	/** Excludes a process pause from the delay, since it is no lack of processor time. */
	onProcessPause(now: number): void {
		this.lastTickAt = now;
	}

	/** True if the process is short of processor time. */
	get overloaded(): boolean {
		return this.averageMs > overloadedAboveMs;
	}
}
