/**
 * Where and how often a job's tasks have failed. Whether the job or the machines are to blame is decided by
 * src/coordination/workers/fault-attribution.ts.
 */

import type { Machine } from "./machine.js";

/** A job that failed on so many machines, and on none succeeded since, is taken to fail on all. */
const machinesToFailEverywhere = 3;

/** The same with so many failures, where there are too few machines to tell. */
const failuresToFailEverywhere = 8;

/** A job that failed on so many machines of a type, and never succeeded there, does not suit the type. */
const machinesToBeUnfit = 2;

/** Owns the failures of one job's tasks. Outcomes of attempts alone change it. */
export class FailureHistory {
	readonly #machines = new Set<Machine>();
	#consecutive = 0;
	#lastAt = Number.NEGATIVE_INFINITY;
	#retryNotBefore = 0;
	readonly #provenTypes = new Set<string>();
	readonly #unfitTypes = new Set<string>();

	/** @param isService Replicas are tried again wherever they fail: such a job never fails "everywhere". */
	constructor(private readonly isService: boolean) {}

	/** Machines on which tasks of the job failed since one last succeeded. */
	get failedMachines(): ReadonlySet<Machine> {
		return this.#machines;
	}

	/** Tasks of the job that failed since one last succeeded. */
	get consecutiveFailures(): number {
		return this.#consecutive;
	}

	/** Steady time of the last failure; -Infinity: there was none. */
	get lastFailureAt(): number {
		return this.#lastAt;
	}

	/** Steady time before which no task of the job is tried again. */
	get retryNotBefore(): number {
		return this.#retryNotBefore;
	}

	/** Machine types on which the job fails though it succeeds on another: its own fault, not the machines'. */
	get unfitTypes(): ReadonlySet<string> {
		return this.#unfitTypes;
	}

	/** The job fails wherever it goes: it is tried again now and then, and kept out of the load. */
	get failsEverywhere(): boolean {
		if (this.isService || !this.failedOnSeveralMachines) return false;
		let machines = 0;
		// What a faulty machine does to a job says nothing of the job.
		for (const machine of this.#machines) if (!machine.health.quarantinedForFailures) machines += 1;
		return machines >= machinesToFailEverywhere || this.#consecutive >= failuresToFailEverywhere;
	}

	/** The job has failed on more than one machine and succeeded on none since: perhaps the fault is its own. */
	get failedOnSeveralMachines(): boolean {
		return this.#machines.size > 1;
	}

	/** A task has failed on the machine. */
	recordFailure(machine: Machine, now: number): void {
		this.#machines.add(machine);
		this.#consecutive += 1;
		this.#lastAt = now;
	}

	/** No task of the job is tried again before this steady time. */
	backOffUntil(retryNotBefore: number): void {
		this.#retryNotBefore = retryNotBefore;
	}

	/**
	 * A task has succeeded on the machine type: the type suits the job. Types on which the job failed on several
	 * machines, and never succeeded, do not. Called before the failures are cleared.
	 */
	recordSuccess(machineType: string): void {
		this.#provenTypes.add(machineType);
		this.#unfitTypes.delete(machineType);
		const machinesByType = new Map<string, number>();
		for (const { type } of this.#machines)
			machinesByType.set(type.name, (machinesByType.get(type.name) ?? 0) + 1);
		for (const [name, machines] of machinesByType)
			if (machines >= machinesToBeUnfit && !this.#provenTypes.has(name)) this.#unfitTypes.add(name);
	}

	/** A replica ran well before it failed: the failures before it say nothing of where it starts next. */
	clearFailedMachines(): void {
		this.#machines.clear();
	}

	/** A task has succeeded: the failures before it do not count any more. */
	clear(): void {
		this.#machines.clear();
		this.#consecutive = 0;
		this.#retryNotBefore = 0;
	}
}
