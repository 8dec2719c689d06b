import type { Clock } from "../../src/coordination/ports/clock.js";

interface Timer {
	at: number;
	order: number;
	run: () => void;
}

/**
 * Monotonic time that only `advance` moves. After each timer, all pending promise callbacks run:
 * a macrotask boundary empties the microtask queue.
 */
export class FakeTime implements Clock {
	private clock = 0;
	private order = 0;
	private timers: Timer[] = [];

	now(): number {
		return this.clock;
	}

	date(): Date {
		return new Date(Date.UTC(2026, 0, 1) + this.clock);
	}

	after(ms: number, run: () => void): { cancel(): void } {
		const timer: Timer = { at: this.clock + Math.max(0, ms), order: this.order++, run };
		let i = this.timers.length;
		while (i > 0 && (this.timers[i - 1] as Timer).at > timer.at) i -= 1;
		this.timers.splice(i, 0, timer);
		return {
			cancel: () => {
				this.timers = this.timers.filter((t) => t !== timer);
			},
		};
	}

	async advance(ms: number): Promise<void> {
		const until = this.clock + ms;
		await settle();
		for (;;) {
			const next = this.timers[0];
			if (!next || next.at > until) break;
			this.timers.shift();
			this.clock = next.at;
			next.run();
			await settle();
		}
		this.clock = until;
	}
}

function settle(): Promise<void> {
	return new Promise((resolve) => setImmediate(resolve));
}
