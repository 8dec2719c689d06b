/**
 * Read barriers: calls that wait until the replica has every change that was in the store when they were made, so that
 * a response to a user is never older than an earlier response of any controller.
 *
 * One request to the store serves all calls that are waiting when it is sent. A call that is made while a request is
 * in flight waits for the next one, since the store may have processed the present one before the call.
 */

import { CallError } from "../ports/call-error.js";
import type { Clock, Timer } from "../ports/clock.js";
import type { StoreResponsiveness } from "./store-responsiveness.js";

/** Calls within this time share a request. */
const batchWindowMs = 15;

interface PendingBarrier {
	resolve(): void;
	reject(error: unknown): void;
}

/** Callbacks for the result of a catch-up request; called in the action that has applied its changes. */
export interface CatchUpHandlers {
	onSynced(): void;
	onFailed(error: unknown): void;
}

/** Dependencies of read barriers. */
export interface ReadBarriersOptions {
	clock: Clock;
	responsiveness: StoreResponsiveness;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Requests all changes up to the present revision of the store and applies them to the replica. */
	catchUp(handlers: CatchUpHandlers): void;
}

/** Owns the waiting calls. */
export class ReadBarriers {
	/** The calls that wait for the next request. */
	private waiting: PendingBarrier[] = [];
	/** The calls that the request in flight serves. */
	private inFlight: PendingBarrier[] = [];
	private state: "idle" | "batching" | "requesting" | "stopped" = "idle";
	private batchWindowTimer: Timer | null = null;

	constructor(private readonly options: ReadBarriersOptions) {}

	/**
	 * Resolves once the replica has every change that was in the store at the call. Rejects with a CallError if the
	 * store does not respond, or if this process stops first.
	 */
	wait(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.options.responsiveness.assertResponsive();
			if (this.state === "stopped") throw stoppedError();
			this.waiting.push({ resolve, reject });
			if (this.state === "idle") this.openBatchWindow();
		});
	}

	/** Rejects all waiting calls. */
	stop(): void {
		this.state = "stopped";
		this.batchWindowTimer?.cancel();
		const pending = [...this.inFlight, ...this.waiting];
		this.inFlight = [];
		this.waiting = [];
		for (const barrier of pending) barrier.reject(stoppedError());
	}

	private openBatchWindow(): void {
		this.state = "batching";
		this.batchWindowTimer = this.options.clock.after(batchWindowMs, () =>
			this.options.post(() => this.request()),
		);
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

	private settle(settleBarrier: (barrier: PendingBarrier) => void): void {
		if (this.state === "stopped") return;
		const settled = this.inFlight;
		this.inFlight = [];
		for (const barrier of settled) settleBarrier(barrier);
		if (this.waiting.length > 0) this.openBatchWindow();
		else this.state = "idle";
	}
}

function stoppedError(): CallError {
	return new CallError("not executed", 0, "the controller is stopping");
}
