import type { MachineListPage, RentRequest } from "../protocol/cloud-api.js";
import type { MachineType, Order, WorkerReport } from "../protocol/model.js";
import type { StoreChange, StoreCondition, StoreEvent, StoreRow } from "../protocol/store-api.js";

/** What coordination needs of the world outside; transport provides it. */

/**
 * refused: certainly not executed (503, 429, no connection).
 * unknown: no answer; it may have been executed, or may still be.
 * rejected: the other side says no and will keep saying so (400, 404, 410).
 */
export type FailureKind = "refused" | "unknown" | "rejected";

export class CallFailed extends Error {
	constructor(
		readonly kind: FailureKind,
		readonly status: number,
		message: string,
	) {
		super(message);
	}
}

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

export interface CloudPort {
	machineTypes(): Promise<MachineType[]>;
	rent(request: RentRequest): Promise<string[]>;
	giveBack(machines: string[]): Promise<void>;
	list(after: string): Promise<MachineListPage>;
}

export interface WorkerPort {
	/** Sends orders straight to a worker. The report says whether they were executed. */
	command(
		endpoint: string,
		token: number,
		session: number,
		orders: Order[],
	): Promise<{ executed: boolean; report: WorkerReport }>;
}

export interface PeerPort {
	/** Best effort: a message to a peer that cannot be reached is dropped. */
	send(node: string, message: unknown): void;
}

/** Steady time in milliseconds, the time of day, and timers. */
export interface TimePort {
	now(): number;
	date(): Date;
	after(ms: number, run: () => void): { cancel(): void };
}

export interface Log {
	error(fields: object, message: string): void;
	info(fields: object, message: string): void;
	debug(fields: object, message: string): void;
}
