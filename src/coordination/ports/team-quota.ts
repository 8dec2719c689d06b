import type { QuotaCharge } from "../../bookkeeping/quota-ledger.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
/**
 * Team quota: limits divided among the controllers. What controllers tell each other of it is passed
 * on as it is; `packages/team-quota` makes and checks it.
 */
export interface TeamQuotaPort {
	/** News of a stored value; undefined: it is gone. */
	stored(key: string, value: unknown, revision: number): void;
	/** What the team may use for now; null: the platform's settings say it. */
	limits(team: string): TeamQuota | null;
	/** From the leader of the term. */
	takeTerms(term: number, terms: unknown): void;
	/** How many tasks of this size this controller admits, of `most`. */
	admit(demand: TaskDemand, most: number): number;
	/** Gives back admissions since the last batch. */
	withdraw(demand: TaskDemand, count: number): void;
	/** The reply that goes with the admissions since the last batch. */
	sendBatch(): unknown;
	reply(): unknown;
	lead(term: number): LeaderQuotaPort;
}
/** Whether allotments let a task start, and whose allotment each task counts against. */
export interface AdmissionControl {
	/** This node, which holds allotments like any other. */
	readonly self: string;
	mayStart(demand: TaskDemand, admittedBy: string): boolean;
	charge(demand: TaskDemand, admittedBy: string): QuotaCharge;
	/** Of a task that was found running: nobody knows who admitted it. */
	chargeFound(demand: TaskDemand): QuotaCharge;
	release(charge: QuotaCharge): void;
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
	hasRoom(demand: TaskDemand, node: string): boolean;
	prefer(team: string, preferred: string, nodes: readonly string[]): void;
	/** This node is to admit so many tasks, whoever is preferred; 0: no longer. */
	need(demand: TaskDemand, count: number): void;
	/** By the leader's own count, to be compared with what is charged. */
	scrub(running: readonly TaskDemand[]): void;
	/** What the team runs above a lower limit that is pending. */
	excess(team: string): { cpus: number; gpus: number } | null;
}
