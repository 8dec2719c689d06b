import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { couldHold } from "../../bookkeeping/machine-fit.js";
import { remainingOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/** A machine may be reserved for a job that has waited this long without any task started. */
const waitsForRoomS = 60;
/** Limits the machines reserved at a time, as a fraction of the schedulable machines. */
const mostReservedPart = 0.05;
/** Limits the machines searched for the one on which the task fits soonest; a random sample of more. */
const machinesSampled = 100;
const everyMs = 1000;
/**
 * A task started on a reserved machine is protected from preemption for this long, so that a task that has waited
 * long is not stopped at once for work of higher priority.
 */
const keptMs = 60_000;

/** Ends a search after this many rejected demands, since each one costs a search of all machines. */
const demandsPerLook = 8;
/** A reservation expires if the task does not fit by then: estimated run times are often wrong. */
const longestMs = 90_000;

interface Reservation {
	machine: Machine;
	/** Monotonic time. */
	until: number;
}

interface Prospect {
	machine: Machine;
	/** Estimated seconds until the task fits on the machine. */
	seconds: number;
	/** Number of tasks that have to end before it fits. */
	ends: number;
}

/**
 * Reserves machines for tasks that need a large part of a machine. Without a reservation such tasks would never start
 * beside small ones, since the next small task takes all capacity that is released. Once a job has waited long, a
 * machine accepts no new work until one of the job's tasks fits there. Only jobs of which no task has started get a
 * reservation, for one task each; the other tasks of the job follow in scheduling order.
 */
export class MachineReservations {
	private nextLookAt = 0;
	private readonly reservations = new Map<Job, Reservation>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly capS: number,
		private readonly sample: (machines: Machine[], most: number) => Machine[],
		private readonly log: Log,
	) {}

	/**
	 * Starts the tasks that fit on their reserved machines and reserves further machines. Called before each placement.
	 *
	 * @param date Time of day in milliseconds.
	 * @returns The attempts that were assigned.
	 */
	update(now: number, date: number): Attempt[] {
		const started = this.startReserved(now);
		if (now >= this.nextLookAt) {
			this.nextLookAt = now + everyMs;
			this.reserveFor(this.waitingForRoom(now, date), now);
		}
		return started;
	}

	private startReserved(now: number): Attempt[] {
		const started: Attempt[] = [];
		for (const [job, { machine, until }] of this.reservations) {
			const attempt = this.clusterState.assignNextTask(job, machine);
			if (attempt) {
				attempt.protectFromPreemption(now + keptMs);
				job.markReservationUsed();
				started.push(attempt);
				this.log.info({ job: job.id, machine: machine.id }, "reservation used");
			}
			const usable = machine.schedulable && this.holds(machine) && now < until;
			if (attempt || !usable || !stillWaits(job)) this.release(job, machine);
		}
		return started;
	}

	/** Returns the jobs of which a task fits on the reserved machine. */
	startableJobs(): Job[] {
		const ready = [...this.reservations].filter(([job, { machine }]) =>
			machine.capacity.hasRoomFor(job.spec),
		);
		return ready.map(([job]) => job);
	}

	/** True if the machine has not been removed from the cluster state. */
	private holds(machine: Machine): boolean {
		return this.clusterState.machines.get(machine.id) === machine;
	}

	private release(job: Job, machine: Machine): void {
		this.reservations.delete(job);
		machine.capacity.cancelJobReservation();
		this.clusterState.requestPlacement();
	}

	/** Returns the jobs that need a reservation: those with the most cores per task first, the oldest first among equals. */
	private waitingForRoom(now: number, date: number): Job[] {
		return [...this.clusterState.jobs.values()]
			.filter(
				(job) =>
					stillWaits(job) &&
					!this.reservations.has(job) &&
					date - job.acceptedAt > waitsForRoomS * 1000 &&
					this.clusterState.hasRunnableTask(job, now),
			)
			.sort((a, b) => b.spec.cpus - a.spec.cpus || a.acceptedAt - b.acceptedAt);
	}

	private reserveFor(jobs: Job[], now: number): void {
		if (jobs.length === 0) return;
		const open = [...this.clusterState.machines.values()].filter(
			(m) => m.schedulable && !m.health.onProbation,
		);
		const most = Math.max(1, Math.floor(open.length * mostReservedPart));
		/** Demands for which the search found no machine or needs no reservation: the result is the same for all their jobs. */
		const unserved = new Set<string>();
		for (const job of jobs) {
			if (this.reservations.size >= most || unserved.size >= demandsPerLook) return;
			if (unserved.has(job.demandKey)) continue;
			const best = this.soonest(job, open, now);
			// A task that fits as soon as one other task ends needs no reservation: it is placed in scheduling order.
			if (!best || best.ends < 2) {
				unserved.add(job.demandKey);
				continue;
			}
			best.machine.capacity.reserveForJob(job);
			this.reservations.set(job, { machine: best.machine, until: now + longestMs });
			const inS = Math.round(best.seconds);
			this.log.info({ job: job.id, machine: best.machine.id, inS }, "machine reserved");
		}
	}

	private soonest(job: Job, open: Machine[], now: number): Prospect | null {
		const able = open.filter((machine) => machine.capacity.reservedFor === null && couldHold(machine, job));
		let best: Prospect | null = null;
		for (const machine of this.sample(able, machinesSampled)) {
			const prospect = this.prospect(machine, job, now);
			if (prospect && (best === null || prospect.seconds < best.seconds)) best = prospect;
		}
		return best;
	}

	/** Estimates when a task of the job fits on the machine; null: never, since replicas, which do not end, use too much of it. */
	private prospect(machine: Machine, { spec }: Job, now: number): Prospect | null {
		const left = {
			cpus: machine.capacity.freeCpus,
			gpus: machine.capacity.freeGpus,
			memory: machine.capacity.freeMemoryGb,
		};
		const ending = [...machine.attempts.values()]
			.filter((attempt) => !attempt.job.isService)
			.map((attempt) => ({
				spec: attempt.job.spec,
				seconds: remainingOfAttempt(attempt, now, this.capS) / attempt.job.spec.cpus,
			}))
			.sort((a, b) => a.seconds - b.seconds);
		let ends = 0;
		let seconds = 0;
		while (left.cpus < spec.cpus || left.gpus < spec.gpus || left.memory < spec.memoryGb) {
			const next = ending[ends];
			if (!next) return null;
			ends += 1;
			seconds = next.seconds;
			left.cpus += next.spec.cpus;
			left.gpus += next.spec.gpus;
			left.memory += next.spec.memoryGb;
		}
		return { machine, seconds, ends };
	}
}

/** True if no task of the job has started, and only a lack of capacity prevents it. */
function stillWaits(job: Job): boolean {
	if (job.hadReservation || job.isService || job.over || job.finalizing || job.failures.onSeveralMachines)
		return false;
	return job.attempts.size === 0 && job.doneTasks.count === 0 && job.waitingTasks.length > 0;
}
