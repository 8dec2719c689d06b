/** Attempts that workers list but that no live job needs, for example after a cancellation. */

import type { AttemptNumber, JobId } from "../protocol/model/identifiers.js";
import type { TaskDemand } from "../protocol/model/job.js";
import type { AttemptRef } from "../protocol/model/worker.js";
import type { QuotaCharge } from "./quota-ledger.js";

/** Usage of its team's quota by an orphaned task. */
interface QuotaUsage {
	demand: TaskDemand;
	/** The charge against its team's allotments; null: team quota is not in use. */
	charge: QuotaCharge | null;
}

/**
 * An attempt on a worker that is to be stopped, because its job is not live or does not have this attempt. It counts
 * against its team's quota until it is confirmed to have ended. Its demand may have to be read from the store first.
 */
export class OrphanedTask implements AttemptRef {
	readonly jobId: JobId;
	readonly taskIndex: number;
	readonly attempt: AttemptNumber;
	#quotaUsage: QuotaUsage | null = null;

	constructor({ jobId, taskIndex, attempt }: AttemptRef) {
		this.jobId = jobId;
		this.taskIndex = taskIndex;
		this.attempt = attempt;
	}

	/** Demand that counts against its team's quota; null: not known yet. */
	get demand(): TaskDemand | null {
		return this.#quotaUsage?.demand ?? null;
	}

	/** The charge against its team's allotments; null: the demand is not known, or team quota is not in use. */
	get charge(): QuotaCharge | null {
		return this.#quotaUsage?.charge ?? null;
	}

	/** Sets the demand, once it is known, and the charge. */
	setDemand(demand: TaskDemand, charge: QuotaCharge | null): void {
		this.#quotaUsage = { demand, charge };
	}

	/** True if the reference names this attempt. */
	isSameAttempt({ jobId, taskIndex, attempt }: AttemptRef): boolean {
		return this.attempt === attempt && this.taskIndex === taskIndex && this.jobId === jobId;
	}
}
