/** Simulated time: runs events in the order of their times, and events of the same time in the order of scheduling. */
export class EventQueue {
	now = 0;
	private readonly events: { at: number; order: number; run: () => void }[] = [];
	private lastEventOrder = 0;

	schedule(ms: number, run: () => void): void {
		this.lastEventOrder += 1;
		this.events.push({ at: this.now + ms, order: this.lastEventOrder, run });
	}

	/** Runs all events of the next `ms` milliseconds, each followed by the promise callbacks that it causes. */
	async run(ms: number): Promise<void> {
		const until = this.now + ms;
		for (;;) {
			this.events.sort((a, b) => b.at - a.at || b.order - a.order);
			const next = this.events.at(-1);
			if (!next || next.at > until) break;
			this.events.pop();
			this.now = Math.max(this.now, next.at);
			next.run();
			for (let i = 0; i < maxCallbackDepth; i++) await Promise.resolve();
		}
		this.now = until;
	}
}

/** Longest chain of promises that one event settles. */
const maxCallbackDepth = 8;
