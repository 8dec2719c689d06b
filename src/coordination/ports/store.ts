/** What coordination needs of the consensus-backed key-value store. */

import type { StoreChange, StoreCondition, StoreEvent, StoreRow } from "../../protocol/http/store-api.js";
import type { LeaseId, Revision } from "../../protocol/model/identifiers.js";

/** Whether all conditions held, so that the changes were made; the keys whose conditions did not hold. */
export type CompareAndSwapResult =
	| { swapped: true; revision: Revision }
	| { swapped: false; conflicts: string[]; revision: Revision };

/**
 * Which share of the store's write rate a call draws on. A `user` is waiting for the call: it is sent at once,
 * and again if it is refused for its rate. `normal` and `background` calls wait for room, the latter for more.
 */
export type WritePriority = "user" | "normal" | "background";

/** The store. All calls reject with a CallError. */
export interface KeyValueStore {
	/** The row of a key; null: there is none. */
	read(key: string): Promise<{ row: StoreRow | null }>;
	/** All rows below a prefix, and a revision at or before all of them. */
	readPrefix(prefix: string): Promise<{ rows: StoreRow[]; revision: Revision }>;
	/** Makes all changes at once if every key in the conditions has the given revision, and none otherwise. */
	compareAndSwap(
		conditions: StoreCondition[],
		changes: StoreChange[],
		priority: WritePriority,
	): Promise<CompareAndSwapResult>;
	/** Grants a lease. Keys that are attached to it are deleted when it ends. */
	grantLease(ttlMs: number): Promise<LeaseId>;
	/** Renews a lease. Rejects with status 404 when the lease has ended. */
	renewLease(lease: LeaseId): Promise<void>;
	/** Ends a lease at once. */
	revokeLease(lease: LeaseId): Promise<void>;
	/**
	 * Every change below a prefix after a revision, and the revision that the answer covers. Without a change it
	 * answers after `waitMs`; 0: at once.
	 */
	watch(
		prefix: string,
		afterRevision: Revision,
		waitMs: number,
	): Promise<{ events: StoreEvent[]; revision: Revision }>;
}
