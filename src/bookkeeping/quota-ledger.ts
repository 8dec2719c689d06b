/** What the tasks of each team take, against the team's quota. */

import type { TaskDemand } from "../protocol/model/job.js";
import type { QuotaAmounts, TeamQuota } from "../protocol/model/team-quota.js";

/** A task's part of its team's limit, and the controller whose allotment it comes from for now. */
export interface QuotaCharge {
	readonly team: string;
	/** The controller whose allotment holds it; the charge follows when allotments move. */
	node: string;
	/** In thousandths. */
	readonly amount: { readonly cpus: number; readonly gpus: number };
}

/** A part of a team's quota: what is guaranteed to it, or all that it may use. */
export type QuotaBound = "guaranteed" | "limit";

/** Sums of decimals drift; amounts that differ by less are equal. */
const tolerance = 1e-6;

const nothing: Readonly<QuotaAmounts> = { cpus: 0, gpus: 0 };

/**
 * Counts what teams' tasks take. A task counts from the moment its start is decided until it is proved gone, so
 * that a lost response can never hide one ("the assignment of tasks never exceeds a team's limit…" in
 * tests/coordination/state/cluster-state.test.ts).
 */
export class QuotaLedger {
	private readonly quotas = new Map<string, TeamQuota>();
	private readonly usageByTeam = new Map<string, QuotaAmounts>();

	/** @param teams All teams that the platform names. Others have no quota: nothing of theirs fits. */
	constructor(teams: readonly TeamQuota[]) {
		for (const team of teams) this.quotas.set(team.name, team);
	}

	/** A team's quota has changed. Teams that the platform does not name get none. */
	setQuota(quota: TeamQuota): void {
		if (this.quotas.has(quota.name)) this.quotas.set(quota.name, quota);
	}

	/** The team's quota; undefined: the platform does not name the team. */
	quotaOf(team: string): TeamQuota | undefined {
		return this.quotas.get(team);
	}

	/** The names of all teams that the platform names. */
	get teams(): Iterable<string> {
		return this.quotas.keys();
	}

	/** What the team's tasks take now. */
	usage(team: string): Readonly<QuotaAmounts> {
		return this.mutableUsage(team);
	}

	private mutableUsage(team: string): QuotaAmounts {
		let usage = this.usageByTeam.get(team);
		if (!usage) {
			usage = { cpus: 0, gpus: 0 };
			this.usageByTeam.set(team, usage);
		}
		return usage;
	}

	/** Counts a task of the demand's team. */
	allocate({ team, cpus, gpus }: TaskDemand): void {
		const usage = this.mutableUsage(team);
		usage.cpus += cpus;
		usage.gpus += gpus;
	}

	/** A task that was counted is proved gone. */
	release({ team, cpus, gpus }: TaskDemand): void {
		const usage = this.mutableUsage(team);
		usage.cpus = Math.max(0, usage.cpus - cpus);
		usage.gpus = Math.max(0, usage.gpus - gpus);
	}

	/** Whether one more task with this demand stays within its team's limit. */
	fitsLimit({ team, cpus, gpus }: TaskDemand): boolean {
		const limit = this.quotas.get(team)?.limit;
		if (!limit) return false;
		const usage = this.usage(team);
		return usage.cpus + cpus <= limit.cpus + tolerance && usage.gpus + gpus <= limit.gpus + tolerance;
	}

	/**
	 * How many more tasks with this demand fit within the bound of their team's quota.
	 *
	 * @param promised What else of the quota is about to be used, beside what tasks take now.
	 */
	taskHeadroom(
		{ team, cpus, gpus }: TaskDemand,
		bound: QuotaBound,
		promised: Readonly<QuotaAmounts> = nothing,
	): number {
		const most = this.quotas.get(team)?.[bound];
		if (!most) return 0;
		const usage = this.usage(team);
		const byCpus =
			cpus > 0 ? Math.floor((most.cpus - usage.cpus - promised.cpus + tolerance) / cpus) : Infinity;
		const byGpus =
			gpus > 0 ? Math.floor((most.gpus - usage.gpus - promised.gpus + tolerance) / gpus) : Infinity;
		return Math.max(0, Math.min(byCpus, byGpus));
	}
}
