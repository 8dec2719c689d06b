import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { type JobSpec, priorityRank } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Which running tasks to stop so that waiting ones of more right can start. Only
 * two reasons count: higher priority, or a team's guarantee against work that
 * another team runs beyond its own.
 */

/** Tasks of one job that a pass makes room for, at least, and with a large fleet for each open machine. */
const leastPerPass = 8;
const perMachineAndPass = 0.01;
const slack = 1e-6;
/** Nothing is stopped for tasks that places freed in this time will hold. */
const turnoverS = 1;

/**
 * Places that come free by themselves before long. A large fleet with short tasks frees
 * dozens a second, and whoever is first in the order of service gets them: stopping
 * work there throws it away for nothing.
 */
export function placesSoonFree(clusterState: ClusterState): { all: number; byTeam: Map<string, number> } {
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

/** Core seconds thrown away by stopping the attempt now. */
export function costOfStopping(attempt: Attempt, now: number): number {
	const { spec } = attempt.job;
	if (attempt.runningSince === null) return 0;
	const elapsedS = (now - attempt.runningSince) / 1000;
	const lost = spec.checkpointIntervalS > 0 ? Math.min(elapsedS, spec.checkpointCostS) : elapsedS;
	return lost * spec.cpus;
}

function stoppable(attempt: Attempt, now: number): boolean {
	if (attempt.isProtectedFromPreemption(now)) return false;
	// A replica that was stopped would only be started elsewhere.
	return (
		attempt.stopRequest === null &&
		!attempt.job.isService &&
		attempt.phase !== "assigned" &&
		attempt.phase !== "checkpointing"
	);
}

/** Work mostly done is not thrown away. */
function cheapToStop(attempt: Attempt, now: number): boolean {
	if (attempt.runningSince === null || attempt.job.spec.checkpointIntervalS > 0) return true;
	return now - attempt.runningSince < 0.5 * attempt.job.estimatedRunS * 1000;
}

function beyondGuarantee(clusterState: ClusterState, team: string, freedCpus: number): boolean {
	const quota = clusterState.quotas.quotaOf(team);
	return (
		quota !== undefined && clusterState.quotas.usage(team).cpus - freedCpus > quota.guaranteed.cpus + slack
	);
}

/** Machines looked through for work to stop; with more than this, a sample of them stands for all. */
const planSample = 150;

interface Amount {
	cpus: number;
	memory: number;
	gpus: number;
}

/**
 * One pass. It costs in proportion to the machines and attempts once, and then to what
 * is found: with a backlog of hundreds of jobs a search of all machines for each task
 * would take longer than there is between two passes.
 */
class PreemptionRound {
	readonly victims = new Set<Attempt>();
	/** Cores by team that victims, and what was stopped before, will free, less what is promised. */
	private readonly freed = new Map<string, number>();
	/** What will be free on a machine beside what is free now, less what is promised. */
	private readonly extra = new Map<Machine, Amount>();
	/** Open machines with anything free, now or soon. */
	private readonly withRoom = new Set<Machine>();
	private readonly open: Machine[];
	private readonly sampledMachines: Machine[];
	private readonly cheapest = new Map<Machine, Attempt[]>();
	private readonly own = new Map<string, Attempt[]>();
	/** Kinds of work for which there was nothing to stop: the next job of the kind finds nothing either. */
	private readonly unservable = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly now: number,
		private readonly sample: (machines: Machine[]) => Machine[],
	) {
		this.open = [...clusterState.machines.values()].filter(takesWork);
		// What was stopped before and has not ended yet is on its way to being free.
		for (const machine of clusterState.machines.values()) {
			for (const attempt of machine.attempts.values()) if (attempt.stopRequest !== null) this.free(attempt);
		}
		for (const m of this.open)
			if (m.capacity.freeCpus + (this.extra.get(m)?.cpus ?? 0) > slack) this.withRoom.add(m);
		this.sampledMachines = sample(this.open);
	}

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

	/** What is left on the machine once a task of the job is there too. */
	private roomOn(machine: Machine, { spec }: Job): Amount {
		const more = this.extra.get(machine);
		return {
			cpus: machine.capacity.freeCpus + (more?.cpus ?? 0) - spec.cpus,
			memory: machine.capacity.freeMemoryGb + (more?.memory ?? 0) - spec.memoryGb,
			gpus: machine.capacity.freeGpus + (more?.gpus ?? 0) - spec.gpus,
		};
	}

	private used(team: string, more: number): number {
		return this.clusterState.quotas.usage(team).cpus - (this.freed.get(team) ?? 0) + more;
	}

	/** Finds a place for one more task of the job; false if nothing more can be done for it. */
	serve(job: Job, { guaranteed, limit }: TeamQuota): boolean {
		const { spec } = job;
		const urgent = isUrgent(job);
		if (urgent) this.makeRoomInTeam(job, limit.cpus);
		if (this.used(spec.team, spec.cpus) > limit.cpus + slack) return false;
		if (this.takeFree(job)) return true;
		const withinGuarantee = this.used(spec.team, spec.cpus) <= guaranteed.cpus + slack;
		return (urgent || withinGuarantee) && this.stopFor(job, withinGuarantee);
	}

	/** Its own team's limit comes first: lower work of the same team makes room. */
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

	/** A place that is free, or will be without anything more being stopped. */
	private takeFree(job: Job): boolean {
		for (const machine of this.withRoom) {
			if (!machineAllowed(job.spec, machine) || !enough(this.roomOn(machine, job))) continue;
			this.add(machine, job, -1);
			return true;
		}
		return false;
	}

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

	private eligible(a: Attempt, job: Job, withinGuarantee: boolean): boolean {
		if (this.victims.has(a)) return false;
		const urgent = isUrgent(job);
		const other = a.job.spec.team;
		if (other === job.spec.team) return urgent && a.job.priorityRank > job.priorityRank;
		// Placing serves guarantees before borrowing. Taking a guaranteed place for borrowed
		// work would only have it taken back, each time at the cost of what had run.
		const borrowed = beyondGuarantee(
			this.clusterState,
			other,
			(this.freed.get(other) ?? 0) + a.job.spec.cpus - slack * 2,
		);
		if (urgent && a.job.priorityRank > job.priorityRank) return withinGuarantee || borrowed;
		return withinGuarantee && borrowed && a.job.priorityRank >= job.priorityRank;
	}

	/** What may be stopped on the machine at all, what costs least first. */
	private candidates(machine: Machine): Attempt[] {
		let list = this.cheapest.get(machine);
		if (!list) {
			list = [...machine.attempts.values()]
				.filter((a) => stoppable(a, this.now) && cheapToStop(a, this.now))
				.sort((a, b) => costOfStopping(a, this.now) - costOfStopping(b, this.now));
			this.cheapest.set(machine, list);
		}
		return list;
	}

	/**
	 * A sample of all would hold few of the machines that work with rare demands may use: replicas
	 * that need ordinary machines waited for a pass whose sample had one of a handful.
	 */
	private machinesFor(job: Job): Machine[] {
		if (!isRestricted(job.spec)) return this.sampledMachines;
		return this.sample(this.open.filter((machine) => machineAllowed(job.spec, machine)));
	}

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
				cost += costOfStopping(a, this.now);
				room.cpus += a.job.spec.cpus;
				room.memory += a.job.spec.memoryGb;
				room.gpus += a.job.spec.gpus;
			}
			if (enough(room) && (best === null || cost < best.cost)) best = { machine, attempts, cost };
		}
		return best;
	}

	/** Lower work of the job's own team, what costs least last. */
	private ownVictims(job: Job): Attempt[] {
		const key = `${job.priorityRank}/${job.spec.team}`;
		let own = this.own.get(key);
		if (!own) {
			own = [];
			for (const other of this.clusterState.jobs.values()) {
				if (other.spec.team !== job.spec.team || other.priorityRank <= job.priorityRank) continue;
				for (const a of other.attempts.values())
					if (stoppable(a, this.now) && cheapToStop(a, this.now)) own.push(a);
			}
			own.sort((a, b) => costOfStopping(b, this.now) - costOfStopping(a, this.now));
			this.own.set(key, own);
		}
		return own;
	}
}

function isUrgent(job: Job): boolean {
	return job.priorityRank < priorityRank.normal;
}

/** Work for which the same can be stopped; null: demands for types, zones and kinds are rare, each by itself. */
function kindOf({ spec, priorityRank: rank }: Job, withinGuarantee: boolean): string | null {
	if (isRestricted(spec)) return null;
	return JSON.stringify([spec.team, rank, withinGuarantee, spec.cpus, spec.memoryGb, spec.gpus]);
}

/** Not every machine may be used for it. */
function isRestricted({ machineTypes: types, zone, allowSpot: spot }: JobSpec): boolean {
	return types !== null || zone !== null || !spot;
}

function takesWork(machine: Machine): boolean {
	return machine.schedulable && !machine.health.onProbation && machine.capacity.reservedForJob === null;
}

function enough(room: Amount): boolean {
	return room.cpus >= -slack && room.memory >= -slack && room.gpus >= -slack;
}

export function chooseVictims(
	clusterState: ClusterState,
	waiting: Job[],
	now: number,
	sample: (machines: Machine[], most: number) => Machine[] = (machines) => machines,
): Attempt[] {
	const pass = new PreemptionRound(clusterState, now, (machines) => sample(machines, planSample));
	const mostPerPass = Math.max(leastPerPass, Math.ceil(clusterState.machines.size * perMachineAndPass));
	const soonFree = placesSoonFree(clusterState);
	for (const job of waiting) {
		if (pass.victims.size >= mostPerPass * 3) break;
		const { spec } = job;
		const quota = clusterState.quotas.quotaOf(spec.team);
		if (!quota) continue;
		// A team at its limit gets only the places that it frees itself.
		const atLimit = !clusterState.quotas.fitsLimit(spec);
		const own = soonFree.byTeam.get(spec.team) ?? 0;
		// Which machines they come free on nobody knows, and a replica can't wait for the next.
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
