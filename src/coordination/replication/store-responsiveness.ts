/**
 * Whether the store answers this process.
 *
 * While it does not, users are told so at once instead of being kept waiting, and the store is asked by short calls
 * to find out soon when it is back. Silence alone says nothing, since a watch without changes is silent: a call must
 * have failed since the last answer as well. Tests: replica-sync.test.ts; traces 26 and 54.
 */

import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";

/** Owns what the answers and failures of calls say about the store. */
export class StoreResponsiveness {
	#lastResponseAt = -Infinity;
	private lastFailureAt = -Infinity;
	private resumedAt = -Infinity;

	/** @param unresponsiveAfterMs Longest silence of a store that answers. */
	constructor(
		private readonly clock: Clock,
		private readonly unresponsiveAfterMs: number,
	) {}

	/** Steady time at which the store last answered a call. */
	get lastResponseAt(): number {
		return this.#lastResponseAt;
	}

	/** The store has answered a call. */
	callAnswered(): void {
		this.#lastResponseAt = this.clock.now();
	}

	/** A call to the store has failed. */
	callFailed(): void {
		this.lastFailureAt = this.clock.now();
	}

	/** Calls that fail after a pause of the process were given up by this side, so no silence counts from before. */
	onProcessPause(): void {
		this.resumedAt = this.clock.now();
	}

	/** The store has been silent for longer than it can be, and calls fail. */
	get unresponsive(): boolean {
		const silentSince = Math.max(this.#lastResponseAt, this.resumedAt);
		const silentForMs = this.clock.now() - silentSince;
		return silentForMs > this.unresponsiveAfterMs && this.lastFailureAt > this.#lastResponseAt;
	}

	/** Throws a CallError where a call to the store would only keep its user waiting. */
	assertResponsive(): void {
		if (this.unresponsive) throw new CallError("not executed", 0, "the store does not answer");
	}
}
