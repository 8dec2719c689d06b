import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { couldHold, machineAllowed } from "../../bookkeeping/machine-fit.js";
import { remainingOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { FleetSnapshot } from "./fleet-load.js";
import { type HillClimbSettings, loadOf, machinesToRemove } from "./hill-climb.js";
import type { ReplicaCapacity } from "./replica-capacity.js";

/** Draining of a machine is cancelled for a job that has waited this long with no task running. */
const waitsBesideMarkedMs = 20_000;

interface Candidate {
	machine: Machine;
	/** Replicas run on it, which would have to be relocated. */
	replicas: boolean;
	/** CPU seconds of remaining work per hourly price: of two machines that are equally busy, the more expensive one drains. */
	worth: number;
}

/** Chooses machines for draining, which accept no new tasks and are deleted once they are empty, and cancels draining. */
export class Drain {
	constructor(
		private readonly clusterState: ClusterState,
		private readonly climb: HillClimbSettings,
		private readonly log: Log,
	) {}

	/** Starts draining the machines with the least remaining work per price, as many as the low threshold allows. */
	startDraining(look: FleetSnapshot, replicas: ReplicaCapacity): void {
		const ranked = this.ranked(look, replicas);
		let marked = this.choose(ranked, look);
		// Machines kept for expected replicas would be replaced by a scale-out at once, so others drain instead.
		const left = look.machines.filter((machine) => !marked.has(machine));
		const lacking = replicas.unplaceableExpectedSpec(look.machines, left);
		if (lacking) {
			const others = ranked.filter(({ machine }) => !machineAllowed(lacking, machine));
			marked = this.choose(others, look);
		}
		if (marked.size === 0) return;
		for (const machine of marked) machine.lifecycle.startDraining();
		this.log.info({ machines: [...marked].map((m) => m.id) }, "draining started");
	}

	/** Returns the first candidates, as many as the low threshold allows. */
	private choose(ranked: Candidate[], look: FleetSnapshot): Set<Machine> {
		const cores = ranked.map(({ machine }) => machine.type.cpus);
		const lowPerCpu = this.climb.low * look.meanRemainingS;
		const count = machinesToRemove(look.remainingWork, look.machines.length, look.cpus, cores, lowPerCpu);
		const marked = new Set(ranked.slice(0, count).map(({ machine }) => machine));
		this.keepForWaiting(marked, look.machines);
		return marked;
	}

	/** Returns the service jobs with replicas that wait or have to leave their machines. */
	private unsettled(): Job[] {
		return [...this.clusterState.jobs.values()].filter(
			(job) =>
				job.isService &&
				(job.waitingTasks.length > 0 || [...job.attempts.values()].some((a) => a.machine.leaving)),
		);
	}

	/** Returns the machines that may drain: those without replicas first, then by remaining work per price. */
	private ranked({ machines, now }: FleetSnapshot, replicas: ReplicaCapacity): Candidate[] {
		// Machines created for replicas are idle until the replicas start, so they would rank first.
		const unsettled = this.unsettled();
		return machines
			.filter(
				(machine) =>
					machine.capacity.reservedFor === null &&
					!unsettled.some((job) => machineAllowed(job.spec, machine)),
			)
			.map((machine) => this.candidate(machine, now))
			.filter((c) => !c.replicas || replicas.canRelocateReplicas(c.machine, machines))
			.sort((a, b) => Number(a.replicas) - Number(b.replicas) || a.worth - b.worth);
	}

	private candidate(machine: Machine, now: number): Candidate {
		let left = 1;
		let replicas = false;
		for (const attempt of machine.attempts.values()) {
			left += remainingOfAttempt(attempt, now, this.climb.cap_s);
			replicas ||= attempt.job.isService;
		}
		return { machine, replicas, worth: left / Math.max(machine.hourlyPrice, 1e-6) };
	}

	/**
	 * Keeps, for each waiting job, one machine that can hold it. A machine created because no other could hold the job is
	 * idle until it is up, so it would rank first.
	 */
	private keepForWaiting(marked: Set<Machine>, machines: Machine[]): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.length === 0) continue;
			if (machines.some((m) => !marked.has(m) && couldHold(m, job))) continue;
			const holder = machines.find((m) => couldHold(m, job));
			if (holder) marked.delete(holder);
		}
	}

	/** Cancels draining of machines until the load is at or below the high threshold; false: no machine was draining. */
	cancelDraining(look: FleetSnapshot): boolean {
		const highPerCpu = this.climb.high * look.meanRemainingS;
		const back: string[] = [];
		let { cpus } = look;
		let count = look.machines.length;
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || machine.lifecycle.deleting || machine.agent.leaseExpired) continue;
			machine.lifecycle.cancelDraining();
			back.push(machine.id);
			cpus += machine.type.cpus;
			count += 1;
			if (loadOf(look.remainingWork, count) <= highPerCpu * (cpus / count)) break;
		}
		if (back.length === 0) return false;
		this.clusterState.requestPlacement();
		this.log.info({ machines: back }, "draining cancelled");
		return true;
	}

	/** Cancels draining of one machine on which a task of the job fits; false: there is none. */
	cancelDrainingForJob(job: Job): boolean {
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || !machine.usable) continue;
			if (!machineAllowed(job.spec, machine) || !machine.capacity.hasRoomFor(job.spec)) continue;
			machine.lifecycle.cancelDraining();
			this.clusterState.requestPlacement();
			this.log.info({ machines: [machine.id], job: job.id }, "draining cancelled");
			return true;
		}
		return false;
	}

	/**
	 * Cancels draining of a machine for a job that has waited too long. Tasks on a draining machine may run for a long
	 * time, and the job could wait as long if the load stays below the high threshold.
	 */
	cancelDrainingForLongWaitingJob(now: number): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.length === 0 || job.attempts.size > 0) continue;
			if (now - Math.max(job.loadedAt, job.failures.lastAt) < waitsBesideMarkedMs) continue;
			if (this.clusterState.hasRunnableTask(job, now) && this.cancelDrainingForJob(job)) return;
		}
	}
}
