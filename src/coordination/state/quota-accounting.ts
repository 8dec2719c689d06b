/** Quota accounting: the usage of teams, by the leader's own count and by charges to allotments. */

import type { QuotaCharge, QuotaLedger } from "../../bookkeeping/quota-ledger.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import type { TaskDemand } from "../../protocol/model/job.js";
import type { AdmissionControl } from "../ports/team-quota.js";

/**
 * Owns the two counts that enforce the limits of teams. The leader's own ledger counts every task from the decision to
 * start it until it is confirmed to have ended. If team quota is enabled, each task is also charged to an allotment:
 * limits are divided into allotments that controllers hold, and a start counts against the allotment of the controller
 * that has admitted it (`admittedBy`). That is the placer that proposed the start, or this leader for starts that it
 * decides by itself. The two counts are independent, so that each reveals a fault of the other.
 */
export class QuotaAccounting {
	#admission: AdmissionControl | null = null;

	constructor(private readonly ledger: QuotaLedger) {}

	/** This leader's node, which admits the starts that the leader decides by itself; empty: team quota is disabled. */
	get leaderNode(): NodeId {
		return this.#admission?.node ?? "";
	}

	/** Enables team quota. The caller charges the tasks that were counted before with `chargeUnattributed`. */
	enableAdmissionControl(admission: AdmissionControl): void {
		this.#admission = admission;
	}

	/** True if one more task with this demand stays within its team's limit, by the leader's own count. */
	fitsLimit(demand: TaskDemand): boolean {
		return this.ledger.fitsLimit(demand);
	}

	/** True if the allotment of the controller allows a task to start, or team quota is disabled. */
	mayStart(demand: TaskDemand, admittedBy: NodeId): boolean {
		return this.#admission === null || this.#admission.mayStart(demand, admittedBy);
	}

	/** Counts a task that is to start, and charges it to the allotment of the controller that has admitted it. */
	allocateAdmitted(demand: TaskDemand, admittedBy: NodeId): QuotaCharge | null {
		const charge = this.#admission?.charge(demand, admittedBy) ?? null;
		this.ledger.allocate(demand);
		return charge;
	}

	/** Counts a task that a machine lists. Its admitting controller is unknown, so team quota selects an allotment. */
	allocateUnattributed(demand: TaskDemand): QuotaCharge | null {
		const charge = this.chargeUnattributed(demand);
		this.ledger.allocate(demand);
		return charge;
	}

	/** Charges a task that the ledger already counts to an allotment; null: team quota is disabled. */
	chargeUnattributed(demand: TaskDemand): QuotaCharge | null {
		return this.#admission?.chargeUnattributed(demand) ?? null;
	}

	/** Releases the usage of a task that is confirmed to have ended. */
	release(demand: TaskDemand, charge: QuotaCharge | null): void {
		this.ledger.release(demand);
		if (charge) this.#admission?.release(charge);
	}
}
