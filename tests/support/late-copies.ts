import type { FakeTime } from "./fake-time.js";
import type { Random } from "./random.js";

/** The kinds of messages of which copies are delivered. */
export type CopiedMessage =
	| "heartbeat"
	| "direct command"
	| "controller message"
	| "store request"
	| "cloud request";

/** Which part of the messages is delivered a second time, and when. */
export interface LateCopiesOptions {
	share: number;
	minDelayMs: number;
	maxDelayMs: number;
}

/** Delivers copies of messages that have been sent, whatever has become of their senders. */
export class LateCopies {
	/** Number of copies that were delivered, by kind. */
	readonly delivered = new Map<CopiedMessage, number>();
	/** False: no further copies are delivered. */
	active = true;

	constructor(
		private readonly time: FakeTime,
		private readonly random: Random,
		private readonly options: LateCopiesOptions,
	) {}

	/** Decides whether a copy of a message is delivered, and schedules it. */
	consider(kind: CopiedMessage, deliver: () => void): void {
		const { share, minDelayMs, maxDelayMs } = this.options;
		if (!this.active || !this.random.chance(share)) return;
		this.time.after(this.random.between(minDelayMs, maxDelayMs), () => {
			if (!this.active) return;
			this.delivered.set(kind, (this.delivered.get(kind) ?? 0) + 1);
			deliver();
		});
	}
}
