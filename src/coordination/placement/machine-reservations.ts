import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { fitsEmptyMachine } from "../../bookkeeping/machine-fit.js";
import { remainingCpuSecondsOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/** A job of which nothing has begun for this long may have a machine reserved. */
const waitsForRoomS = 60;
/** Most machines that are reserved at a time, as a part of those that are open. */
const mostReservedPart = 0.05;
/** Machines looked through for the one that has room soonest. */
const machinesSampled = 100;
const everyMs = 1000;
/** What was waited for so long is not stopped at once for work of more right. */
const keptMs = 60_000;

/** Each look costs a search of all machines for every kind of demand. */
const demandsPerLook = 8;
/** Estimates are often wrong: a machine that has no room after this is given up for another. */
const longestMs = 90_000;

interface Reservation {
	machine: Machine;
	/** Steady time. */
	until: number;
}

interface Prospect {
	machine: Machine;
	/** Seconds until the machine has room, going by estimates. */
	seconds: number;
	/** Tasks that have to end for that. */
	ends: number;
}

/**
 * Wide tasks never start beside small ones: whatever comes free is taken by the next small task. Once
 * a job has waited for long, a machine is kept free of new work until one of its tasks fits there.
 * Only what has nowhere to start at all is served, one task for each job: the rest of it follows in
 * the order of service.
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

	/** Starts what has room by now and reserves machines for what waits. Called before each placement. */
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

	/** Jobs whose reserved machine has room by now. */
	startable(): Job[] {
		const ready = [...this.reservations].filter(([job, { machine }]) => machine.capacity.fits(job.spec));
		return ready.map(([job]) => job);
	}

	/** The machine is still this leader's. */
	private holds(machine: Machine): boolean {
		return this.clusterState.machines.get(machine.id) === machine;
	}

	private release(job: Job, machine: Machine): void {
		this.reservations.delete(job);
		machine.capacity.cancelJobReservation();
		this.clusterState.requestPlacement();
	}

	/** The widest first, and of those the oldest. */
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
		/** Demands that were looked at: what is not wide, or has no machine, is so for all jobs with them. */
		const unserved = new Set<string>();
		for (const job of jobs) {
			if (this.reservations.size >= most || unserved.size >= demandsPerLook) return;
			if (unserved.has(job.demandKey)) continue;
			const best = this.soonest(job, open, now);
			// Room that one end makes is given out in the order of service.
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
		const able = open.filter(
			(machine) => machine.capacity.reservedForJob === null && fitsEmptyMachine(machine, job),
		);
		let best: Prospect | null = null;
		for (const machine of this.sample(able, machinesSampled)) {
			const prospect = this.prospect(machine, job, now);
			if (prospect && (best === null || prospect.seconds < best.seconds)) best = prospect;
		}
		return best;
	}

	/** null: replicas, which do not end, take too much of it. */
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
				seconds: remainingCpuSecondsOfAttempt(attempt, now, this.capS) / attempt.job.spec.cpus,
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

/** Nothing of the job has begun, and nothing but room is in the way. */
function stillWaits(job: Job): boolean {
	if (
		job.reservationUsed ||
		job.isService ||
		job.ended ||
		job.finalizing ||
		job.failures.failedOnSeveralMachines
	)
		return false;
	return job.attempts.size === 0 && job.doneTasks.count === 0 && job.waitingTasks.length > 0;
}
