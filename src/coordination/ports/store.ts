/** The consensus-backed key-value store, as coordination uses it. */

import type { StoreChange, StoreCondition, StoreEvent, StoreRow } from "../../protocol/http/store-api.js";
import type { LeaseId, Revision } from "../../protocol/model/identifiers.js";

/**
 * The result of a compare-and-swap: `swapped` if all conditions held and the changes were made, and otherwise the
 * keys whose conditions did not hold.
 */
export type CompareAndSwapResult =
	| { swapped: true; revision: Revision }
	| { swapped: false; conflicts: string[]; revision: Revision };

/**
 * The priority of a call within the store's write rate limit. A call for a waiting user (`user`) is sent at once,
 * and retried if the store refuses it for its rate. `normal` and `background` calls wait for unused capacity within
 * the rate limit; `background` calls require more of it to be unused.
 */
export type WritePriority = "user" | "normal" | "background";

/** Some rows of a prefix, which may also include changes after the revision. */
export interface StorePage {
	rows: StoreRow[];
	revision: Revision;
}

/** The store. All calls reject with a CallError. */
export interface KeyValueStore {
	/** Reads the row of a key; null: there is none. */
	read(key: string): Promise<{ row: StoreRow | null }>;
	/** Reads all rows below a prefix, and a revision whose changes they include; they may also include later changes. */
	readPrefix(prefix: string): Promise<{ rows: StoreRow[]; revision: Revision }>;
	/**
	 * Reads all rows below a prefix in the order of their keys, page by page, so that the caller need not hold all values
	 * at once. There is at least one page. Each has a revision whose changes its rows include.
	 */
	readPages(prefix: string): AsyncIterable<StorePage>;
	/** Makes all changes atomically if every key in the conditions has the given revision, and none otherwise. */
	compareAndSwap(
		conditions: StoreCondition[],
		changes: StoreChange[],
		priority: WritePriority,
	): Promise<CompareAndSwapResult>;
	/** Grants a lease. The store deletes the keys that are attached to it when it ends. */
	grantLease(ttlMs: number): Promise<LeaseId>;
	/** Renews a lease. Rejects with status 404 when the lease has ended. */
	renewLease(lease: LeaseId): Promise<void>;
	/** Ends a lease at once. */
	revokeLease(lease: LeaseId): Promise<void>;
	/**
	 * Returns every change below a prefix after a revision, and the revision up to which the response is complete.
	 * Without a change the store responds after `waitMs`; 0: at once.
	 */
	watch(
		prefix: string,
		afterRevision: Revision,
		waitMs: number,
	): Promise<{ events: StoreEvent[]; revision: Revision }>;
}
