/** Grants: how many tasks of each job may start in a placement cycle. */

import type { Job } from "../../bookkeeping/job.js";
import type { QuotaBound } from "../../bookkeeping/quota-ledger.js";
import { tasksByZone } from "../../bookkeeping/zone-rules.js";
import type { Grant, MachineCapacity } from "../../protocol/peer/messages.js";
import type { ClusterState } from "../state/cluster-state.js";
import { placeableTasks } from "./first-fit.js";
import { isStarved } from "./job-order.js";

/** A job is not placed on a machine for this long after one of its tasks failed there. */
const avoidFailedMachinesMs = 20_000;
/** A job is not placed on machines of a type that is unfit for it, for this long after its last failure. */
const avoidUnfitTypesMs = 60_000;

/** A grant with the team whose quota it uses. */
export interface TeamGrant {
	team: string;
	grant: Grant;
}

/** The time of a decision by both clocks, in milliseconds. */
export interface ClockReadings {
	monotonicMs: number;
	wallClockMs: number;
}

/** One pass over the jobs, in scheduling order. */
interface GrantPass {
	jobs: Job[];
	/** The maximum number of tasks granted to a job in this and earlier passes. */
	maxTasksPerJob: number;
	/** The part of a team's quota up to which tasks are granted. */
	quotaBound: QuotaBound;
}

/**
 * Decides how many tasks of each job may start now. One task of each starved job comes first, then work within
 * the teams' guarantees, then work that borrows up to the teams' limits; each pass follows the order of `jobs`.
 */
export function computeGrants(
	clusterState: ClusterState,
	jobs: Job[],
	capacities: MachineCapacity[],
	clockReadings: ClockReadings,
): TeamGrant[] {
	const allocation = new GrantAllocation(clusterState, capacities);
	const passes: GrantPass[] = [
		{
			jobs: jobs.filter((job) => isStarved(job, clockReadings.wallClockMs)),
			maxTasksPerJob: 1,
			quotaBound: "limit",
		},
		{ jobs, maxTasksPerJob: Number.POSITIVE_INFINITY, quotaBound: "guaranteed" },
		{ jobs, maxTasksPerJob: Number.POSITIVE_INFINITY, quotaBound: "limit" },
	];
	for (const pass of passes) allocation.runPass(pass);
	return [...allocation.grantedTasks].map(([job, count]) => ({
		team: job.spec.team,
		grant: grantOf(job, count, capacities, clockReadings.monotonicMs),
	}));
}

/** The capacity and the quota granted in one placement cycle. */
class GrantAllocation {
	/** Tasks granted to each job, in the order of their first grants. */
	readonly grantedTasks = new Map<Job, number>();
	private remainingCpus = 0;
	private remainingAttempts: number;
	private readonly grantedByTeam = new Map<string, { cpus: number; gpus: number }>();
	private readonly placeableTasksByKey = new Map<string, number>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly capacities: MachineCapacity[],
	) {
		for (const capacity of capacities) this.remainingCpus += capacity.cpus;
		this.remainingAttempts = clusterState.attemptHeadroom;
	}

	runPass({ jobs, maxTasksPerJob, quotaBound }: GrantPass): void {
		for (const job of jobs) {
			if (this.remainingCpus <= 0 || this.remainingAttempts <= 0) return;
			const { spec } = job;
			const grantedToTeam = this.grantedByTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
			const grantedBefore = this.grantedTasks.get(job) ?? 0;
			const ungranted =
				Math.min(job.waitingTasks.count, job.failures.failsEverywhere ? 1 : maxTasksPerJob) - grantedBefore;
			let count = Math.min(
				ungranted,
				this.clusterState.quotas.taskHeadroom(spec, quotaBound, grantedToTeam),
				Math.ceil(this.remainingCpus / spec.cpus),
				this.remainingAttempts,
			);
			// Capacity granted to a job that cannot use it would be withheld from jobs that can.
			if (count > 0) count = Math.min(count, this.placeableTasksOf(job) - grantedBefore);
			if (count <= 0) continue;
			this.grantedTasks.set(job, grantedBefore + count);
			this.grantedByTeam.set(spec.team, {
				cpus: grantedToTeam.cpus + count * spec.cpus,
				gpus: grantedToTeam.gpus + count * spec.gpus,
			});
			this.remainingCpus -= count * spec.cpus;
			this.remainingAttempts -= count;
		}
	}

	/**
	 * Returns how many tasks of the job fit on the machines, computed once for all jobs with the same demands.
	 * The result for a job with zone constraints depends on where its own tasks run.
	 */
	private placeableTasksOf(job: Job): number {
		const { spec } = job;
		const hasZoneConstraint = spec.singleZone || spec.spreadZones;
		const key = hasZoneConstraint ? job.id : job.demandKey;
		let count = this.placeableTasksByKey.get(key);
		if (count === undefined) {
			count = placeableTasks(spec, hasZoneConstraint ? tasksByZone(job) : {}, this.capacities);
			this.placeableTasksByKey.set(key, count);
		}
		return count;
	}
}

/**
 * Returns the machines to avoid because of recent failures. They are avoided for a limited time only: there may
 * be no others, and the cause of the failures may have disappeared. A job that fails everywhere avoids none.
 */
function machinesToAvoid(job: Job, capacities: MachineCapacity[], now: number): string[] {
	if (job.failures.failsEverywhere) return [];
	const sinceLastFailureMs = now - job.failures.lastFailureAt;
	const failedMachines =
		sinceLastFailureMs <= avoidFailedMachinesMs
			? [...job.failures.failedMachines].map((machine) => machine.id)
			: [];
	if (job.failures.unfitTypes.size === 0 || sinceLastFailureMs > avoidUnfitTypesMs) return failedMachines;
	const unfitMachines = capacities
		.filter((view) => job.failures.unfitTypes.has(view.type))
		.map((view) => view.id);
	return [...new Set([...failedMachines, ...unfitMachines])];
}

function grantOf(job: Job, count: number, capacities: MachineCapacity[], now: number): Grant {
	const { spec } = job;
	return {
		jobId: job.id,
		count,
		avoidedMachines: machinesToAvoid(job, capacities, now),
		tasksByZone: spec.singleZone || spec.spreadZones ? tasksByZone(job) : {},
		...(job.isService && { replicaMachines: [...job.attempts.values()].map((a) => a.machine.id) }),
	};
}
