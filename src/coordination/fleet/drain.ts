import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { fitsEmptyMachine, machineAllowed } from "../../bookkeeping/machine-fit.js";
import { remainingCpuSecondsOfAttempt } from "../../bookkeeping/remaining-work.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { FleetSnapshot } from "./fleet-load.js";
import { type HillClimbSettings, loadOf, machinesToSpare } from "./hill-climb.js";
import type { ReplicaCapacity } from "./replica-capacity.js";

/** A job of which nothing runs has waited so long when a marked machine is asked for room. */
const waitsBesideMarkedMs = 20_000;

interface Candidate {
	machine: Machine;
	/** It has replicas, which would have to move. */
	replicas: boolean;
	/** Remaining work for its price: of two that are about as busy, the dear one goes. */
	worth: number;
}

/** Marks machines to run empty and go back, and takes marks back. */
export class Drain {
	constructor(
		private readonly clusterState: ClusterState,
		private readonly climb: HillClimbSettings,
		private readonly log: Log,
	) {}

	/** Marks those with the least remaining work for their price, as many as the load spares. */
	startDraining(look: FleetSnapshot, replicas: ReplicaCapacity): void {
		const ranked = this.ranked(look, replicas);
		let marked = this.choose(ranked, look);
		// What is kept for replicas that may come would be rented again at once: others go in its place.
		const left = look.machines.filter((machine) => !marked.has(machine));
		const lacking = replicas.lackingRoom(look.machines, left);
		if (lacking) {
			const others = ranked.filter(({ machine }) => !machineAllowed(lacking, machine));
			marked = this.choose(others, look);
		}
		if (marked.size === 0) return;
		for (const machine of marked) machine.lifecycle.startDraining();
		this.log.info({ machines: [...marked].map((m) => m.id) }, "draining started");
	}

	/** The first of the candidates, as many as the load spares. */
	private choose(ranked: Candidate[], look: FleetSnapshot): Set<Machine> {
		const cores = ranked.map(({ machine }) => machine.type.cpus);
		const lowPerCpu = this.climb.low * look.secondsLeft;
		const count = machinesToSpare(look.work, look.machines.length, look.cpus, cores, lowPerCpu);
		const marked = new Set(ranked.slice(0, count).map(({ machine }) => machine));
		this.keepForWaiting(marked, look.machines);
		return marked;
	}

	/** Standing jobs of which replicas wait, or have to leave their machines. */
	private unsettled(): Job[] {
		return [...this.clusterState.jobs.values()].filter(
			(job) =>
				job.isService &&
				(job.waitingTasks.length > 0 || [...job.attempts.values()].some((a) => a.machine.needsEvacuation)),
		);
	}

	private ranked({ machines, now }: FleetSnapshot, replicas: ReplicaCapacity): Candidate[] {
		// What was rented for replicas is the idlest of all until they are there.
		const unsettled = this.unsettled();
		return machines
			.filter(
				(machine) =>
					machine.capacity.reservedForJob === null &&
					!unsettled.some((job) => machineAllowed(job.spec, machine)),
			)
			.map((machine) => this.candidate(machine, now))
			.filter((c) => !c.replicas || replicas.couldLeave(c.machine, machines))
			.sort((a, b) => Number(a.replicas) - Number(b.replicas) || a.worth - b.worth);
	}

	private candidate(machine: Machine, now: number): Candidate {
		let left = 1;
		let replicas = false;
		for (const attempt of machine.attempts.values()) {
			left += remainingCpuSecondsOfAttempt(attempt, now, this.climb.cap_s);
			replicas ||= attempt.job.isService;
		}
		return { machine, replicas, worth: left / Math.max(machine.hourlyPrice, 1e-6) };
	}

	/** Rented because nothing else could hold some work, a machine is the idlest of all until it is up. */
	private keepForWaiting(marked: Set<Machine>, machines: Machine[]): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.length === 0) continue;
			if (machines.some((m) => !marked.has(m) && fitsEmptyMachine(m, job))) continue;
			const holder = machines.find((m) => fitsEmptyMachine(m, job));
			if (holder) marked.delete(holder);
		}
	}

	/** Takes marks back until the load is down to the high mark; false if there was none. */
	cancelDraining(look: FleetSnapshot): boolean {
		const highPerCpu = this.climb.high * look.secondsLeft;
		const back: string[] = [];
		let { cpus } = look;
		let count = look.machines.length;
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || machine.lifecycle.deleting || machine.agent.leaseExpired) continue;
			machine.lifecycle.cancelDraining();
			back.push(machine.id);
			cpus += machine.type.cpus;
			count += 1;
			if (loadOf(look.work, count) <= highPerCpu * (cpus / count)) break;
		}
		if (back.length === 0) return false;
		this.clusterState.requestPlacement();
		this.log.info({ machines: back }, "draining cancelled");
		return true;
	}

	/** Takes back the mark of a machine with room for the job; false if there is none. */
	cancelDrainingFor(job: Job): boolean {
		for (const machine of this.clusterState.machines.values()) {
			if (!machine.lifecycle.draining || !machine.usable) continue;
			if (!machineAllowed(job.spec, machine) || !machine.capacity.fits(job.spec)) continue;
			machine.lifecycle.cancelDraining();
			this.clusterState.requestPlacement();
			this.log.info({ machines: [machine.id], job: job.id }, "draining cancelled");
			return true;
		}
		return false;
	}

	/**
	 * Tasks on a marked machine may run for long. Work that waits all that time, though the load
	 * is below the high mark, is let in.
	 */
	cancelDrainingForWaiting(now: number): void {
		for (const job of this.clusterState.jobs.values()) {
			if (job.waitingTasks.length === 0 || job.attempts.size > 0) continue;
			if (now - Math.max(job.loadedAt, job.failures.lastFailureAt) < waitsBesideMarkedMs) continue;
			if (this.clusterState.hasRunnableTask(job, now) && this.cancelDrainingFor(job)) return;
		}
	}
}
