import type { QuotaCharge } from "../../bookkeeping/quota-ledger.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
/**
 * Team quota: limits divided among the controllers. What controllers tell each other of it is passed
 * on as it is; `packages/team-quota` makes and checks it.
 */
export interface TeamQuotaPort {
	/** News of a stored value; undefined: it is gone. */
	applyStoredValue(key: string, value: unknown, revision: number): void;
	/** What the team may use for now; null: the platform's settings say it. */
	effectiveLimits(team: string): TeamQuota | null;
	/** From the leader of the term. */
	applyAllotmentUpdate(term: number, update: unknown): void;
	/** How many tasks of this size this controller admits, of `most`. */
	admit(demand: TaskDemand, maxCount: number): number;
	/** Gives back admissions since the last batch. */
	withdraw(demand: TaskDemand, count: number): void;
	/** The reply that goes with the admissions since the last batch. */
	closeBatch(): unknown;
	reply(): unknown;
	beginTerm(term: number): LeaderQuotaPort;
}
/** Whether allotments let a task start, and whose allotment each task counts against. */
export interface AdmissionControl {
	/** This node, which holds allotments like any other. */
	readonly node: string;
	mayStart(demand: TaskDemand, admittedBy: string): boolean;
	charge(demand: TaskDemand, admittedBy: string): QuotaCharge;
	/** Of a task that was found running: nobody knows who admitted it. */
	chargeUnattributed(demand: TaskDemand): QuotaCharge;
	release(charge: QuotaCharge): void;
}
/** The leader's side of team quota, for one term. */
export interface LeaderQuotaPort extends AdmissionControl {
	/** All tasks of earlier leaders are charged. */
	start(): void;
	end(): void;
	tick(): void;
	/** True: the admissions that came with the reply count. */
	handleReply(node: string, reply: unknown): boolean;
	/** What the node is to be told; undefined: nothing. */
	nextUpdate(node: string): unknown;
	canAdmit(demand: TaskDemand, node: string): boolean;
	setPreferredHolder(team: string, preferred: string, nodes: readonly string[]): void;
	/** This node is to admit so many tasks, whoever is preferred; 0: no longer. */
	setLeaderDemand(demand: TaskDemand, count: number): void;
	/** By the leader's own count, to be compared with what is charged. */
	verifyCharges(running: readonly TaskDemand[]): void;
	/** What the team runs above a lower limit that is pending. */
	excessOverPendingLimit(team: string): { cpus: number; gpus: number } | null;
}
