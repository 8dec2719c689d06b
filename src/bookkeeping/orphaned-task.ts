/** Attempts that workers list though nobody wants them, such as those of a job that was cancelled meanwhile. */

import type { JobId } from "../protocol/model/identifiers.js";
import type { TaskDemand } from "../protocol/model/job.js";
import type { AttemptRef } from "../protocol/model/worker.js";
import type { QuotaCharge } from "./quota-ledger.js";

/** What an orphaned task uses of its team's quota. */
interface QuotaUse {
	demand: TaskDemand;
	/** What it takes of its team's allotments; null: team quota is not in use. */
	charge: QuotaCharge | null;
}

/**
 * An attempt that is to be stopped and belongs to no live job or to none that wants it. It uses its team's quota
 * until it is proved gone, and what it uses may have to be read from the store first.
 */
export class OrphanedTask implements AttemptRef {
	readonly jobId: JobId;
	readonly taskIndex: number;
	readonly attempt: number;
	#use: QuotaUse | null = null;

	constructor({ jobId, taskIndex, attempt }: AttemptRef) {
		this.jobId = jobId;
		this.taskIndex = taskIndex;
		this.attempt = attempt;
	}

	/** What it uses of its team's quota; null: not known yet. */
	get demand(): TaskDemand | null {
		return this.#use?.demand ?? null;
	}

	/** What it takes of its team's allotments; null: its demand is not known, or team quota is not in use. */
	get charge(): QuotaCharge | null {
		return this.#use?.charge ?? null;
	}

	/** It has become known what the task uses. */
	setDemand(demand: TaskDemand, charge: QuotaCharge | null): void {
		this.#use = { demand, charge };
	}

	/** Whether this is the same attempt. */
	isSameAttempt({ jobId, taskIndex, attempt }: AttemptRef): boolean {
		return this.attempt === attempt && this.taskIndex === taskIndex && this.jobId === jobId;
	}
}
