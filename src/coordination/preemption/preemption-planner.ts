/** The choice of the tasks that are preempted for waiting ones. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { type JobSpec, priorityRank } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { ResourceAmounts } from "../placement/free-capacity.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Chooses the running tasks to stop so that waiting tasks can start. There are only two reasons to preempt a
 * task: the waiting task has a higher priority, or it is within its team's guarantee and the running one is
 * beyond its own team's.
 */

/**
 * A pass provides capacity for a limited number of tasks of each job, and stops at most three times as many tasks
 * in all. The limit is in proportion to the machines of the fleet, with a minimum.
 */
const minTaskLimitPerJob = 8;
const taskLimitPerMachine = 0.01;
/** Amounts that differ by less are equal: sums of decimal fractions accumulate rounding errors. */
const tolerance = 1e-6;
/**
 * Tasks expected to end within this time provide capacity for as many waiting tasks, for which nothing is
 * preempted.
 */
const taskEndHorizonS = 1;

/**
 * Estimates how many tasks end by themselves within the horizon, in all and by team. In a large fleet with
 * short tasks dozens end every second, and the first jobs in scheduling order take their places: preempting
 * tasks for those jobs would lose work for nothing.
 */
export function expectedTaskEnds(clusterState: ClusterState): { total: number; byTeam: Map<string, number> } {
	let total = 0;
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		if (job.isService) continue;
		const ends = (taskEndHorizonS * job.attempts.size) / job.estimatedRunS;
		total += ends;
		byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + ends);
	}
	return { total, byTeam };
}

/** Returns the CPU seconds of work that are lost if the attempt is stopped now. */
export function preemptionCost(attempt: Attempt, now: number): number {
	const { spec } = attempt.job;
	if (attempt.runningSince === null) return 0;
	const elapsedS = (now - attempt.runningSince) / 1000;
	const lostS = spec.checkpointIntervalS > 0 ? Math.min(elapsedS, spec.checkpointCostS) : elapsedS;
	return lostS * spec.cpus;
}

/** True if the attempt may be stopped for other work at all. */
function isPreemptible(attempt: Attempt, now: number): boolean {
	if (attempt.isProtectedFromPreemption(now)) return false;
	// Replicas do not end: one that was stopped would have to start elsewhere.
	return (
		attempt.stopRequest === null &&
		!attempt.job.isService &&
		attempt.phase !== "assigned" &&
		attempt.phase !== "checkpointing"
	);
}

/** True if the attempt saves checkpoints or has run for less than half of its estimated time. */
function losesLittleWork(attempt: Attempt, now: number): boolean {
	if (attempt.runningSince === null || attempt.job.spec.checkpointIntervalS > 0) return true;
	return now - attempt.runningSince < 0.5 * attempt.job.estimatedRunS * 1000;
}

/** True if the team's tasks exceed its guarantee once `freedCpus` are released. */
function exceedsGuarantee(clusterState: ClusterState, team: string, freedCpus: number): boolean {
	const quota = clusterState.quotas.quotaOf(team);
	return (
		quota !== undefined &&
		clusterState.quotas.usage(team).cpus - freedCpus > quota.guaranteed.cpus + tolerance
	);
}

/** Maximum number of machines searched for tasks to stop: a random sample if there are more. */
const maxSampledMachines = 150;

/**
 * One pass over the waiting jobs. It reads all machines and attempts once; the cost of the rest is in
 * proportion to what is found. With a backlog of hundreds of jobs, a search of all machines for each task would
 * take longer than the time between two passes.
 */
class PreemptionPass {
	readonly victims = new Set<Attempt>();
	/**
	 * By team, the cores that stopped attempts will release, minus those that this pass has assigned to waiting
	 * tasks.
	 */
	private readonly releasedCpus = new Map<string, number>();
	/** By machine, what stopped attempts will release, minus what this pass has assigned to waiting tasks. */
	private readonly expectedReleases = new Map<Machine, ResourceAmounts>();
	/** Available machines on which cores are free or will be released. */
	private readonly machinesWithCapacity = new Set<Machine>();
	/** Machines that accept new tasks. */
	private readonly availableMachines: Machine[];
	private readonly sampledMachines: Machine[];
	/** Attempts that may be preempted, those with the lowest cost first. */
	private readonly candidatesByMachine = new Map<Machine, Attempt[]>();
	/**
	 * Attempts that may be preempted for a job of the same team, by the job's rank and team, those with the
	 * lowest cost last.
	 */
	private readonly candidatesByTeam = new Map<string, Attempt[]>();
	/**
	 * Demands for which nothing could be preempted: the search for the next job with the same demand would fail
	 * too.
	 */
	private readonly unsatisfiableDemands = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly now: number,
		private readonly sampleMachines: (machines: Machine[]) => Machine[],
	) {
		this.availableMachines = [...clusterState.machines.values()].filter(acceptsNewTasks);
		// Attempts that were stopped earlier and have not ended yet will release their capacity.
		for (const machine of clusterState.machines.values()) {
			for (const attempt of machine.attempts.values())
				if (attempt.stopRequest !== null) this.countRelease(attempt);
		}
		for (const m of this.availableMachines)
			if (m.capacity.freeCpus + (this.expectedReleases.get(m)?.cpus ?? 0) > tolerance)
				this.machinesWithCapacity.add(m);
		this.sampledMachines = sampleMachines(this.availableMachines);
	}

	/** Adds a task's demand to what the team and the machine will release, or subtracts it. */
	private adjustRelease(machine: Machine, { spec }: Job, sign: 1 | -1): void {
		this.releasedCpus.set(spec.team, (this.releasedCpus.get(spec.team) ?? 0) + sign * spec.cpus);
		const release = this.expectedReleases.get(machine) ?? { cpus: 0, memory: 0, gpus: 0 };
		release.cpus += sign * spec.cpus;
		release.memory += sign * spec.memoryGb;
		release.gpus += sign * spec.gpus;
		this.expectedReleases.set(machine, release);
	}

	private countRelease(attempt: Attempt): void {
		this.adjustRelease(attempt.machine, attempt.job, 1);
	}

	private addVictim(attempt: Attempt): void {
		this.victims.add(attempt);
		this.countRelease(attempt);
		if (acceptsNewTasks(attempt.machine)) this.machinesWithCapacity.add(attempt.machine);
	}

	/** Returns what remains of the machine's free and released capacity once a task of the job is placed on it. */
	private capacityAfterPlacing(machine: Machine, { spec }: Job): ResourceAmounts {
		const release = this.expectedReleases.get(machine);
		return {
			cpus: machine.capacity.freeCpus + (release?.cpus ?? 0) - spec.cpus,
			memory: machine.capacity.freeMemoryGb + (release?.memory ?? 0) - spec.memoryGb,
			gpus: machine.capacity.freeGpus + (release?.gpus ?? 0) - spec.gpus,
		};
	}

	/** Returns the cores that the team uses after all releases so far, plus the additional ones. */
	private usedCpus(team: string, additionalCpus: number): number {
		return this.clusterState.quotas.usage(team).cpus - (this.releasedCpus.get(team) ?? 0) + additionalCpus;
	}

	/** Provides capacity for one more task of the job, by preemption if necessary; false if that is not possible. */
	provideForOneTask(job: Job, { guaranteed, limit }: TeamQuota): boolean {
		const { spec } = job;
		const urgent = isUrgent(job);
		if (urgent) this.preemptWithinTeam(job, limit.cpus);
		if (this.usedCpus(spec.team, spec.cpus) > limit.cpus + tolerance) return false;
		if (this.claimFreeCapacity(job)) return true;
		const withinGuarantee = this.usedCpus(spec.team, spec.cpus) <= guaranteed.cpus + tolerance;
		return (urgent || withinGuarantee) && this.preemptFor(job, withinGuarantee);
	}

	/**
	 * Preempts lower-priority tasks of the job's own team until one more task of the job is within the team's
	 * limit.
	 */
	private preemptWithinTeam(job: Job, limit: number): void {
		const { team, cpus } = job.spec;
		if (this.usedCpus(team, cpus) <= limit + tolerance) return;
		const candidates = this.candidatesOfTeam(job);
		while (this.usedCpus(team, cpus) > limit + tolerance) {
			const next = candidates.pop();
			if (!next) return;
			if (!this.victims.has(next)) this.addVictim(next);
		}
	}

	/**
	 * Assigns the task capacity that is free or will be released without further preemption; false: there is
	 * none.
	 */
	private claimFreeCapacity(job: Job): boolean {
		for (const machine of this.machinesWithCapacity) {
			if (!machineAllowed(job.spec, machine) || !isSufficient(this.capacityAfterPlacing(machine, job)))
				continue;
			this.adjustRelease(machine, job, -1);
			return true;
		}
		return false;
	}

	/** Preempts the tasks that cost least for one more task of the job; false: there are none. */
	private preemptFor(job: Job, withinGuarantee: boolean): boolean {
		const demand = preemptionDemandKey(job, withinGuarantee);
		if (demand !== null && this.unsatisfiableDemands.has(demand)) return false;
		const plan = this.cheapestPlan(job, withinGuarantee);
		if (!plan) {
			if (demand !== null) this.unsatisfiableDemands.add(demand);
			return false;
		}
		for (const attempt of plan.attempts) this.addVictim(attempt);
		this.adjustRelease(plan.machine, job, -1);
		return true;
	}

	/** True if the attempt may be stopped for a task of the job. */
	private mayPreempt(attempt: Attempt, job: Job, withinGuarantee: boolean): boolean {
		if (this.victims.has(attempt)) return false;
		const urgent = isUrgent(job);
		const otherTeam = attempt.job.spec.team;
		if (otherTeam === job.spec.team) return urgent && attempt.job.priorityRank > job.priorityRank;
		// Placement grants guarantees before borrowing. Guaranteed work that was preempted for work that borrows
		// would preempt it in turn, and each preemption loses what has run.
		const beyondGuarantee = exceedsGuarantee(
			this.clusterState,
			otherTeam,
			(this.releasedCpus.get(otherTeam) ?? 0) + attempt.job.spec.cpus - tolerance * 2,
		);
		if (urgent && attempt.job.priorityRank > job.priorityRank) return withinGuarantee || beyondGuarantee;
		return withinGuarantee && beyondGuarantee && attempt.job.priorityRank >= job.priorityRank;
	}

	/** Returns the attempts on the machine that may be preempted, those with the lowest cost first. */
	private candidatesOn(machine: Machine): Attempt[] {
		let candidates = this.candidatesByMachine.get(machine);
		if (!candidates) {
			candidates = [...machine.attempts.values()]
				.filter((a) => isPreemptible(a, this.now) && losesLittleWork(a, this.now))
				.sort((a, b) => preemptionCost(a, this.now) - preemptionCost(b, this.now));
			this.candidatesByMachine.set(machine, candidates);
		}
		return candidates;
	}

	/**
	 * Returns the machines to search for the job. A job with machine constraints gets a sample of the machines
	 * that it allows. A sample of all machines would contain few of these or none: replicas that need on-demand
	 * machines would wait for a pass whose sample happens to contain one.
	 */
	private machinesToSearch(job: Job): Machine[] {
		if (!hasMachineConstraints(job.spec)) return this.sampledMachines;
		return this.sampleMachines(this.availableMachines.filter((machine) => machineAllowed(job.spec, machine)));
	}

	/** Returns the machine on which capacity for one more task costs least, with the attempts to stop; null: none. */
	private cheapestPlan(job: Job, withinGuarantee: boolean): { machine: Machine; attempts: Attempt[] } | null {
		let best: { machine: Machine; attempts: Attempt[]; cost: number } | null = null;
		for (const machine of this.machinesToSearch(job)) {
			const capacity = this.capacityAfterPlacing(machine, job);
			const attempts: Attempt[] = [];
			let cost = 0;
			for (const a of this.candidatesOn(machine)) {
				if (isSufficient(capacity) || (best !== null && cost >= best.cost)) break;
				if (!this.mayPreempt(a, job, withinGuarantee)) continue;
				attempts.push(a);
				cost += preemptionCost(a, this.now);
				capacity.cpus += a.job.spec.cpus;
				capacity.memory += a.job.spec.memoryGb;
				capacity.gpus += a.job.spec.gpus;
			}
			if (isSufficient(capacity) && (best === null || cost < best.cost)) best = { machine, attempts, cost };
		}
		return best;
	}

	/**
	 * Returns the lower-priority attempts of the job's team that may be preempted, those with the lowest cost
	 * last.
	 */
	private candidatesOfTeam(job: Job): Attempt[] {
		const key = `${job.priorityRank}/${job.spec.team}`;
		let candidates = this.candidatesByTeam.get(key);
		if (!candidates) {
			candidates = [];
			for (const other of this.clusterState.jobs.values()) {
				if (other.spec.team !== job.spec.team || other.priorityRank <= job.priorityRank) continue;
				for (const a of other.attempts.values())
					if (isPreemptible(a, this.now) && losesLittleWork(a, this.now)) candidates.push(a);
			}
			candidates.sort((a, b) => preemptionCost(b, this.now) - preemptionCost(a, this.now));
			this.candidatesByTeam.set(key, candidates);
		}
		return candidates;
	}
}

function isUrgent(job: Job): boolean {
	return job.priorityRank < priorityRank.normal;
}

/**
 * Returns a key shared by all jobs for which the same attempts can be preempted; null for a job with machine
 * constraints, which are rare and differ from job to job.
 */
function preemptionDemandKey({ spec, priorityRank }: Job, withinGuarantee: boolean): string | null {
	if (hasMachineConstraints(spec)) return null;
	return JSON.stringify([spec.team, priorityRank, withinGuarantee, spec.cpus, spec.memoryGb, spec.gpus]);
}

/** True if the job does not allow every machine. */
function hasMachineConstraints({ machineTypes, zone, allowSpot }: JobSpec): boolean {
	return machineTypes !== null || zone !== null || !allowSpot;
}

function acceptsNewTasks(machine: Machine): boolean {
	return machine.schedulable && !machine.health.onProbation && machine.capacity.reservedForJob === null;
}

/** True if no remaining amount is negative. */
function isSufficient(capacity: ResourceAmounts): boolean {
	return capacity.cpus >= -tolerance && capacity.memory >= -tolerance && capacity.gpus >= -tolerance;
}

/**
 * Chooses the attempts to stop for the waiting jobs, which are given in scheduling order.
 *
 * @param sample Returns at most `maxSize` of the machines.
 */
export function chooseVictims(
	clusterState: ClusterState,
	waiting: Job[],
	now: number,
	sample: (machines: Machine[], maxSize: number) => Machine[] = (machines) => machines,
): Attempt[] {
	const pass = new PreemptionPass(clusterState, now, (machines) => sample(machines, maxSampledMachines));
	const maxTasksPerJob = Math.max(
		minTaskLimitPerJob,
		Math.ceil(clusterState.machines.size * taskLimitPerMachine),
	);
	const taskEnds = expectedTaskEnds(clusterState);
	for (const job of waiting) {
		if (pass.victims.size >= maxTasksPerJob * 3) break;
		const { spec } = job;
		const quota = clusterState.quotas.quotaOf(spec.team);
		if (!quota) continue;
		// A team at its limit can only take the places of its own tasks.
		const atLimit = !clusterState.quotas.fitsLimit(spec);
		const taskEndsOfTeam = taskEnds.byTeam.get(spec.team) ?? 0;
		// It is not known on which machines tasks will end, and a replica cannot wait for the right one.
		const placedWithoutPreemption = job.isService
			? 0
			: Math.floor(
					Math.min(taskEnds.total, atLimit ? taskEndsOfTeam : taskEnds.total, job.waitingTasks.count),
				);
		taskEnds.total -= placedWithoutPreemption;
		if (atLimit) taskEnds.byTeam.set(spec.team, taskEndsOfTeam - placedWithoutPreemption);
		let remainingTasks = Math.min(job.waitingTasks.count - placedWithoutPreemption, maxTasksPerJob);
		while (remainingTasks > 0 && pass.victims.size < maxTasksPerJob * 3 && pass.provideForOneTask(job, quota))
			remainingTasks -= 1;
	}
	return [...pass.victims];
}
