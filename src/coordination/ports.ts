import type { TeamCharge, TeamLimits } from "../bookkeeping/quotas.js";
import type { MachineListPage, RentRequest } from "../protocol/cloud-api.js";
import type { Demand, MachineType, Order, WorkerReport } from "../protocol/model.js";
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

/**
 * Team quota: limits divided among the controllers. What controllers tell each other of it is passed
 * on as it is; `packages/team-quota` makes and checks it.
 */
export interface TeamQuotaPort {
	/** News of a stored value; undefined: it is gone. */
	stored(key: string, value: unknown, revision: number): void;
	/** What the team may use for now; null: the platform's settings say it. */
	limits(team: string): TeamLimits | null;
	/** From the leader of the term. */
	takeTerms(term: number, terms: unknown): void;
	/** How many tasks of this size this controller admits, of `most`. */
	admit(demand: Demand, most: number): number;
	/** Gives back admissions since the last batch. */
	withdraw(demand: Demand, count: number): void;
	/** The reply that goes with the admissions since the last batch. */
	sendBatch(): unknown;
	reply(): unknown;
	lead(term: number): LeaderQuotaPort;
}

/** Whether allotments let a task start, and whose allotment each task counts against. */
export interface AdmissionControl {
	/** This node, which holds allotments like any other. */
	readonly self: string;
	mayStart(demand: Demand, admittedBy: string): boolean;
	charge(demand: Demand, admittedBy: string): TeamCharge;
	/** Of a task that was found running: nobody knows who admitted it. */
	chargeFound(demand: Demand): TeamCharge;
	release(charge: TeamCharge): void;
}

/** The leader's side of team quota, for one term. */
export interface LeaderQuotaPort extends AdmissionControl {
	/** All tasks of earlier leaders are charged. */
	start(): void;
	end(): void;
	tick(): void;
	/** True: the admissions that came with the reply count. */
	heard(node: string, reply: unknown): boolean;
	/** What the node is to be told; undefined: nothing. */
	termsFor(node: string): unknown;
	hasRoom(demand: Demand, node: string): boolean;
	prefer(team: string, preferred: string, nodes: readonly string[]): void;
	/** This node is to admit so many tasks, whoever is preferred; 0: no longer. */
	need(demand: Demand, count: number): void;
	/** By the leader's own count, to be compared with what is charged. */
	scrub(running: readonly Demand[]): void;
	/** What the team runs above a lower limit that is pending. */
	excess(team: string): { cpus: number; gpus: number } | null;
}
