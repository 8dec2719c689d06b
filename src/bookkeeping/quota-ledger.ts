/** The usage of each team's quota by its tasks. */

import type { TaskDemand } from "../protocol/model/job.js";
import type { QuotaAmounts, TeamQuota } from "../protocol/model/team-quota.js";

/** The charge of a task against its team's limit, and the controller whose allotment it currently counts against. */
export interface QuotaCharge {
	readonly team: string;
	/** The controller whose allotment is charged; changes when allotments are moved. */
	node: string;
	/** In thousandths of a CPU or accelerator. */
	readonly amount: { readonly cpus: number; readonly gpus: number };
}

/** One of the two parts of a team's quota: its guarantee or its limit. */
export type QuotaBound = "guaranteed" | "limit";

/** Amounts that differ by less are equal: sums of decimal fractions accumulate rounding errors. */
const tolerance = 1e-6;

const zeroAmounts: Readonly<QuotaAmounts> = { cpus: 0, gpus: 0 };

/**
 * Counts the usage of each team. A task counts from its assignment until it is confirmed to have ended, so that a lost
 * response never leaves a running task uncounted ("the assignment of tasks never exceeds a team's limit…" in
 * tests/coordination/state/cluster-state.test.ts).
 */
export class QuotaLedger {
	private readonly quotas = new Map<string, TeamQuota>();
	private readonly usageByTeam = new Map<string, QuotaAmounts>();

	/** @param teams All teams in the platform's settings. No task of another team fits. */
	constructor(teams: readonly TeamQuota[]) {
		for (const team of teams) this.quotas.set(team.name, team);
	}

	/** Replaces a team's quota. Ignores teams that the platform's settings do not name. */
	setQuota(quota: TeamQuota): void {
		if (this.quotas.has(quota.name)) this.quotas.set(quota.name, quota);
	}

	/** The team's quota; undefined: the platform's settings do not name the team. */
	quotaOf(team: string): TeamQuota | undefined {
		return this.quotas.get(team);
	}

	/** The names of all teams in the platform's settings. */
	get teams(): Iterable<string> {
		return this.quotas.keys();
	}

	/** Current usage of the team's tasks. */
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

	/** Adds a task to the usage of its team. */
	allocate({ team, cpus, gpus }: TaskDemand): void {
		const usage = this.mutableUsage(team);
		usage.cpus += cpus;
		usage.gpus += gpus;
	}

	/** Subtracts a task that has ended from the usage of its team. */
	release({ team, cpus, gpus }: TaskDemand): void {
		const usage = this.mutableUsage(team);
		usage.cpus = Math.max(0, usage.cpus - cpus);
		usage.gpus = Math.max(0, usage.gpus - gpus);
	}

	/** True if one more task with this demand stays within its team's limit. */
	fitsLimit({ team, cpus, gpus }: TaskDemand): boolean {
		const limit = this.quotas.get(team)?.limit;
		if (!limit) return false;
		const usage = this.usage(team);
		return usage.cpus + cpus <= limit.cpus + tolerance && usage.gpus + gpus <= limit.gpus + tolerance;
	}

	/**
	 * Returns the number of further tasks with this demand that fit within the guarantee or the limit of their team.
	 *
	 * @param pending Usage that has been decided on but is not counted yet.
	 */
	taskHeadroom(
		{ team, cpus, gpus }: TaskDemand,
		bound: QuotaBound,
		pending: Readonly<QuotaAmounts> = zeroAmounts,
	): number {
		const max = this.quotas.get(team)?.[bound];
		if (!max) return 0;
		const usage = this.usage(team);
		const tasksByCpus =
			cpus > 0 ? Math.floor((max.cpus - usage.cpus - pending.cpus + tolerance) / cpus) : Infinity;
		const tasksByGpus =
			gpus > 0 ? Math.floor((max.gpus - usage.gpus - pending.gpus + tolerance) / gpus) : Infinity;
		return Math.max(0, Math.min(tasksByCpus, tasksByGpus));
	}
}
