/** Which tasks use their teams' quotas, by the leader's own count and by allotments. */

import type { QuotaCharge, QuotaLedger } from "../../bookkeeping/quota-ledger.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { AdmissionControl } from "../ports/team-quota.js";

/**
 * Owns the two counts that keep teams within their limits. The leader's own ledger counts every task from the
 * decision to start it until it is proved gone. Where team quota is in use, each task is charged to an allotment
 * as well: limits are divided into allotments that controllers hold, and a start counts against the allotment of
 * the controller that has admitted it (`admittedBy`). That is the placer that proposed the start, or this leader
 * for starts that it decides by itself. The two counts are kept apart so that each shows a fault of the other.
 */
export class QuotaAccounting {
	#admission: AdmissionControl | null = null;

	constructor(private readonly ledger: QuotaLedger) {}

	/** The controller that admits the starts that this leader decides by itself; empty: team quota is not in use. */
	get leaderNode(): NodeId {
		return this.#admission?.node ?? "";
	}

	/** Team quota is in use from now on. Tasks that were counted before are to be charged with `chargeFound`. */
	enableAdmissionControl(admission: AdmissionControl): void {
		this.#admission = admission;
	}

	/** Whether one more task with this demand stays within its team's limit, by the leader's own count. */
	fitsLimit(demand: TaskDemand): boolean {
		return this.ledger.fitsLimit(demand);
	}

	/** Whether the allotment of the controller lets a task start; true where team quota is not in use. */
	mayStart(demand: TaskDemand, admittedBy: NodeId): boolean {
		return this.#admission === null || this.#admission.mayStart(demand, admittedBy);
	}

	/** Counts a task that is to start, and charges it to the controller that has admitted it. */
	allocateAdmitted(demand: TaskDemand, admittedBy: NodeId): QuotaCharge | null {
		const charge = this.#admission?.charge(demand, admittedBy) ?? null;
		this.ledger.allocate(demand);
		return charge;
	}

	/** Counts a task that was found on a machine. Nobody knows who had admitted it, so team quota chooses. */
	allocateUnattributed(demand: TaskDemand): QuotaCharge | null {
		const charge = this.chargeUnattributed(demand);
		this.ledger.allocate(demand);
		return charge;
	}

	/** Charges a task that the ledger counts already; null: team quota is not in use. */
	chargeUnattributed(demand: TaskDemand): QuotaCharge | null {
		return this.#admission?.chargeUnattributed(demand) ?? null;
	}

	/** A task that was counted is proved gone. */
	release(demand: TaskDemand, charge: QuotaCharge | null): void {
		this.ledger.release(demand);
		if (charge) this.#admission?.release(charge);
	}
}
