import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { type JobSpec, priorityRank } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Chooses the running tasks to stop so that waiting tasks can start. There are only two reasons to preempt a task: the
 * waiting task has a higher priority, or it is within its team's guarantee and the running one is beyond its own team's.
 */

/**
 * A pass provides capacity for at most this many tasks of one job, or for this many per machine of the fleet if that is
 * more.
 */
const leastPerPass = 8;
const perMachineAndPass = 0.01;
/** Sums of decimals drift; amounts that differ by less are equal. */
const slack = 1e-6;
/** Tasks expected to end within this time provide capacity for as many waiting tasks, for which nothing is preempted. */
const turnoverS = 1;

/**
 * Estimates how many tasks end by themselves within the horizon, in all and by team. In a large fleet with short tasks
 * dozens end every second, and the first jobs in scheduling order take their places: preempting tasks for those jobs
 * would lose work for nothing.
 */
export function expectedTaskEnds(clusterState: ClusterState): { all: number; byTeam: Map<string, number> } {
	let all = 0;
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		if (job.isService) continue;
		const places = (turnoverS * job.attempts.size) / job.estimatedRunS;
		all += places;
		byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + places);
	}
	return { all, byTeam };
}

/** Returns the CPU seconds of work that are lost if the attempt is stopped now. */
export function preemptionCost(attempt: Attempt, now: number): number {
	const { spec } = attempt.job;
	if (attempt.runningSince === null) return 0;
	const elapsedS = (now - attempt.runningSince) / 1000;
	const lost = spec.checkpointIntervalS > 0 ? Math.min(elapsedS, spec.checkpointCostS) : elapsedS;
	return lost * spec.cpus;
}

/** True if the attempt may be stopped for other work at all. */
function stoppable(attempt: Attempt, now: number): boolean {
	if (attempt.protectedFromPreemption(now)) return false;
	// Replicas do not end: one that was stopped would have to start elsewhere.
	return (
		attempt.stop === null &&
		!attempt.job.isService &&
		attempt.phase !== "assigned" &&
		attempt.phase !== "checkpointing"
	);
}

/** True if the attempt saves checkpoints or has run for less than half of its estimated time. */
function cheapToStop(attempt: Attempt, now: number): boolean {
	if (attempt.runningSince === null || attempt.job.spec.checkpointIntervalS > 0) return true;
	return now - attempt.runningSince < 0.5 * attempt.job.estimatedRunS * 1000;
}

/** True if the team's tasks exceed its guarantee once `freedCpus` are released. */
function beyondGuarantee(clusterState: ClusterState, team: string, freedCpus: number): boolean {
	const quota = clusterState.quotas.quotaOf(team);
	return (
		quota !== undefined && clusterState.quotas.usage(team).cpus - freedCpus > quota.guaranteed.cpus + slack
	);
}

/** Limits the machines searched for tasks to stop; a random sample of more. */
const planSample = 150;

interface Amount {
	cpus: number;
	memory: number;
	gpus: number;
}

/**
 * One pass over the waiting jobs. It reads all machines and attempts once; the cost of the rest is in proportion to what
 * is found. With a backlog of hundreds of jobs, a search of all machines for each task would take longer than the time
 * between two passes.
 */
class PreemptionRound {
	readonly victims = new Set<Attempt>();
	/** By team, the cores that stopped attempts will release, minus those that this pass has assigned to waiting tasks. */
	private readonly freed = new Map<string, number>();
	/** By machine, what stopped attempts will release, minus what this pass has assigned to waiting tasks. */
	private readonly extra = new Map<Machine, Amount>();
	/** Available machines on which cores are free or will be released. */
	private readonly withRoom = new Set<Machine>();
	/** Machines that accept new tasks. */
	private readonly open: Machine[];
	private readonly sampledMachines: Machine[];
	/** Attempts that may be preempted, those with the lowest cost first. */
	private readonly cheapest = new Map<Machine, Attempt[]>();
	/** Attempts that may be preempted for a job of the same team, by the job's rank and team; those with the lowest cost last. */
	private readonly own = new Map<string, Attempt[]>();
	/** Demands for which nothing could be preempted: the search for the next job with the same demand would fail too. */
	private readonly unservable = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly now: number,
		private readonly sample: (machines: Machine[]) => Machine[],
	) {
		this.open = [...clusterState.machines.values()].filter(takesWork);
		// Attempts that were stopped earlier and have not ended yet will release their capacity.
		for (const machine of clusterState.machines.values()) {
			for (const attempt of machine.attempts.values()) if (attempt.stop !== null) this.free(attempt);
		}
		for (const m of this.open)
			if (m.capacity.freeCpus + (this.extra.get(m)?.cpus ?? 0) > slack) this.withRoom.add(m);
		this.sampledMachines = sample(this.open);
	}

	/** Adds a task's demand to what the team and the machine will release, or subtracts it. */
	private add(machine: Machine, { spec }: Job, sign: 1 | -1): void {
		this.freed.set(spec.team, (this.freed.get(spec.team) ?? 0) + sign * spec.cpus);
		const on = this.extra.get(machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		on.cpus += sign * spec.cpus;
		on.memory += sign * spec.memoryGb;
		on.gpus += sign * spec.gpus;
		this.extra.set(machine, on);
	}

	private free(attempt: Attempt): void {
		this.add(attempt.machine, attempt.job, 1);
	}

	private take(attempt: Attempt): void {
		this.victims.add(attempt);
		this.free(attempt);
		if (takesWork(attempt.machine)) this.withRoom.add(attempt.machine);
	}

	/** Returns what remains of the machine's free and released capacity once a task of the job is placed on it. */
	private roomOn(machine: Machine, { spec }: Job): Amount {
		const more = this.extra.get(machine);
		return {
			cpus: machine.capacity.freeCpus + (more?.cpus ?? 0) - spec.cpus,
			memory: machine.capacity.freeMemoryGb + (more?.memory ?? 0) - spec.memoryGb,
			gpus: machine.capacity.freeGpus + (more?.gpus ?? 0) - spec.gpus,
		};
	}

	/** Returns the cores that the team uses after all releases so far, plus the additional ones. */
	private used(team: string, more: number): number {
		return this.clusterState.quotas.usage(team).cpus - (this.freed.get(team) ?? 0) + more;
	}

	/** Provides capacity for one more task of the job, by preemption if necessary; false if that is not possible. */
	serve(job: Job, { guaranteed, limit }: TeamQuota): boolean {
		const { spec } = job;
		const urgent = isUrgent(job);
		if (urgent) this.makeRoomInTeam(job, limit.cpus);
		if (this.used(spec.team, spec.cpus) > limit.cpus + slack) return false;
		if (this.takeFree(job)) return true;
		const withinGuarantee = this.used(spec.team, spec.cpus) <= guaranteed.cpus + slack;
		return (urgent || withinGuarantee) && this.stopFor(job, withinGuarantee);
	}

	/** Preempts lower-priority tasks of the job's own team until one more task of the job is within the team's limit. */
	private makeRoomInTeam(job: Job, limit: number): void {
		const { team, cpus } = job.spec;
		if (this.used(team, cpus) <= limit + slack) return;
		const own = this.ownVictims(job);
		while (this.used(team, cpus) > limit + slack) {
			const next = own.pop();
			if (!next) return;
			if (!this.victims.has(next)) this.take(next);
		}
	}

	/** Assigns the task capacity that is free or will be released without further preemption; false: there is none. */
	private takeFree(job: Job): boolean {
		for (const machine of this.withRoom) {
			if (!machineAllowed(job.spec, machine) || !enough(this.roomOn(machine, job))) continue;
			this.add(machine, job, -1);
			return true;
		}
		return false;
	}

	/** Preempts the tasks that cost least for one more task of the job; false: there are none. */
	private stopFor(job: Job, withinGuarantee: boolean): boolean {
		const kind = kindOf(job, withinGuarantee);
		if (kind !== null && this.unservable.has(kind)) return false;
		const plan = this.cheapestPlan(job, withinGuarantee);
		if (!plan) {
			if (kind !== null) this.unservable.add(kind);
			return false;
		}
		for (const attempt of plan.attempts) this.take(attempt);
		this.add(plan.machine, job, -1);
		return true;
	}

	/** True if the attempt may be stopped for a task of the job. */
	private eligible(a: Attempt, job: Job, withinGuarantee: boolean): boolean {
		if (this.victims.has(a)) return false;
		const urgent = isUrgent(job);
		const other = a.job.spec.team;
		if (other === job.spec.team) return urgent && a.job.rank > job.rank;
		// Placement grants guarantees before borrowing. Guaranteed work that was preempted for work that borrows would
		// preempt it in turn, and each preemption loses what has run.
		const borrowed = beyondGuarantee(
			this.clusterState,
			other,
			(this.freed.get(other) ?? 0) + a.job.spec.cpus - slack * 2,
		);
		if (urgent && a.job.rank > job.rank) return withinGuarantee || borrowed;
		return withinGuarantee && borrowed && a.job.rank >= job.rank;
	}

	/** Returns the attempts on the machine that may be preempted, those with the lowest cost first. */
	private candidates(machine: Machine): Attempt[] {
		let list = this.cheapest.get(machine);
		if (!list) {
			list = [...machine.attempts.values()]
				.filter((a) => stoppable(a, this.now) && cheapToStop(a, this.now))
				.sort((a, b) => preemptionCost(a, this.now) - preemptionCost(b, this.now));
			this.cheapest.set(machine, list);
		}
		return list;
	}

	/**
	 * Returns the machines to search for the job. A job with machine constraints gets a sample of the machines that it
	 * allows. A sample of all machines would contain few of these or none: replicas that need on-demand machines would
	 * wait for a pass whose sample happens to contain one.
	 */
	private machinesFor(job: Job): Machine[] {
		if (!isRestricted(job.spec)) return this.sampledMachines;
		return this.sample(this.open.filter((machine) => machineAllowed(job.spec, machine)));
	}

	/** Returns the machine on which one more task of the job costs least, with the attempts to stop; null: there is none. */
	private cheapestPlan(job: Job, withinGuarantee: boolean): { machine: Machine; attempts: Attempt[] } | null {
		let best: { machine: Machine; attempts: Attempt[]; cost: number } | null = null;
		for (const machine of this.machinesFor(job)) {
			const room = this.roomOn(machine, job);
			const attempts: Attempt[] = [];
			let cost = 0;
			for (const a of this.candidates(machine)) {
				if (enough(room) || (best !== null && cost >= best.cost)) break;
				if (!this.eligible(a, job, withinGuarantee)) continue;
				attempts.push(a);
				cost += preemptionCost(a, this.now);
				room.cpus += a.job.spec.cpus;
				room.memory += a.job.spec.memoryGb;
				room.gpus += a.job.spec.gpus;
			}
			if (enough(room) && (best === null || cost < best.cost)) best = { machine, attempts, cost };
		}
		return best;
	}

	/** Returns the lower-priority attempts of the job's team that may be preempted, those with the lowest cost last. */
	private ownVictims(job: Job): Attempt[] {
		const key = `${job.rank}/${job.spec.team}`;
		let own = this.own.get(key);
		if (!own) {
			own = [];
			for (const other of this.clusterState.jobs.values()) {
				if (other.spec.team !== job.spec.team || other.rank <= job.rank) continue;
				for (const a of other.attempts.values())
					if (stoppable(a, this.now) && cheapToStop(a, this.now)) own.push(a);
			}
			own.sort((a, b) => preemptionCost(b, this.now) - preemptionCost(a, this.now));
			this.own.set(key, own);
		}
		return own;
	}
}

function isUrgent(job: Job): boolean {
	return job.rank < priorityRank.normal;
}

/**
 * Returns a key shared by all jobs for which the same attempts can be preempted; null for a job with machine constraints,
 * which are rare and differ from job to job.
 */
function kindOf({ spec, rank }: Job, withinGuarantee: boolean): string | null {
	if (isRestricted(spec)) return null;
	return JSON.stringify([spec.team, rank, withinGuarantee, spec.cpus, spec.memoryGb, spec.gpus]);
}

/** True if the job does not allow every machine. */
function isRestricted({ machineTypes: types, zone, allowSpot: spot }: JobSpec): boolean {
	return types !== null || zone !== null || !spot;
}

function takesWork(machine: Machine): boolean {
	return machine.schedulable && !machine.health.onProbation && machine.capacity.reservedFor === null;
}

/** True if no remaining amount is negative. */
function enough(room: Amount): boolean {
	return room.cpus >= -slack && room.memory >= -slack && room.gpus >= -slack;
}

/**
 * Chooses the attempts to stop for the waiting jobs, which are given in scheduling order.
 *
 * @param sample Returns at most `most` of the machines.
 */
export function chooseVictims(
	clusterState: ClusterState,
	waiting: Job[],
	now: number,
	sample: (machines: Machine[], most: number) => Machine[] = (machines) => machines,
): Attempt[] {
	const pass = new PreemptionRound(clusterState, now, (machines) => sample(machines, planSample));
	const mostPerPass = Math.max(leastPerPass, Math.ceil(clusterState.machines.size * perMachineAndPass));
	const soonFree = expectedTaskEnds(clusterState);
	for (const job of waiting) {
		if (pass.victims.size >= mostPerPass * 3) break;
		const { spec } = job;
		const quota = clusterState.quotas.quotaOf(spec.team);
		if (!quota) continue;
		// A team at its limit can only take the places of its own tasks.
		const atLimit = !clusterState.quotas.fitsLimit(spec);
		const own = soonFree.byTeam.get(spec.team) ?? 0;
		// It is not known on which machines tasks will end, and a replica cannot wait for the right one.
		const served = job.isService
			? 0
			: Math.floor(Math.min(soonFree.all, atLimit ? own : soonFree.all, job.waitingTasks.length));
		soonFree.all -= served;
		if (atLimit) soonFree.byTeam.set(spec.team, own - served);
		let left = Math.min(job.waitingTasks.length - served, mostPerPass);
		while (left > 0 && pass.victims.size < mostPerPass * 3 && pass.serve(job, quota)) left -= 1;
	}
	return [...pass.victims];
}
