/**
 * Tracks whether the store responds to this process.
 *
 * While it does not, requests of users fail at once instead of waiting, and watches do not wait, so that the recovery
 * of the store is detected early. The lack of responses alone is no sign of a failure, since a watch without changes
 * gets none for some time: a call must also have failed since the latest response. Tests: replica-sync.test.ts; traces
 * 26 and 54.
 */

import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";

/** Owns the times of the latest response and of the latest failed call. */
export class StoreResponsiveness {
	#lastResponseAt = -Infinity;
	private lastFailureAt = -Infinity;
	private resumedAt = -Infinity;

	/** @param unresponsiveAfterMs Longest time without a response of a store that works. */
	constructor(
		private readonly clock: Clock,
		private readonly unresponsiveAfterMs: number,
	) {}

	/** Monotonic time of the latest response to a call. */
	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** Records a response of the store. */
	responseReceived(): void {
		this.#lastResponseAt = this.clock.now();
	}

	/** Records a failed call to the store. */
	callFailed(): void {
		this.lastFailureAt = this.clock.now();
	}

	/** Excludes the time up to the end of a process pause, since calls then fail by time-outs of this process. */
	onProcessPause(): void {
		this.resumedAt = this.clock.now();
	}

	/** True if the store has not responded for longer than `unresponsiveAfterMs`, and calls fail. */
	get unresponsive(): boolean {
		const noResponseSince = Math.max(this.#lastResponseAt, this.resumedAt);
		const noResponseForMs = this.clock.now() - noResponseSince;
		return noResponseForMs > this.unresponsiveAfterMs && this.lastFailureAt > this.#lastResponseAt;
	}

	/** Throws a CallError while the store is unresponsive, so that the user gets an error at once. */
	assertResponsive(): void {
		if (this.unresponsive) throw new CallError("not executed", 0, "the store does not answer");
	}
}
