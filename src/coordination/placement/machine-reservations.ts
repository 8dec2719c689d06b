/** Reservations of machines for tasks that would starve beside small ones. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { fitsEmptyMachine } from "../../bookkeeping/machine-fit.js";
import { remainingCpuSecondsOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/** A machine may be reserved for a job that has waited this long without any task started. */
const minWaitS = 60;
/** The maximum number of machines reserved at a time, as a fraction of the schedulable machines. */
const maxReservedFraction = 0.05;
/** Maximum number of machines searched for the one on which a task fits soonest: a random sample if there are more. */
const maxSampledMachines = 100;
const searchIntervalMs = 1000;
/**
 * A task started on a reserved machine is protected from preemption for this long, so that a task that has
 * waited long is not stopped at once for work of higher priority.
 */
const preemptionProtectionMs = 60_000;

/** Ends a search after this many rejected demands, since each one costs a search of all machines. */
const maxRejectedDemands = 8;
/** A reservation expires if the task does not fit by then: estimated run times are often wrong. */
const reservationTimeoutMs = 90_000;

interface Reservation {
	machine: Machine;
	/** Monotonic time at which the reservation is cancelled if the task does not fit until then. */
	expiresAt: number;
}

interface ReservationCandidate {
	machine: Machine;
	/** Estimated seconds until the task fits on the machine. */
	availableInS: number;
	/** Number of tasks that have to end before it fits. */
	endingTasks: number;
}

/**
 * Reserves machines for tasks that need a large part of a machine. Without a reservation such tasks would never
 * start beside small ones, since the next small task takes all capacity that is released. Once a job has waited
 * long, a machine accepts no new work until one of the job's tasks fits there. Only jobs of which no task has
 * started get a reservation, for one task each; the other tasks of the job follow in scheduling order.
 */
export class MachineReservations {
	private nextSearchAt = 0;
	private readonly reservations = new Map<Job, Reservation>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly maxRemainingS: number,
		private readonly sampleMachines: (machines: Machine[], maxSize: number) => Machine[],
		private readonly log: Log,
	) {}

	/**
	 * Starts the tasks that fit on their reserved machines and reserves further machines. Called before each
	 * placement.
	 *
	 * @param wallClockMs Wall-clock time in milliseconds.
	 * @returns The attempts that were assigned.
	 */
	update(now: number, wallClockMs: number): Attempt[] {
		const started = this.startOnReservedMachines(now);
		if (now >= this.nextSearchAt) {
			this.nextSearchAt = now + searchIntervalMs;
			this.reserveMachines(this.jobsWithoutCapacity(now, wallClockMs), now);
		}
		return started;
	}

	private startOnReservedMachines(now: number): Attempt[] {
		const started: Attempt[] = [];
		for (const [job, { machine, expiresAt }] of this.reservations) {
			const attempt = this.clusterState.assignNextTask(job, machine);
			if (attempt) {
				attempt.protectFromPreemption(now + preemptionProtectionMs);
				job.markReservationUsed();
				started.push(attempt);
				this.log.info({ jobId: job.id, machineId: machine.id }, "reservation used");
			}
			const usable = machine.schedulable && this.isCurrent(machine) && now < expiresAt;
			if (attempt || !usable || !waitsOnlyForCapacity(job)) this.cancelReservation(job, machine);
		}
		return started;
	}

	/** Returns the jobs of which a task fits on the reserved machine. */
	startableJobs(): Job[] {
		const startable = [...this.reservations].filter(([job, { machine }]) => machine.capacity.fits(job.spec));
		return startable.map(([job]) => job);
	}

	/** True if the machine has not been removed from the cluster state. */
	private isCurrent(machine: Machine): boolean {
		return this.clusterState.machines.get(machine.id) === machine;
	}

	private cancelReservation(job: Job, machine: Machine): void {
		this.reservations.delete(job);
		machine.capacity.cancelJobReservation();
		this.clusterState.requestPlacement();
	}

	/**
	 * Returns the jobs that wait for capacity: those with the most cores per task first, the oldest first among
	 * equals.
	 */
	private jobsWithoutCapacity(now: number, wallClockMs: number): Job[] {
		return [...this.clusterState.jobs.values()]
			.filter(
				(job) =>
					waitsOnlyForCapacity(job) &&
					!this.reservations.has(job) &&
					wallClockMs - job.acceptedAt > minWaitS * 1000 &&
					this.clusterState.hasRunnableTask(job, now),
			)
			.sort((a, b) => b.spec.cpus - a.spec.cpus || a.acceptedAt - b.acceptedAt);
	}

	private reserveMachines(jobs: Job[], now: number): void {
		if (jobs.length === 0) return;
		const schedulable = [...this.clusterState.machines.values()].filter(
			(m) => m.schedulable && !m.health.onProbation,
		);
		const maxReservations = Math.max(1, Math.floor(schedulable.length * maxReservedFraction));
		/**
		 * Demands that need no reservation or for which there is no machine: the same holds for every job with
		 * them.
		 */
		const rejectedDemands = new Set<string>();
		for (const job of jobs) {
			if (this.reservations.size >= maxReservations || rejectedDemands.size >= maxRejectedDemands) return;
			if (rejectedDemands.has(job.demandKey)) continue;
			const best = this.soonestAvailable(job, schedulable, now);
			// A task that fits as soon as one other task ends needs no reservation: it is placed in scheduling order.
			if (!best || best.endingTasks < 2) {
				rejectedDemands.add(job.demandKey);
				continue;
			}
			best.machine.capacity.reserveForJob(job);
			this.reservations.set(job, { machine: best.machine, expiresAt: now + reservationTimeoutMs });
			const availableInS = Math.round(best.availableInS);
			this.log.info({ jobId: job.id, machineId: best.machine.id, availableInS }, "machine reserved");
		}
	}

	private soonestAvailable(job: Job, schedulable: Machine[], now: number): ReservationCandidate | null {
		const eligible = schedulable.filter(
			(machine) => machine.capacity.reservedForJob === null && fitsEmptyMachine(machine, job),
		);
		let best: ReservationCandidate | null = null;
		for (const machine of this.sampleMachines(eligible, maxSampledMachines)) {
			const candidate = this.candidateFor(machine, job, now);
			if (candidate && (best === null || candidate.availableInS < best.availableInS)) best = candidate;
		}
		return best;
	}

	/**
	 * Estimates when a task of the job fits on the machine; null: never, since replicas, which do not end, use
	 * too much of it.
	 */
	private candidateFor(machine: Machine, { spec }: Job, now: number): ReservationCandidate | null {
		const free = {
			cpus: machine.capacity.freeCpus,
			gpus: machine.capacity.freeGpus,
			memory: machine.capacity.freeMemoryGb,
		};
		const runningTasks = [...machine.attempts.values()]
			.filter((attempt) => !attempt.job.isService)
			.map((attempt) => ({
				spec: attempt.job.spec,
				seconds: remainingCpuSecondsOfAttempt(attempt, now, this.maxRemainingS) / attempt.job.spec.cpus,
			}))
			.sort((a, b) => a.seconds - b.seconds);
		let endingTasks = 0;
		let availableInS = 0;
		while (free.cpus < spec.cpus || free.gpus < spec.gpus || free.memory < spec.memoryGb) {
			const next = runningTasks[endingTasks];
			if (!next) return null;
			endingTasks += 1;
			availableInS = next.seconds;
			free.cpus += next.spec.cpus;
			free.gpus += next.spec.gpus;
			free.memory += next.spec.memoryGb;
		}
		return { machine, availableInS, endingTasks };
	}
}

/** True if no task of the job has started, and only a lack of capacity prevents it. */
function waitsOnlyForCapacity(job: Job): boolean {
	if (
		job.reservationUsed ||
		job.isService ||
		job.ended ||
		job.finalizing ||
		job.failures.failedOnSeveralMachines
	)
		return false;
	return job.attempts.size === 0 && job.doneTasks.count === 0 && job.waitingTasks.count > 0;
}
