import type { StoreChange, StoreCondition, StoreEvent, StoreRow } from "../../protocol/http/store-api.js";

export type TransactionResult = { ok: true; epoch: number } | { ok: false; failed: string[]; epoch: number };
/** Which share of the store's request rate a call draws on. */
export type RateClass = "first" | "normal" | "background";
export interface StorePort {
	/** null: there is no such key, as of the epoch given. */
	read(key: string): Promise<{ row: StoreRow | null; epoch: number }>;
	rows(prefix: string): Promise<{ rows: StoreRow[]; epoch: number }>;
	transact(
		conditions: StoreCondition[],
		changes: StoreChange[],
		rateClass: RateClass,
	): Promise<TransactionResult>;
	grantLease(ttlMs: number): Promise<number>;
	renewLease(lease: number): Promise<void>;
	endLease(lease: number): Promise<void>;
	watch(prefix: string, from: number, waitMs: number): Promise<{ events: StoreEvent[]; epoch: number }>;
}
