/** With ticks later than this on the average, the process is short of processor time. */
const busyMs = 40;
/** Weight of the latest tick in that average. */
const latestWeight = 0.2;

/** How late a process's regular ticks come, which tells whether it is short of processor time. */
export class TickDelay {
	private averageMs = 0;

	constructor(
		private readonly intervalMs: number,
		private lastTickAt: number,
	) {}

	observe(now: number): void {
		this.averageMs += latestWeight * (now - this.lastTickAt - this.intervalMs - this.averageMs);
		this.lastTickAt = now;
	}

	/** The process stood still: nothing was late but the process as a whole, and it is no longer. */
	onProcessPause(now: number): void {
		this.lastTickAt = now;
	}

	get overloaded(): boolean {
		return this.averageMs > busyMs;
	}
}
