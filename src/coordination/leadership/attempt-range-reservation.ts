/**
 * Reserves the range of a term's attempt numbers in the store, for terms that are too large to be multiplied by the size
 * of a range. Each reservation takes the next range, on the condition that this process leads, so that no two terms share
 * one and later terms have later ones. No task starts before.
 */

import type { StoreCondition } from "../../protocol/http/store-api.js";
import type { Term } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import { decodeAttemptRanges, encodeAttemptRanges } from "../../protocol/records/singleton-records.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { needsReservedRange } from "../state/attempt-numbers.js";

/** Backoff after a reservation that failed or whose result is unknown. */
const retryMs = 500;

/** Dependencies of the reservation. */
export interface AttemptRangeReservationOptions {
	term: Term;
	/** Holds as long as the leader key has the revision of this term. */
	leaderCondition: StoreCondition;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Called with the index of the reserved range. */
	onReserved(index: number): void;
}

/** Owns the reservation of one term. */
export class AttemptRangeReservation {
	private needed: boolean;
	private callInFlight = false;
	private nextTryAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: AttemptRangeReservationOptions) {
		this.needed = needsReservedRange(options.term);
	}

	/** Reserves a range if the term needs one and has none. Called often, only while the leader has authority. */
	tick(): void {
		if (!this.needed || this.callInFlight || this.options.clock.now() < this.nextTryAt) return;
		this.callInFlight = true;
		this.nextTryAt = this.options.clock.now() + retryMs;
		void this.tryReserve();
	}

	private async tryReserve(): Promise<void> {
		const { post, log } = this.options;
		try {
			const index = await this.reserve();
			post(() => this.ended(index));
		} catch (error) {
			// A reservation without a response may be carried out: the next one takes a later range.
			log.debug({ err: error }, "reserving attempt numbers failed");
			post(() => this.ended(null));
		}
	}

	/** Resolves to the index of the reserved range; null: the record or the leader key has changed. */
	private async reserve(): Promise<number | null> {
		const { leaderCondition, store } = this.options;
		const { row } = await store.read(keys.attemptRanges);
		const index = row ? decodeAttemptRanges(row.value).reserved : 0;
		const unchanged = { key: keys.attemptRanges, revision: row?.revision ?? 0 };
		const change = { put: keys.attemptRanges, value: encodeAttemptRanges({ reserved: index + 1 }) };
		const { swapped } = await store.compareAndSwap([leaderCondition, unchanged], [change], "user");
		return swapped ? index : null;
	}

	private ended(index: number | null): void {
		this.callInFlight = false;
		if (index === null) return;
		this.needed = false;
		this.options.onReserved(index);
	}
}
