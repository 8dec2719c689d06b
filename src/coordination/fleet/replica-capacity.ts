import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { tasksByZone, tasksByZoneWithout, zoneRoom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";
import { freeOrPreemptibleResources, freeResources, SimulatedCapacity } from "../placement/free-capacity.js";
import type { Clock } from "../ports/clock.js";
import type { ClusterState } from "../state/cluster-state.js";
import { assumedServiceSpec, classesWithFastStart } from "./expected-services.js";
import type { FleetSnapshot } from "./fleet-load.js";
import type { ScaleOut, ScaleOutNeed } from "./scale-out.js";

/** A service job submitted within this time is expected to be submitted once more. */
const expectedMs = 60_000;

/** Preemption usually provides capacity for waiting replicas within this time. */
const preemptionMs = 3000;

/** Replicas of a job that do not fit on the machines. */
interface Shortage {
	spec: JobSpec;
	count: number;
	/** The job's replicas by zone, including the simulated placement of those that fit. */
	zones: Record<string, number>;
}

/**
 * Requests machines for replicas, which cannot wait for the load to rise: for those that fit nowhere and, in advance,
 * for as many as were submitted recently.
 */
export class ReplicaCapacity {
	/** Classes with an array job in this term. */
	private readonly arrayClasses = new Set<string>();
	/** Monotonic time since which each service job has had waiting replicas. */
	private readonly waitingSince = new Map<Job, number>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly time: Clock,
		private readonly rentals: ScaleOut,
		private readonly objectives: readonly StartTimeObjective[],
		/** Cancels draining of one machine on which a task of the job fits; false: there is none. */
		private readonly unmarkFor: (job: Job) => boolean,
	) {}

	/** Provides capacity for replicas; true if that was necessary and a request is pending or draining was cancelled. */
	ensureCapacity(look: FleetSnapshot): boolean {
		this.noteWaiting(look.now);
		const free = new SimulatedCapacity(freeResources);
		const besideReplicas = new SimulatedCapacity(freeOrPreemptibleResources);
		for (const job of this.clusterState.jobs.values()) {
			if (!job.isService) continue;
			const shortage = this.shortageOfWaiting(
				job,
				look,
				this.mayPreempt(job, look.now) ? besideReplicas : free,
			);
			const wanted = shortage ?? this.shortageOfLeaving(job, look, free);
			if (!wanted) continue;
			if (this.rentals.requestPending || this.unmarkFor(job) || this.rent(wanted, look)) return true;
		}
		return this.serveExpected(look);
	}

	private noteWaiting(now: number): void {
		for (const job of this.waitingSince.keys())
			if (job.waitingTasks.length === 0) this.waitingSince.delete(job);
		for (const job of this.clusterState.jobs.values())
			if (job.isService && job.waitingTasks.length > 0 && !this.waitingSince.has(job))
				this.waitingSince.set(job, now);
	}

	/** True while the job's waiting replicas are expected to get capacity by preemption. */
	private mayPreempt(job: Job, now: number): boolean {
		return now - (this.waitingSince.get(job) ?? now) < preemptionMs;
	}

	/** Returns the waiting replicas that do not fit on machines that are running or being provisioned. */
	private shortageOfWaiting(job: Job, look: FleetSnapshot, room: SimulatedCapacity): Shortage | null {
		if (!job.hasReadyTask(look.now)) return null;
		return shortageOf(job, job.waitingTasks.length, look, room, tasksByZone(job));
	}

	/** Returns the replicas that have to leave their machine and fit nowhere else. Nothing is preempted for them. */
	private shortageOfLeaving(job: Job, look: FleetSnapshot, room: SimulatedCapacity): Shortage | null {
		const leaving = [...job.attempts.values()].filter(
			(a) => a.machine.leaving && a.relocationTarget === null,
		);
		if (leaving.length === 0) return null;
		return shortageOf(job, leaving.length, look, room, tasksByZoneWithout(job, leaving));
	}

	/**
	 * Provides capacity for expected replicas. A machine takes longer to boot than a replica may wait, so the service jobs
	 * of the last minute are expected to be submitted once more, and capacity is kept on machines that they may use.
	 * Array jobs can run there meanwhile, since replicas preempt them.
	 */
	private serveExpected(look: FleetSnapshot): boolean {
		const { machines } = look;
		const shortage = this.shortageOfExpected(machines) ?? this.shortageWithoutAZone(machines);
		return shortage !== null && (this.rentals.requestPending || this.rent(shortage, look));
	}

	/**
	 * Returns an expected job that would lack capacity on the remaining machines; null: none would.
	 *
	 * @param machines The machines of the fleet now.
	 * @param left Those that would remain.
	 */
	unplaceableExpectedSpec(machines: Machine[], left: Machine[]): JobSpec | null {
		const shortage = this.shortageOfExpected(left);
		if (shortage) return shortage.spec;
		// If the fleet cannot tolerate the loss of a zone now, no machine is kept for that case.
		if (this.shortageWithoutAZone(machines)) return null;
		return this.shortageWithoutAZone(left)?.spec ?? null;
	}

	/** Returns the shortage of the first expected job that does not fit on the machines; null: all fit. */
	private shortageOfExpected(machines: Machine[]): Shortage | null {
		const room = new SimulatedCapacity(freeOrPreemptibleResources);
		for (const spec of this.expected()) {
			const zones: Record<string, number> = {};
			const count = room.placeTasks(spec, spec.taskCount, machines, zones);
			if (count > 0) return { spec, count, zones };
		}
		return null;
	}

	/**
	 * Returns the shortage of the first expected job that would not fit after the loss of some zone; null: all fit. If
	 * machines for replicas that are spread over zones existed in only two zones and one were isolated, they could not be
	 * placed: a machine in a third zone takes longer to boot than they may wait.
	 */
	private shortageWithoutAZone(machines: Machine[]): Shortage | null {
		const spread = this.expected().filter((spec) => spec.spreadZones && spec.zone === null);
		if (spread.length === 0) return null;
		for (const lost of new Set(machines.map((machine) => machine.zone))) {
			const left = machines.filter((machine) => machine.zone !== lost);
			const room = new SimulatedCapacity(freeOrPreemptibleResources);
			for (const spec of spread) {
				const zones: Record<string, number> = {};
				const count = room.placeTasks(spec, spec.taskCount, left, zones);
				// The lost zone counts as full, so that no machine is requested there.
				if (count > 0) return { spec, count, zones: { ...zones, [lost]: spec.taskCount } };
			}
		}
		return null;
	}

	/**
	 * Returns the specs of the service jobs expected next: those submitted within the last minute and, if any job is live,
	 * an assumed one for each class with a fast start that has had neither an older service job nor an array job.
	 */
	private expected(): JobSpec[] {
		const date = this.time.date().getTime();
		const specs: JobSpec[] = [];
		/** Classes with a service job older than a minute: those show what to expect, so nothing is assumed. */
		const known = new Set<string>();
		for (const { isService: standing, spec, acceptedAt: at } of this.clusterState.jobs.values()) {
			if (!standing) this.arrayClasses.add(spec.jobClass);
			else if (date - at <= expectedMs) specs.push(spec);
			else known.add(spec.jobClass);
		}
		if (this.clusterState.jobs.size === 0) return specs;
		for (const name of classesWithFastStart(this.objectives, this.clusterState.machineTypes.values()))
			if (!known.has(name) && !this.arrayClasses.has(name))
				specs.push(assumedServiceSpec(name, this.clusterState.schedulableCpus));
		return specs;
	}

	private rent({ spec, count, zones }: Shortage, look: FleetSnapshot): boolean {
		const fullZones = new Set(Object.keys(zones).filter((zone) => zoneRoom(spec, zones, zone) < 1));
		// More replicas usually follow, so a machine that holds many may be worth its price.
		let comingCpus = count * spec.cpus;
		for (const expected of this.expected()) comingCpus += expected.taskCount * expected.cpus;
		const need: ScaleOutNeed = {
			spec,
			remainingWork: 0,
			replicas: { replicaCount: count, expectedCpus: comingCpus, fullZones },
		};
		return this.rentals.request(need, look) === "asked";
	}

	/**
	 * True if a machine with replicas may drain: at most a quarter of its cores are in use, and its replicas fit on other
	 * running machines now.
	 */
	canRelocateReplicas(machine: Machine, machines: Machine[]): boolean {
		if (machine.capacity.usedCpus > machine.type.cpus / 4) return false;
		const others = machines.filter((m) => m !== machine && m.agent.running && !m.health.onProbation);
		const room = new SimulatedCapacity(freeResources);
		for (const attempt of machine.attempts.values()) {
			if (!attempt.job.isService) continue;
			const zones = tasksByZoneWithout(attempt.job, [attempt]);
			if (room.placeTasks(attempt.job.spec, 1, others, zones) > 0) return false;
		}
		return true;
	}
}

function shortageOf(
	{ spec }: Job,
	wanted: number,
	look: FleetSnapshot,
	room: SimulatedCapacity,
	zones: Record<string, number>,
): Shortage | null {
	const count = room.placeTasks(spec, wanted, look.machines, zones);
	return count > 0 ? { spec, count, zones } : null;
}
