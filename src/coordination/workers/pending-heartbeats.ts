import type { WorkerCommand } from "../../protocol/model/worker.js";
import type { Clock } from "../ports/clock.js";

/** How often held reports are looked at. */
const sweepMs = 30;

interface PendingHeartbeat {
	until: number;
	/** Held only in case work comes, not because a place is being filled. */
	idle: boolean;
	answer(orders: WorkerCommand[] | null): void;
}

/**
 * Reports whose answers wait for something to start. A machine has one report in flight, so a
 * later one takes the place of the one before, which is answered without orders.
 */
export class PendingHeartbeats {
	private readonly held = new Map<string, PendingHeartbeat>();
	private sweeping = false;

	constructor(
		private readonly time: Clock,
		private readonly post: (command: () => void) => void,
		/** The answer to a machine's report, as of now. */
		private readonly answerFor: (machine: string) => WorkerCommand[] | null,
	) {}

	has(machine: string): boolean {
		return this.held.has(machine);
	}

	hold(machine: string, until: number, idle: boolean): Promise<WorkerCommand[] | null> {
		return new Promise((resolve) => {
			this.held.set(machine, { until, idle, answer: resolve });
			this.sweepLater();
		});
	}

	/** Whoever still waits for the answer to an earlier report gets no order: it is out of date. */
	supersede(machine: string): void {
		this.held.get(machine)?.answer([]);
		this.held.delete(machine);
	}

	release(machine: string): void {
		const held = this.held.get(machine);
		if (!held) return;
		this.held.delete(machine);
		held.answer(this.answerFor(machine));
	}

	/** Nothing more is being placed: whoever waited for that is answered. */
	releaseWaiting(): void {
		for (const [machine, held] of this.held) if (!held.idle) this.release(machine);
	}

	/** This process may not answer any more. */
	refuseAll(): void {
		for (const held of this.held.values()) held.answer(null);
		this.held.clear();
	}

	/** One timer for all that are held: there can be hundreds. */
	private sweepLater(): void {
		if (this.sweeping || this.held.size === 0) return;
		this.sweeping = true;
		this.time.after(sweepMs, () => this.post(() => this.sweep()));
	}

	private sweep(): void {
		this.sweeping = false;
		const now = this.time.now();
		for (const [machine, held] of this.held) if (held.until <= now) this.release(machine);
		this.sweepLater();
	}
}
