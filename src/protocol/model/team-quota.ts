/** What teams may use, in the service's own terms. The platform's settings spell it `cpus`, `cpus_max` and so on. */

/** Amounts of the resources that quotas count. */
export interface QuotaAmounts {
	cpus: number;
	gpus: number;
}

/** A team's quota. The guaranteed part never exceeds the limit. */
export interface TeamQuota {
	/** The team's name. */
	name: string;
	/** What the team gets before others may borrow it. */
	guaranteed: QuotaAmounts;
	/** What the team's tasks together never exceed; Infinity: there is no limit. */
	limit: QuotaAmounts;
}
