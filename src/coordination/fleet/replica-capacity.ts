import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { tasksByZone, tasksByZoneExcluding, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";
import { FreeCapacity, freeBesideReplicas, freeOn } from "../placement/free-capacity.js";
import type { Clock } from "../ports/clock.js";
import type { ClusterState } from "../state/cluster-state.js";
import { assumedReplicas, classesWithFastStart } from "./expected-services.js";
import type { FleetSnapshot } from "./fleet-load.js";
import type { ScaleOut, ScaleOutNeed } from "./scale-out.js";

/** Standing jobs that came so lately are expected once more. */
const expectedMs = 60_000;

/** Other work makes room for waiting replicas, as a rule within this time. */
const preemptionMs = 3000;

/** Replicas that the machines given have no room for, and where those with room were put. */
interface Shortage {
	spec: JobSpec;
	count: number;
	zones: Record<string, number>;
}

/**
 * Capacity for replicas, which can't wait for the load to rise: what has no room gets a machine
 * rented by itself, and as many replicas as came lately have room kept for them ahead.
 */
export class ReplicaCapacity {
	/** Classes whose jobs have been arrays in this term. */
	private readonly arrayClasses = new Set<string>();
	/** Since when replicas of a job have waited. */
	private readonly waitingSince = new Map<Job, number>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly time: Clock,
		private readonly rentals: ScaleOut,
		private readonly objectives: readonly StartTimeObjective[],
		/** Takes back the mark of a machine with room for the job; false if there is none. */
		private readonly unmarkFor: (job: Job) => boolean,
	) {}

	/** True if something was done, or is on its way, for replicas in this round. */
	serve(look: FleetSnapshot): boolean {
		this.noteWaiting(look.now);
		const free = new FreeCapacity(freeOn);
		const besideReplicas = new FreeCapacity(freeBesideReplicas);
		for (const job of this.clusterState.jobs.values()) {
			if (!job.isService) continue;
			const shortage = this.shortageOfWaiting(
				job,
				look,
				this.mayPreempt(job, look.now) ? besideReplicas : free,
			);
			const wanted = shortage ?? this.shortageOfLeaving(job, look, free);
			if (!wanted) continue;
			if (this.rentals.pending || this.unmarkFor(job) || this.rent(wanted, look)) return true;
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

	/** For a while its replicas are expected to take the room of work that yields to them. */
	private mayPreempt(job: Job, now: number): boolean {
		return now - (this.waitingSince.get(job) ?? now) < preemptionMs;
	}

	/** Replicas that wait, beyond the room that is up or on its way. */
	private shortageOfWaiting(job: Job, look: FleetSnapshot, room: FreeCapacity): Shortage | null {
		if (!job.hasReadyTask(look.now)) return null;
		return shortageOf(job, job.waitingTasks.length, look, room, tasksByZone(job));
	}

	/** Replicas that have to leave their machine and have no room elsewhere; nothing yields to them. */
	private shortageOfLeaving(job: Job, look: FleetSnapshot, room: FreeCapacity): Shortage | null {
		const leaving = [...job.attempts.values()].filter(
			(a) => a.machine.needsEvacuation && a.relocationTarget === null,
		);
		if (leaving.length === 0) return null;
		return shortageOf(job, leaving.length, look, room, tasksByZoneExcluding(job, leaving));
	}

	/**
	 * A machine takes longer to boot than a replica may wait. So what came in the last minute is
	 * expected to come once more, and has room kept on machines that it may use. Work that is
	 * not standing can run there meanwhile: replicas go before it.
	 */
	private serveExpected(look: FleetSnapshot): boolean {
		const { machines } = look;
		const shortage = this.shortageOfExpected(machines) ?? this.shortageWithoutAZone(machines);
		return shortage !== null && (this.rentals.pending || this.rent(shortage, look));
	}

	/** Expected work that would lack room if only these of the machines were left; null: none would. */
	lackingRoom(machines: Machine[], left: Machine[]): JobSpec | null {
		const shortage = this.shortageOfExpected(left);
		if (shortage) return shortage.spec;
		// Where there is no room in enough zones in any case, nothing is kept for the loss of one.
		if (this.shortageWithoutAZone(machines)) return null;
		return this.shortageWithoutAZone(left)?.spec ?? null;
	}

	/** The first of the expected jobs that would not find room on the machines. */
	private shortageOfExpected(machines: Machine[]): Shortage | null {
		const room = new FreeCapacity(freeBesideReplicas);
		for (const spec of this.expected()) {
			const zones: Record<string, number> = {};
			const count = room.take(spec, spec.taskCount, machines, zones);
			if (count > 0) return { spec, count, zones };
		}
		return null;
	}

	/**
	 * Replicas that are spread over zones have nowhere to go when one of only two zones with
	 * machines for them is cut off: a machine elsewhere boots for longer than they may wait. So
	 * what is expected has room whichever zone is lost.
	 */
	private shortageWithoutAZone(machines: Machine[]): Shortage | null {
		const spread = this.expected().filter((spec) => spec.spreadZones && spec.zone === null);
		if (spread.length === 0) return null;
		for (const lost of new Set(machines.map((machine) => machine.zone))) {
			const left = machines.filter((machine) => machine.zone !== lost);
			const room = new FreeCapacity(freeBesideReplicas);
			for (const spec of spread) {
				const zones: Record<string, number> = {};
				const count = room.take(spec, spec.taskCount, left, zones);
				// As many as the spread allows are taken to be in the lost zone: nothing is rented there.
				if (count > 0) return { spec, count, zones: { ...zones, [lost]: spec.taskCount } };
			}
		}
		return null;
	}

	private expected(): JobSpec[] {
		const date = this.time.date().getTime();
		const specs: JobSpec[] = [];
		/** Classes with a job of more than a minute ago: what comes of them shows. */
		const known = new Set<string>();
		for (const { isService: standing, spec, acceptedAt: at } of this.clusterState.jobs.values()) {
			if (!standing) this.arrayClasses.add(spec.jobClass);
			else if (date - at <= expectedMs) specs.push(spec);
			else known.add(spec.jobClass);
		}
		if (this.clusterState.jobs.size === 0) return specs;
		for (const name of classesWithFastStart(this.objectives, this.clusterState.machineTypes.values()))
			if (!known.has(name) && !this.arrayClasses.has(name))
				specs.push(assumedReplicas(name, this.clusterState.schedulableCpus));
		return specs;
	}

	private rent({ spec, count, zones }: Shortage, look: FleetSnapshot): boolean {
		const fullZones = new Set(Object.keys(zones).filter((zone) => zoneTaskHeadroom(spec, zones, zone) < 1));
		// More are on their way as a rule, so a machine for many may be worth its price.
		let comingCpus = count * spec.cpus;
		for (const expected of this.expected()) comingCpus += expected.taskCount * expected.cpus;
		const need: ScaleOutNeed = { spec, work: 0, replicas: { count, comingCpus, fullZones } };
		return this.rentals.request(need, look) === "asked";
	}

	/**
	 * With replicas on it, a machine is worth draining only if it is all but empty and they have
	 * room elsewhere now.
	 */
	couldLeave(machine: Machine, machines: Machine[]): boolean {
		if (machine.capacity.usedCpus > machine.type.cpus / 4) return false;
		const others = machines.filter((m) => m !== machine && m.agent.running && !m.health.onProbation);
		const room = new FreeCapacity(freeOn);
		for (const attempt of machine.attempts.values()) {
			if (!attempt.job.isService) continue;
			const zones = tasksByZoneExcluding(attempt.job, [attempt]);
			if (room.take(attempt.job.spec, 1, others, zones) > 0) return false;
		}
		return true;
	}
}

function shortageOf(
	{ spec }: Job,
	wanted: number,
	look: FleetSnapshot,
	room: FreeCapacity,
	zones: Record<string, number>,
): Shortage | null {
	const count = room.take(spec, wanted, look.machines, zones);
	return count > 0 ? { spec, count, zones } : null;
}
