/** The quotas of teams. The platform's settings name these fields `cpus`, `cpus_max` and so on. */

/** Amounts of the resources that quotas count. */
export interface QuotaAmounts {
	cpus: number;
	gpus: number;
}

/** A team's quota. The guarantee never exceeds the limit. */
export interface TeamQuota {
	/** The team's name. */
	name: string;
	/** The amount that is available to the team before other teams may borrow it. */
	guaranteed: QuotaAmounts;
	/** The maximum that all tasks of the team together may use; Infinity: there is no limit. */
	limit: QuotaAmounts;
}
