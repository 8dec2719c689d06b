/**
 * The failures of a job's tasks, by machine. Whether the job or a machine is at fault is decided by
 * src/coordination/workers/fault-attribution.ts.
 */

import type { Machine } from "./machine.js";

/** A job that has failed on this many machines without a success since is assumed to fail on every machine. */
const everywhereMachineThreshold = 3;

/** The same applies after this many failures in a row, where too few machines are available to the job. */
const everywhereFailureThreshold = 8;

/** A machine type is unfit for a job that has failed on this many machines of the type and never succeeded on it. */
const unfitTypeMachineThreshold = 2;

/** Failures of one job's tasks. Only outcomes of attempts change it. */
export class FailureHistory {
	readonly #failedMachines = new Set<Machine>();
	#consecutiveFailures = 0;
	#lastFailureAt = Number.NEGATIVE_INFINITY;
	#retryNotBefore = 0;
	readonly #provenTypes = new Set<string>();
	readonly #unfitTypes = new Set<string>();

	/** @param isService True for a service job: its replicas are always retried, so it never fails "everywhere". */
	constructor(private readonly isService: boolean) {}

	/** Machines on which tasks of the job have failed since the last success. */
	get failedMachines(): ReadonlySet<Machine> {
		return this.#failedMachines;
	}

	/** Number of failures since the last success. */
	get consecutiveFailures(): number {
		return this.#consecutiveFailures;
	}

	/** Monotonic time of the last failure; -Infinity: there was none. */
	get lastFailureAt(): number {
		return this.#lastFailureAt;
	}

	/** Monotonic time before which no task of the job is retried. */
	get retryNotBefore(): number {
		return this.#retryNotBefore;
	}

	/** Machine types on which the job fails although it succeeds on another: the job is at fault, not the machines. */
	get unfitTypes(): ReadonlySet<string> {
		return this.#unfitTypes;
	}

	/** True if the job fails on every machine: it is retried occasionally and does not count as load for scale-out. */
	get failsEverywhere(): boolean {
		if (this.isService || !this.failedOnSeveralMachines) return false;
		let machines = 0;
		// A failure on a faulty machine is no evidence against the job.
		for (const machine of this.#failedMachines) if (!machine.health.quarantinedForFailures) machines += 1;
		return machines >= everywhereMachineThreshold || this.#consecutiveFailures >= everywhereFailureThreshold;
	}

	/** True if the job has failed on more than one machine without a success since: the job may be at fault. */
	get failedOnSeveralMachines(): boolean {
		return this.#failedMachines.size > 1;
	}

	/** Records the failure of a task on the machine. */
	recordFailure(machine: Machine, now: number): void {
		this.#failedMachines.add(machine);
		this.#consecutiveFailures += 1;
		this.#lastFailureAt = now;
	}

	/** Delays the retries of the job's tasks until this monotonic time. */
	backOffUntil(retryNotBefore: number): void {
		this.#retryNotBefore = retryNotBefore;
	}

	/**
	 * Records the success of a task on the machine type, which is fit for the job from then on. Types on several
	 * machines of which the job has failed, and on which it has never succeeded, become unfit: the success shows that
	 * the job works elsewhere. Called before the failures are cleared.
	 */
	recordSuccess(machineType: string): void {
		this.#provenTypes.add(machineType);
		this.#unfitTypes.delete(machineType);
		const machinesByType = new Map<string, number>();
		for (const { type } of this.#failedMachines)
			machinesByType.set(type.name, (machinesByType.get(type.name) ?? 0) + 1);
		for (const [name, machines] of machinesByType)
			if (machines >= unfitTypeMachineThreshold && !this.#provenTypes.has(name)) this.#unfitTypes.add(name);
	}

	/**
	 * Clears the failed machines. Called when a replica has run for long before it failed: the failures before that run
	 * are no reason to avoid a machine for its next start.
	 */
	clearFailedMachines(): void {
		this.#failedMachines.clear();
	}

	/** Clears all failures but the time of the last one. Called when a task has succeeded. */
	clear(): void {
		this.#failedMachines.clear();
		this.#consecutiveFailures = 0;
		this.#retryNotBefore = 0;
	}
}
