import { isService, type JobSpec, priorityRank } from "../protocol/model/job.js";
import type { Machine } from "./machine.js";
import type { QuotaCharge } from "./quota-ledger.js";
import { TaskSet } from "./task-set.js";

export type AttemptPhase = "assigned" | "sent" | "fetching" | "running" | "checkpointing";

/** One try at one task, from the decision to start it until it is proved over. */
export interface Attempt {
	job: Job;
	taskIndex: number;
	number: number;
	machine: Machine;
	phase: AttemptPhase;
	/** A replica that is moved: room is kept for it there, and it starts there once this attempt is over. */
	relocateTo: Machine | null;
	/** When it was first reported running, by the steady clock of this process. */
	runningAt: number | null;
	/** A stop was decided; it is repeated until the attempt is over. */
	stop: { graceS: number; reason: string } | null;
	/** What it takes of its team's allotments; null: none are used. */
	charge: QuotaCharge | null;
	/** Steady time before which it is not stopped for other work: its job had to wait for too long to begin. */
	preemptionProtectedUntil?: number;
}

/** A job that failed on so many machines, and on none succeeded since, is taken to fail on all. */
const failsEverywhereFrom = 3;
/** The same with so many failures, where there are too few machines to tell. */
const failsEverywhereFailures = 8;

/** A job that failed on so many machines of a type, and never succeeded there, does not suit the type. */
const unfitFrom = 2;

/** A live job as its leader sees it. */
export class Job {
	readonly doneTasks: TaskSet;
	/** The part of `done` that the store has confirmed. */
	readonly durableDoneTasks: TaskSet;
	readonly attempts = new Map<number, Attempt>();
	readonly waitingTasks: number[] = [];
	/** Set once the record that ends the job is being written. */
	finalizing = false;
	/** Steady time at which that was last tried. */
	finalizingAt = 0;
	over = false;
	/** Pages of `done` that have changed since they were last handed to be written. */
	readonly dirtyPages = new Set<number>();
	finishedRuns = 0;
	finishedSeconds = 0;
	/** Machines on which tasks of this job failed since one last succeeded. */
	readonly failedMachines = new Set<Machine>();
	/** Tasks of this job that failed since one last succeeded. */
	consecutiveFailures = 0;
	/** Steady time of the last of these failures. */
	lastFailureAt = -Infinity;
	/** Machine types on which tasks of this job have succeeded. */
	private readonly provenTypes = new Set<string>();
	/** Machine types on which it fails though it succeeds on another: its own fault, not the machines'. */
	readonly unfitTypes = new Set<string>();
	retryNotBefore = 0;
	/** A machine was reserved for its first task, which is done once for each job. */
	hadReservation = false;
	/** Steady time until which the leader places it, whoever its team's placer is. */
	placedByLeaderUntil = 0;
	/** Steady time at which this leader came to know it. */
	loadedAt = 0;

	/** The same for jobs whose tasks make the same demands on machines. */
	readonly demandKey: string;

	constructor(
		readonly id: string,
		readonly spec: JobSpec,
		readonly acceptedAt: number,
		readonly revision: number,
	) {
		const { machineTypes: types, zone, allowSpot: spot, cpus, gpus, memoryGb } = spec;
		this.demandKey = JSON.stringify([types, zone, spot, cpus, gpus, memoryGb]);
		this.doneTasks = new TaskSet(spec.taskCount);
		this.durableDoneTasks = new TaskSet(spec.taskCount);
	}

	/** Tasks neither done nor on a machine, lowest number first. */
	resetWaitingTasks(): void {
		this.waitingTasks.length = 0;
		for (let i = this.spec.taskCount - 1; i >= 0; i--) {
			if (!this.doneTasks.has(i) && !this.attempts.has(i)) this.waitingTasks.push(i);
		}
	}

	/** Its tasks are replicas: they run until the job is cancelled, and none is ever done. */
	get isService(): boolean {
		return isService(this.spec);
	}

	/** Estimated run time of a task: mean of those finished, else the stated one. Replicas have none: 0. */
	get estimatedRunS(): number {
		if (this.isService) return 0;
		return this.finishedRuns > 0 ? this.finishedSeconds / this.finishedRuns : this.spec.estimatedRunS;
	}

	/** Failing wherever it goes: tried again now and then, and kept out of the load. A replica is tried all along. */
	get failsEverywhere(): boolean {
		if (this.isService || !this.failsOnSeveral) return false;
		let machines = 0;
		// What a faulty machine does to a job says nothing of the job.
		for (const machine of this.failedMachines) if (!machine.health.quarantinedForFailures) machines += 1;
		return machines >= failsEverywhereFrom || this.consecutiveFailures >= failsEverywhereFailures;
	}

	/** It has failed on more than one machine and succeeded on none since: perhaps the fault is its own. */
	get failsOnSeveral(): boolean {
		return this.failedMachines.size > 1;
	}

	/**
	 * A task has succeeded on the type. Types on which the job failed on several machines, and never
	 * succeeded, do not suit it.
	 */
	noteSuccess(type: string): void {
		this.provenTypes.add(type);
		this.unfitTypes.delete(type);
		const failures = new Map<string, number>();
		for (const { type: failed } of this.failedMachines)
			failures.set(failed.name, (failures.get(failed.name) ?? 0) + 1);
		for (const [name, machines] of failures)
			if (machines >= unfitFrom && !this.provenTypes.has(name)) this.unfitTypes.add(name);
	}

	/** Tasks that run, or save before they end. */
	get runningCount(): number {
		let count = 0;
		for (const { phase } of this.attempts.values())
			if (phase === "running" || phase === "checkpointing") count += 1;
		return count;
	}

	get rank(): number {
		return priorityRank[this.spec.priority];
	}
}
