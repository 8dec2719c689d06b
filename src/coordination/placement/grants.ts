import type { Job } from "../../bookkeeping/job.js";
import type { QuotaBound } from "../../bookkeeping/quota-ledger.js";
import { tasksByZone } from "../../bookkeeping/zone-rules.js";
import type { Grant, MachineCapacity } from "../../protocol/peer/messages.js";
import type { ClusterState } from "../state/cluster-state.js";
import { placeableTasks } from "./first-fit.js";
import { starved } from "./job-order.js";

/** So long a job keeps off machines on which it failed, and off types that do not suit it. */
const avoidMs = 20_000;
const avoidTypeMs = 60_000;

export interface TeamGrant {
	team: string;
	grant: Grant;
}

/** The moment of a decision, by the steady clock and by the time of day. */
export interface Moment {
	now: number;
	date: number;
}

/** One time through the jobs in their order. */
interface GrantPass {
	jobs: Job[];
	/** Most tasks of a job that this pass grants. */
	most: number;
	/** Up to which part of teams' quotas. */
	bound: QuotaBound;
}

/** Who may start how much now: guarantees first, then borrowing; urgent before the rest. */
export function grantsFor(
	clusterState: ClusterState,
	jobs: Job[],
	views: MachineCapacity[],
	moment: Moment,
): TeamGrant[] {
	const allocation = new Allocation(clusterState, views);
	const passes: GrantPass[] = [
		{ jobs: jobs.filter((job) => starved(job, moment.date)), most: 1, bound: "limit" },
		{ jobs, most: Number.POSITIVE_INFINITY, bound: "guaranteed" },
		{ jobs, most: Number.POSITIVE_INFINITY, bound: "limit" },
	];
	for (const pass of passes) allocation.run(pass);
	return [...allocation.counts].map(([job, count]) => ({
		team: job.spec.team,
		grant: grantOf(job, count, views, moment.now),
	}));
}

/** Room promised in one placement cycle. */
class Allocation {
	/** Tasks granted, by job in the order of the first grant. */
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
			const waiting = Math.min(job.waitingTasks.length, job.failures.failsEverywhere ? 1 : most) - already;
			let count = Math.min(
				waiting,
				this.clusterState.quotas.taskHeadroom(spec, bound, team),
				Math.ceil(this.freeCpus / spec.cpus),
			);
			// Room promised to work that cannot use it would be kept from work that can.
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

	/** Tasks of the job that the machines could take, worked out once for jobs with the same demands. */
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

/** For a while only: there may be no others, and what was wrong there may be over. */
function machinesToAvoid(job: Job, views: MachineCapacity[], now: number): string[] {
	if (job.failures.failsEverywhere) return [];
	const sinceMs = now - job.failures.lastFailureAt;
	const machines = sinceMs <= avoidMs ? [...job.failures.failedMachines].map((machine) => machine.id) : [];
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
