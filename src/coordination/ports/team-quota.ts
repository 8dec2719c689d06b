/** Team quota, as coordination uses it. */

import type { QuotaCharge } from "../../bookkeeping/quota-ledger.js";
import type { Revision, Term } from "../../protocol/model/identifiers.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
/**
 * Team quota: team limits, divided among the controllers as allotments. Its messages between controllers are opaque
 * here; `packages/team-quota` creates and validates them.
 */
export interface TeamQuotaPort {
	/** Applies a value of the store; undefined: the key was deleted. */
	applyStoredValue(key: string, value: unknown, revision: Revision): void;
	/** Returns the limit and guarantee in effect for the team; null: those of the platform's settings. */
	effectiveLimits(team: string): TeamQuota | null;
	/** Applies the allotments that the leader of the term has sent to this controller. */
	applyAllotmentUpdate(term: Term, update: unknown): void;
	/** Admits up to `maxCount` tasks with this demand, and returns how many it has admitted. */
	admit(demand: TaskDemand, maxCount: number): number;
	/** Withdraws admissions that were made since the last batch was closed. */
	withdraw(demand: TaskDemand, count: number): void;
	/** Closes the batch of admissions, and returns the reply that is sent to the leader with it. */
	closeBatch(): unknown;
	/** Returns this controller's reply to the leader's latest allotment update. */
	reply(): unknown;
	/** Begins a term in which this controller leads. */
	beginTerm(term: Term): LeaderQuotaPort;
}
/** Checks starts against allotments, and charges each task to the allotment of a controller. */
export interface AdmissionControl {
	/** This controller, which holds allotments like any other. */
	readonly node: string;
	/** True if a task that the controller has admitted may start. */
	mayStart(demand: TaskDemand, admittedBy: string): boolean;
	/** Charges a task to the allotment of the controller that has admitted it. */
	charge(demand: TaskDemand, admittedBy: string): QuotaCharge;
	/** Charges a task that was found running, so that it is not known which controller admitted it. */
	chargeUnattributed(demand: TaskDemand): QuotaCharge;
	release(charge: QuotaCharge): void;
}
/** The leader's side of team quota, for one term. */
export interface LeaderQuotaPort extends AdmissionControl {
	/** Starts to enforce allotments. All tasks of earlier leaders must have been charged. */
	start(): void;
	end(): void;
	tick(): void;
	/** Handles a holder's reply. True: the admissions that came with it are valid. */
	handleReply(node: string, reply: unknown): boolean;
	/** Returns the next allotment update for the node; undefined: there is none to send. */
	nextUpdate(node: string): unknown;
	/** True if the node's holder responds and its allotment has capacity for one more task. */
	canAdmit(demand: TaskDemand, node: string): boolean;
	/** Moves the parts of the team's allotments that the other nodes do not use to the preferred node. */
	setPreferredHolder(team: string, preferred: string, nodes: readonly string[]): void;
	/** Requests an allotment for this many further tasks on this controller, whichever holder is preferred; 0: none. */
	setLeaderDemand(demand: TaskDemand, count: number): void;
	/** Compares the charges with the usage of the running tasks by the leader's own count. */
	verifyCharges(running: readonly TaskDemand[]): void;
	/** Returns the team's usage above a lower limit that is pending; null: there is none. */
	excessOverPendingLimit(team: string): { cpus: number; gpus: number } | null;
}
