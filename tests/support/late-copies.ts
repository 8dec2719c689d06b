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

/** Number of heartbeats of which copies are kept for the next leader. */
const maxKeptCopies = 60;

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

	/** The latest heartbeats, of which copies are kept for the next leader. */
	private readonly keptForNextLeader: (() => void)[] = [];

	/** Keeps a copy of a heartbeat until a new leader begins, unless too many later ones are kept by then. */
	keepForNextLeader(deliver: () => void): void {
		if (!this.active || !this.random.chance(this.options.share)) return;
		this.keptForNextLeader.push(deliver);
		if (this.keptForNextLeader.length > maxKeptCopies) this.keptForNextLeader.shift();
	}

	/** Delivers the kept copies, in the order in which the heartbeats were sent. */
	newLeaderBegins(): void {
		for (const deliver of this.keptForNextLeader.splice(0)) this.deliver("heartbeat", deliver);
	}

	/** Decides whether a copy of a message is delivered, and schedules it. */
	consider(kind: CopiedMessage, deliver: () => void): void {
		const { share, minDelayMs, maxDelayMs } = this.options;
		if (!this.active || !this.random.chance(share)) return;
		this.time.after(this.random.between(minDelayMs, maxDelayMs), () => this.deliver(kind, deliver));
	}

	private deliver(kind: CopiedMessage, deliver: () => void): void {
		if (!this.active) return;
		this.delivered.set(kind, (this.delivered.get(kind) ?? 0) + 1);
		deliver();
	}
}
