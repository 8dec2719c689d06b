/** Draining of machines: they accept no new tasks until they are empty and can be deleted. */

import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { fitsEmptyMachine, machineAllowed } from "../../bookkeeping/machine-fit.js";
import { remainingCpuSecondsOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { FleetSnapshot } from "./fleet-load.js";
import { type HillClimbSettings, loadOf, machinesToRemove } from "./hill-climb.js";
import type { ReplicaCapacity } from "./replica-capacity.js";

/** Draining of a machine is cancelled for a job that has waited this long with no task running. */
const cancelDrainingAfterMs = 20_000;

interface DrainCandidate {
	machine: Machine;
	/** True if replicas run on it, which would have to be relocated. */
	hasReplicas: boolean;
	/**
	 * CPU seconds of remaining work per hourly price: of two equally busy machines, the more expensive one
	 * drains.
	 */
	remainingWorkPerPrice: number;
}

/** Starts and cancels draining. A draining machine accepts no new tasks and is deleted once it is empty. */
export class Drain {
	constructor(
		private readonly clusterState: ClusterState,
		private readonly climb: HillClimbSettings,
		private readonly log: Log,
	) {}

	/** Starts draining the machines with the least remaining work per price, as many as the low threshold allows. */
	startDraining(snapshot: FleetSnapshot, replicaCapacity: ReplicaCapacity): void {
		const candidates = this.rankCandidates(snapshot, replicaCapacity);
		let chosen = this.chooseMachines(candidates, snapshot);
		// Machines kept for expected replicas would be replaced by a scale-out at once, so others drain instead.
		const remaining = snapshot.machines.filter((machine) => !chosen.has(machine));
		const unplaceableSpec = replicaCapacity.unplaceableExpectedSpec(snapshot.machines, remaining);
		if (unplaceableSpec) {
			const otherCandidates = candidates.filter(({ machine }) => !machineAllowed(unplaceableSpec, machine));
			chosen = this.chooseMachines(otherCandidates, snapshot);
		}
		if (chosen.size === 0) return;
		for (const machine of chosen) machine.lifecycle.startDraining();
		this.log.info({ machineIds: [...chosen].map((m) => m.id) }, "draining started");
	}

	/** Returns the first candidates, as many as the low threshold allows, less those kept for waiting jobs. */
	private chooseMachines(candidates: DrainCandidate[], snapshot: FleetSnapshot): Set<Machine> {
		const cpusOfCandidates = candidates.map(({ machine }) => machine.type.cpus);
		const lowThresholdPerCpu = this.climb.low * snapshot.meanRemainingS;
		const count = machinesToRemove(
			snapshot.remainingWork,
			snapshot.machines.length,
			snapshot.cpus,
			cpusOfCandidates,
			lowThresholdPerCpu,
		);
		const chosen = new Set(candidates.slice(0, count).map(({ machine }) => machine));
		this.keepForWaitingJobs(chosen, snapshot.machines);
		return chosen;
	}

	/** Returns the service jobs with replicas that wait or have to leave their machines. */
	private jobsWithUnplacedReplicas(): Job[] {
		return [...this.clusterState.jobs.values()].filter(
			(job) =>
				job.isService &&
				(job.waitingTasks.count > 0 || [...job.attempts.values()].some((a) => a.machine.needsEvacuation)),
		);
	}

	/** Returns the machines that may drain: those without replicas first, then by remaining work per price. */
	private rankCandidates(
		{ machines, now }: FleetSnapshot,
		replicaCapacity: ReplicaCapacity,
	): DrainCandidate[] {
		// Machines created for replicas are idle until the replicas start, so they would rank first.
		const jobsWithUnplacedReplicas = this.jobsWithUnplacedReplicas();
		return machines
			.filter(
				(machine) =>
					machine.capacity.reservedForJob === null &&
					!jobsWithUnplacedReplicas.some((job) => machineAllowed(job.spec, machine)),
			)
			.map((machine) => this.candidateOf(machine, now))
			.filter((c) => !c.hasReplicas || replicaCapacity.canRelocateReplicas(c.machine, machines))
			.sort(
				(a, b) =>
					Number(a.hasReplicas) - Number(b.hasReplicas) || a.remainingWorkPerPrice - b.remainingWorkPerPrice,
			);
	}

	private candidateOf(machine: Machine, now: number): DrainCandidate {
		let remainingWork = 1;
		let hasReplicas = false;
		for (const attempt of machine.attempts.values()) {
			remainingWork += remainingCpuSecondsOfAttempt(attempt, now, this.climb.cap_s);
			hasReplicas ||= attempt.job.isService;
		}
		return {
			machine,
			hasReplicas,
			remainingWorkPerPrice: remainingWork / Math.max(machine.hourlyPrice, 1e-6),
		};
	}

	/**
	 * Keeps, for each waiting job, one machine that can hold it. A machine created because no other could hold
	 * the job is idle until it is up, so it would rank first.
	 */
	private keepForWaitingJobs(chosen: Set<Machine>, machines: Machine[]): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.count === 0) continue;
			if (machines.some((m) => !chosen.has(m) && fitsEmptyMachine(m, job))) continue;
			const fittingMachine = machines.find((m) => fitsEmptyMachine(m, job));
			if (fittingMachine) chosen.delete(fittingMachine);
		}
	}

	/**
	 * Cancels draining of machines until the load is at or below the high threshold; false: no machine was
	 * draining.
	 */
	cancelDraining(snapshot: FleetSnapshot): boolean {
		const highThresholdPerCpu = this.climb.high * snapshot.meanRemainingS;
		const returnedToUse: string[] = [];
		let { cpus } = snapshot;
		let machineCount = snapshot.machines.length;
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || machine.lifecycle.deleting || machine.agent.leaseExpired) continue;
			machine.lifecycle.cancelDraining();
			returnedToUse.push(machine.id);
			cpus += machine.type.cpus;
			machineCount += 1;
			if (loadOf(snapshot.remainingWork, machineCount) <= highThresholdPerCpu * (cpus / machineCount)) break;
		}
		if (returnedToUse.length === 0) return false;
		this.clusterState.requestPlacement();
		this.log.info({ machineIds: returnedToUse }, "draining cancelled");
		return true;
	}

	/** Cancels draining of one machine on which a task of the job fits; false: there is none. */
	cancelDrainingForJob(job: Job): boolean {
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || !machine.usable) continue;
			if (!machineAllowed(job.spec, machine) || !machine.capacity.fits(job.spec)) continue;
			machine.lifecycle.cancelDraining();
			this.clusterState.requestPlacement();
			this.log.info({ machineIds: [machine.id], jobId: job.id }, "draining cancelled");
			return true;
		}
		return false;
	}

	/**
	 * Cancels draining of a machine for a job that has waited too long. Tasks on a draining machine may run for a
	 * long time, and the job could wait as long if the load stays below the high threshold.
	 */
	cancelDrainingForLongWaitingJob(now: number): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.count === 0 || job.attempts.size > 0) continue;
			if (now - Math.max(job.loadedAt, job.failures.lastFailureAt) < cancelDrainingAfterMs) continue;
			if (this.clusterState.hasRunnableTask(job, now) && this.cancelDrainingForJob(job)) return;
		}
	}
}
