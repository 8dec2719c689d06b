import type { Job } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import type { JobSpec } from "../protocol/model.js";
import { assumedReplicas, classesWithFastStart, type Objective } from "./expected-classes.js";
import { FreeCapacity, freeBesideReplicas, freeOn } from "./free-capacity.js";
import type { FleetLook } from "./load.js";
import { zoneRoom } from "./placing.js";
import type { TimePort } from "./ports.js";
import type { RentalNeed, Rentals } from "./rentals.js";
import type { Tables } from "./tables.js";

/** Standing jobs that came so lately are expected once more. */
const expectedMs = 60_000;

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

	constructor(
		private readonly tables: Tables,
		private readonly time: TimePort,
		private readonly rentals: Rentals,
		private readonly objectives: readonly Objective[],
		/** Takes back the mark of a machine with room for the job; false if there is none. */
		private readonly unmarkFor: (job: Job) => boolean,
	) {}

	/** True if something was done, or is on its way, for replicas in this round. */
	serve(look: FleetLook): boolean {
		const room = new FreeCapacity(freeOn);
		for (const job of this.tables.jobs.values()) {
			if (!job.standing) continue;
			const shortage = this.shortageNow(job, look, room);
			if (!shortage) continue;
			if (this.rentals.pending || this.unmarkFor(job) || this.rent(shortage, look)) return true;
		}
		return this.serveExpected(look);
	}

	/** Replicas that wait or have to leave their machine, beyond the room that is up or on its way. */
	private shortageNow(job: Job, look: FleetLook, room: FreeCapacity): Shortage | null {
		const leaving = [...job.attempts.values()].filter((a) => a.machine.leaving && a.moveTo === null);
		const waiting = job.notBefore <= look.now ? job.waiting.length : 0;
		if (waiting + leaving.length === 0) return null;
		const zones = this.tables.zonesWithout(job, leaving);
		const count = room.take(job.spec, waiting + leaving.length, look.machines, zones);
		return count > 0 ? { spec: job.spec, count, zones } : null;
	}

	/**
	 * A machine takes longer to boot than a replica may wait. So what came in the last minute is
	 * expected to come once more, and has room kept on machines that it may use. Work that is
	 * not standing can run there meanwhile: replicas go before it.
	 */
	private serveExpected(look: FleetLook): boolean {
		const shortage = this.shortageOfExpected(look.machines);
		return shortage !== null && (this.rentals.pending || this.rent(shortage, look));
	}

	/** The first of the expected jobs that would not find room on the machines. */
	shortageOfExpected(machines: Machine[]): Shortage | null {
		const room = new FreeCapacity(freeBesideReplicas);
		for (const spec of this.expected()) {
			const zones: Record<string, number> = {};
			const count = room.take(spec, spec.tasks, machines, zones);
			if (count > 0) return { spec, count, zones };
		}
		return null;
	}

	private expected(): JobSpec[] {
		const date = this.time.date().getTime();
		const specs: JobSpec[] = [];
		/** Classes with a job of more than a minute ago: what comes of them shows. */
		const known = new Set<string>();
		for (const { standing, spec, at } of this.tables.jobs.values()) {
			if (!standing) this.arrayClasses.add(spec.lane);
			else if (date - at <= expectedMs) specs.push(spec);
			else known.add(spec.lane);
		}
		if (this.tables.jobs.size === 0) return specs;
		for (const name of classesWithFastStart(this.objectives, this.tables.types.values()))
			if (!known.has(name) && !this.arrayClasses.has(name)) specs.push(assumedReplicas(name, this.cpusUp()));
		return specs;
	}

	private cpusUp(): number {
		let cpus = 0;
		for (const machine of this.tables.machines.values()) if (machine.open) cpus += machine.type.cpus;
		return cpus;
	}

	private rent({ spec, count, zones }: Shortage, look: FleetLook): boolean {
		const fullZones = new Set(Object.keys(zones).filter((zone) => zoneRoom(spec, zones, zone) < 1));
		// More are on their way as a rule, so a machine for many may be worth its price.
		let comingCpus = count * spec.cpus;
		for (const expected of this.expected()) comingCpus += expected.tasks * expected.cpus;
		const need: RentalNeed = { spec, work: 0, replicas: { count, comingCpus, fullZones } };
		return this.rentals.rent(need, look) === "asked";
	}

	/**
	 * With replicas on it, a machine is worth draining only if it is all but empty and they have
	 * room elsewhere now.
	 */
	couldLeave(machine: Machine, machines: Machine[]): boolean {
		if (machine.usedCpus > machine.type.cpus / 4) return false;
		const others = machines.filter((m) => m !== machine && m.up && !m.suspect);
		const room = new FreeCapacity(freeOn);
		for (const attempt of machine.attempts.values()) {
			if (!attempt.job.standing) continue;
			const zones = this.tables.zonesWithout(attempt.job, [attempt]);
			if (room.take(attempt.job.spec, 1, others, zones) > 0) return false;
		}
		return true;
	}
}
