/**
 * Read barriers: calls that wait until the replica holds all that was in the store when they were made, so that an
 * answer to a user is never older than one that was given before, by any controller.
 *
 * One request to the store serves all calls that are waiting when it is sent. A call that is made while a request
 * is under way waits for the next one, since the present one may have been answered before the call.
 */

import { CallError } from "../ports/call-error.js";
import type { Clock, Timer } from "../ports/clock.js";
import type { StoreResponsiveness } from "./store-responsiveness.js";

/** Calls that come within this time share a request. */
const gatherMs = 15;

interface PendingBarrier {
	resolve(): void;
	reject(error: unknown): void;
}

/** How a request for the changes up to now has ended; called in the action that has applied them. */
export interface CatchUpHandlers {
	onSynced(): void;
	onFailed(error: unknown): void;
}

/** What read barriers need. */
export interface ReadBarriersOptions {
	clock: Clock;
	responsiveness: StoreResponsiveness;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Requests all changes up to now and applies them to the replica. */
	catchUp(handlers: CatchUpHandlers): void;
}

/** Owns the calls that wait. */
export class ReadBarriers {
	/** Wait for the next request. */
	private waiting: PendingBarrier[] = [];
	/** Are served by the request under way. */
	private inFlight: PendingBarrier[] = [];
	private state: "idle" | "gathering" | "requesting" | "stopped" = "idle";
	private gatherTimer: Timer | null = null;

	constructor(private readonly options: ReadBarriersOptions) {}

	/**
	 * Resolves once the replica holds all that was in the store at the call. Rejects with a CallError if the store
	 * does not answer, or if this process stops first.
	 */
	wait(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.options.responsiveness.assertResponsive();
			if (this.state === "stopped") throw stoppedError();
			this.waiting.push({ resolve, reject });
			if (this.state === "idle") this.gather();
		});
	}

	/** Rejects all that wait. */
	stop(): void {
		this.state = "stopped";
		this.gatherTimer?.cancel();
		const pending = [...this.inFlight, ...this.waiting];
		this.inFlight = [];
		this.waiting = [];
		for (const barrier of pending) barrier.reject(stoppedError());
	}

	private gather(): void {
		this.state = "gathering";
		this.gatherTimer = this.options.clock.after(gatherMs, () => this.options.post(() => this.request()));
	}

	private request(): void {
		if (this.state === "stopped") return;
		this.state = "requesting";
		this.inFlight = this.waiting;
		this.waiting = [];
		this.options.catchUp({
			onSynced: () => this.settle((barrier) => barrier.resolve()),
			onFailed: (error) => this.settle((barrier) => barrier.reject(error)),
		});
	}

	private settle(how: (barrier: PendingBarrier) => void): void {
		if (this.state === "stopped") return;
		const settled = this.inFlight;
		this.inFlight = [];
		for (const barrier of settled) how(barrier);
		if (this.waiting.length > 0) this.gather();
		else this.state = "idle";
	}
}

function stoppedError(): CallError {
	return new CallError("not executed", 0, "the controller is stopping");
}
