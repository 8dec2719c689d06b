/**
 * The health of machines. After a task failure a machine is on probation and gets one task at a time. With enough
 * evidence of a fault it is quarantined: it gets no new tasks and is deleted once it is empty.
 */

import type { Job } from "./job.js";

/** Quarantine and probation expire, because the fault may disappear before the machine is empty and deleted. */
const quarantineDurationMs = 40_000;
const probationDurationMs = 20_000;

/** Minimum number of runs for an estimate of a machine's speed: the run times of one job's tasks differ by half. */
const minRunsForSpeed = 10;

/** A machine this many times slower than the mean of others of its type is faulty; sound ones differ by a tenth. */
const slowFactor = 1.7;

/** Number of other machines of the type with enough runs that a comparison needs. */
const minComparedMachines = 2;

/** Cause of a quarantine. Failures may later be attributed to the jobs. */
export type QuarantineCause = "failures" | "slow";

type HealthState =
	| { kind: "healthy" }
	| { kind: "probation"; startedAt: number }
	| {
			kind: "quarantined";
			cause: QuarantineCause;
			startedAt: number;
			/** True if a probation after a failure has not ended: it continues if the quarantine is lifted. */
			probationPending: boolean;
	  };

/** Health of one machine, and the evidence for it. */
export class MachineHealth {
	#state: HealthState = { kind: "healthy" };
	#comparedRuns = 0;
	#slowdown = 0;

	readonly #jobsWithFailures = new Set<Job>();

	/** Jobs whose tasks have failed on the machine since its last success; each may be at fault itself. */
	get jobsWithFailures(): ReadonlySet<Job> {
		return this.#jobsWithFailures;
	}

	/** True if the machine gets no new tasks. */
	get quarantined(): boolean {
		return this.#state.kind === "quarantined";
	}

	/** True if the cause of the quarantine is failures, which may later be attributed to the jobs. */
	get quarantinedForFailures(): boolean {
		return this.#state.kind === "quarantined" && this.#state.cause === "failures";
	}

	/** True if the machine gets one task at a time, also if it is quarantined as well. */
	get onProbation(): boolean {
		const state = this.#state;
		return state.kind === "probation" || (state.kind === "quarantined" && state.probationPending);
	}

	/** Number of finished runs that were compared with the mean run time of their jobs. */
	get comparedRuns(): number {
		return this.#comparedRuns;
	}

	/** Mean run time on the machine as a multiple of the mean run times of the same jobs; recent runs weigh more. */
	get slowdown(): number {
		return this.#slowdown;
	}

	/** Records the failure of a task of the job, which may be the machine's fault. */
	recordFailure(job: Job): void {
		this.#jobsWithFailures.add(job);
	}

	/** Removes the failure of a job that has turned out to be at fault itself. */
	removeFailure(job: Job): void {
		this.#jobsWithFailures.delete(job);
	}

	/** Clears the failures, after a task has succeeded on the machine. */
	clearFailures(): void {
		this.#jobsWithFailures.clear();
	}

	/** Starts or prolongs the probation after a failure. It ends with a success or by expiry. */
	startProbation(now: number): void {
		this.#state =
			this.#state.kind === "quarantined"
				? { ...this.#state, startedAt: now, probationPending: true }
				: { kind: "probation", startedAt: now };
	}

	/** Ends the probation, because a task has succeeded or the jobs were at fault. */
	clearProbation(): void {
		if (this.#state.kind === "quarantined") this.#state = { ...this.#state, probationPending: false };
		else this.#state = { kind: "healthy" };
	}

	/** Quarantines the machine, or changes the cause of its quarantine. */
	quarantine(cause: QuarantineCause, now: number): void {
		this.#state = { kind: "quarantined", cause, startedAt: now, probationPending: this.onProbation };
	}

	/** Ends the quarantine because the evidence has turned out to be insufficient; a pending probation continues. */
	liftQuarantine(): void {
		const state = this.#state;
		if (state.kind !== "quarantined") return;
		this.#state = state.probationPending
			? { kind: "probation", startedAt: state.startedAt }
			: { kind: "healthy" };
	}

	/** Ends an expired probation, or turns an expired quarantine into a probation and discards its evidence. */
	applyExpiry(now: number): void {
		const state = this.#state;
		if (state.kind === "healthy") return;
		const elapsedMs = now - state.startedAt;
		if (state.kind === "quarantined" && elapsedMs > quarantineDurationMs) {
			this.clearFailures();
			this.#comparedRuns = 0;
			this.#state = { kind: "probation", startedAt: now };
		} else if (elapsedMs > probationDurationMs) this.clearProbation();
	}

	/** Records the duration of a finished run and the mean run time of its job. */
	recordRun(seconds: number, meanSeconds: number): void {
		this.#comparedRuns += 1;
		this.#slowdown +=
			(seconds / meanSeconds - this.#slowdown) / Math.min(this.#comparedRuns, minRunsForSpeed);
	}
}

/** The properties of a machine that a comparison of speeds needs. */
interface ComparedMachine {
	readonly type: { readonly name: string };
	readonly health: MachineHealth;
}

/**
 * True if a machine's slowdown is much higher than the mean slowdown of others of its type. The slowdown itself would
 * mislead: a job's short tasks end first, so its mean is too low and every slowdown too high while the job runs.
 */
export function isMuchSlower(machine: ComparedMachine, machines: Iterable<ComparedMachine>): boolean {
	if (machine.health.comparedRuns < minRunsForSpeed) return false;
	let compared = 0;
	let sum = 0;
	for (const other of machines) {
		if (other === machine || other.type.name !== machine.type.name) continue;
		if (other.health.comparedRuns < minRunsForSpeed) continue;
		compared += 1;
		sum += other.health.slowdown;
	}
	return compared >= minComparedMachines && machine.health.slowdown > (slowFactor * sum) / compared;
}
