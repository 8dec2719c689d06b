import type { Job } from "../../bookkeeping/job.js";
import type { QuotaBound } from "../../bookkeeping/quota-ledger.js";
import { tasksByZone } from "../../bookkeeping/zone-rules.js";
import type { Grant, MachineCapacity } from "../../protocol/peer/messages.js";
import type { ClusterState } from "../state/cluster-state.js";
import { placeableTasks } from "./first-fit.js";
import { isStarved } from "./job-order.js";

/** A job is not placed on a machine for this long after one of its tasks failed there. */
const avoidMs = 20_000;
/** A job is not placed on machines of a type that does not suit it for this long after its last failure. */
const avoidTypeMs = 60_000;

export interface TeamGrant {
	team: string;
	grant: Grant;
}

/** The time of a decision, in milliseconds of both clocks. */
export interface ClockReadings {
	monotonicMs: number;
	/** Time of day. */
	wallClockMs: number;
}

/** One pass over the jobs, in scheduling order. */
interface GrantPass {
	jobs: Job[];
	/** Limits the tasks granted to a job in this and earlier passes. */
	most: number;
	/** The part of a team's quota up to which tasks are granted. */
	bound: QuotaBound;
}

/**
 * Decides how many tasks of each job may start now. One task of each starved job comes first, then work within the
 * teams' guarantees, then work that borrows up to the teams' limits; each pass follows the order of `jobs`.
 */
export function computeGrants(
	clusterState: ClusterState,
	jobs: Job[],
	views: MachineCapacity[],
	moment: ClockReadings,
): TeamGrant[] {
	const allocation = new Allocation(clusterState, views);
	const passes: GrantPass[] = [
		{ jobs: jobs.filter((job) => isStarved(job, moment.wallClockMs)), most: 1, bound: "limit" },
		{ jobs, most: Number.POSITIVE_INFINITY, bound: "guaranteed" },
		{ jobs, most: Number.POSITIVE_INFINITY, bound: "limit" },
	];
	for (const pass of passes) allocation.run(pass);
	return [...allocation.counts].map(([job, count]) => ({
		team: job.spec.team,
		grant: grantOf(job, count, views, moment.monotonicMs),
	}));
}

/** The capacity and the quota granted in one placement cycle. */
class Allocation {
	/** Tasks granted to each job, in the order of their first grants. */
	readonly counts = new Map<Job, number>();
	private freeCpus = 0;
	private readonly byTeam = new Map<string, { cpus: number; gpus: number }>();
	private readonly usable = new Map<string, number>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly views: MachineCapacity[],
	) {
		for (const view of views) this.freeCpus += view.cpus;
	}

	run({ jobs, most, bound }: GrantPass): void {
		for (const job of jobs) {
			if (this.freeCpus <= 0) return;
			const { spec } = job;
			const team = this.byTeam.get(spec.team) ?? { cpus: 0, gpus: 0 };
			const already = this.counts.get(job) ?? 0;
			const waiting = Math.min(job.waitingTasks.length, job.failures.everywhere ? 1 : most) - already;
			let count = Math.min(
				waiting,
				this.clusterState.quotas.room(spec, bound, team),
				Math.ceil(this.freeCpus / spec.cpus),
			);
			// Capacity granted to a job that cannot use it would be withheld from jobs that can.

			if (count > 0) count = Math.min(count, this.usableTasks(job) - already);
			if (count <= 0) continue;
			this.counts.set(job, already + count);
			this.byTeam.set(spec.team, {
				cpus: team.cpus + count * spec.cpus,
				gpus: team.gpus + count * spec.gpus,
			});
			this.freeCpus -= count * spec.cpus;
		}
	}

	/**
	 * Returns how many tasks of the job fit on the machines, computed once for all jobs with the same demands. The result
	 * for a job with zone constraints depends on where its own tasks run.
	 */
	private usableTasks(job: Job): number {
		const { spec } = job;
		const zoneRule = spec.singleZone || spec.spreadZones;
		const key = zoneRule ? job.id : job.demandKey;
		let count = this.usable.get(key);
		if (count === undefined) {
			count = placeableTasks(spec, zoneRule ? tasksByZone(job) : {}, this.views);
			this.usable.set(key, count);
		}
		return count;
	}
}

/**
 * Returns the machines to avoid because of recent failures. They are avoided for a limited time only: there may be no
 * others, and the cause of the failures may have disappeared. A job that fails everywhere avoids none.
 */
function machinesToAvoid(job: Job, views: MachineCapacity[], now: number): string[] {
	if (job.failures.everywhere) return [];
	const sinceMs = now - job.failures.lastAt;
	const machines = sinceMs <= avoidMs ? [...job.failures.machines].map((machine) => machine.id) : [];
	if (job.failures.unfitTypes.size === 0 || sinceMs > avoidTypeMs) return machines;
	const unfit = views.filter((view) => job.failures.unfitTypes.has(view.type)).map((view) => view.id);
	return [...new Set([...machines, ...unfit])];
}

function grantOf(job: Job, count: number, views: MachineCapacity[], now: number): Grant {
	const { spec } = job;
	return {
		jobId: job.id,
		count,
		avoidedMachines: machinesToAvoid(job, views, now),
		tasksByZone: spec.singleZone || spec.spreadZones ? tasksByZone(job) : {},
		...(job.isService && { replicaMachines: [...job.attempts.values()].map((a) => a.machine.id) }),
	};
}
