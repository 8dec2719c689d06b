/**
 * Whether a machine can be trusted with tasks. After a failure it is on probation: one task at a time. With
 * enough evidence against it, it is quarantined: it takes nothing new and is deleted once it is empty.
 */

import type { Job } from "./job.js";

/** Trouble may be over while tasks still run on the machine, so a quarantine and a probation end by themselves. */
const quarantineMs = 40_000;
const probationMs = 20_000;

/** Fewer runs than this say nothing about a machine's speed: tasks of one job differ by half. */
const runsToJudgeSpeed = 10;

/** Machines of one type differ by a tenth; one that is this many times slower than the others is faulty. */
const tooSlowFactor = 1.7;

/** At least so many other machines of the type must have enough runs to compare with. */
const machinesToCompare = 2;

/** Why a machine is quarantined. Failures may turn out to be the fault of the jobs. */
export type QuarantineCause = "failures" | "slow";

type HealthState =
	| { kind: "healthy" }
	| { kind: "probation"; sinceAt: number }
	| {
			kind: "quarantined";
			cause: QuarantineCause;
			sinceAt: number;
			/** A failure put the machine on probation that is not over, to be served after the quarantine. */
			probationPending: boolean;
	  };

/** Owns the evidence about one machine and the conclusion drawn from it. */
export class MachineHealth {
	#state: HealthState = { kind: "healthy" };
	#runs = 0;
	#slowdown = 0;

	readonly #failedJobs = new Set<Job>();

	/** Jobs of which tasks failed here since a task last succeeded here; each may be to blame for its failure. */
	get jobsWithFailures(): ReadonlySet<Job> {
		return this.#failedJobs;
	}

	/** Takes nothing new. */
	get quarantined(): boolean {
		return this.#state.kind === "quarantined";
	}

	/** Quarantined for failures, which may turn out to be the fault of the jobs. */
	get quarantinedForFailures(): boolean {
		return this.#state.kind === "quarantined" && this.#state.cause === "failures";
	}

	/** Only one task at a time is risked here. */
	get onProbation(): boolean {
		const state = this.#state;
		return state.kind === "probation" || (state.kind === "quarantined" && state.probationPending);
	}

	/** Runs that have finished here and were compared with the mean of their jobs. */
	get comparedRuns(): number {
		return this.#runs;
	}

	/** Run times here as a multiple of the mean run times of the same jobs. */
	get slowdown(): number {
		return this.#slowdown;
	}

	/** A task of the job has failed here, and the fault may be the machine's. */
	recordFailure(job: Job): void {
		this.#failedJobs.add(job);
	}

	/** The failure of the job here was its own fault. */
	removeFailure(job: Job): void {
		this.#failedJobs.delete(job);
	}

	/** A task has succeeded here: the failures before it do not count any more. */
	clearFailures(): void {
		this.#failedJobs.clear();
	}

	/** A task has failed: one task at a time, until one has succeeded or the probation is over. */
	startProbation(now: number): void {
		this.#state =
			this.#state.kind === "quarantined"
				? { ...this.#state, sinceAt: now, probationPending: true }
				: { kind: "probation", sinceAt: now };
	}

	/** A task has succeeded, or the failures were the fault of the jobs. */
	clearProbation(): void {
		if (this.#state.kind === "quarantined") this.#state = { ...this.#state, probationPending: false };
		else this.#state = { kind: "healthy" };
	}

	/** The evidence against the machine is enough. */
	quarantine(cause: QuarantineCause, now: number): void {
		this.#state = { kind: "quarantined", cause, sinceAt: now, probationPending: this.onProbation };
	}

	/** The evidence against the machine has turned out to be weak. */
	liftQuarantine(): void {
		const state = this.#state;
		if (state.kind !== "quarantined") return;
		this.#state = state.probationPending
			? { kind: "probation", sinceAt: state.sinceAt }
			: { kind: "healthy" };
	}

	/** Ends a probation that has lasted long enough; a quarantine is followed by a probation. */
	applyExpiry(now: number): void {
		const state = this.#state;
		if (state.kind === "healthy") return;
		const elapsedMs = now - state.sinceAt;
		if (state.kind === "quarantined" && elapsedMs > quarantineMs) {
			this.clearFailures();
			this.#runs = 0;
			this.#state = { kind: "probation", sinceAt: now };
		} else if (elapsedMs > probationMs) this.clearProbation();
	}

	/** A run has finished here: how long it took against the mean of its job. */
	recordRun(seconds: number, meanSeconds: number): void {
		this.#runs += 1;
		this.#slowdown += (seconds / meanSeconds - this.#slowdown) / Math.min(this.#runs, runsToJudgeSpeed);
	}
}

/** What a comparison of speeds needs of a machine. */
interface ComparedMachine {
	readonly type: { readonly name: string };
	readonly health: MachineHealth;
}

/**
 * Whether a machine runs its tasks much slower than others of its type run theirs. The slowdowns alone would
 * mislead: a job's short tasks end first, so while it runs its mean is too low and every slowdown too high.
 */
export function isMuchSlower(machine: ComparedMachine, all: Iterable<ComparedMachine>): boolean {
	if (machine.health.comparedRuns < runsToJudgeSpeed) return false;
	let others = 0;
	let sum = 0;
	for (const other of all) {
		if (other === machine || other.type.name !== machine.type.name) continue;
		if (other.health.comparedRuns < runsToJudgeSpeed) continue;
		others += 1;
		sum += other.health.slowdown;
	}
	return others >= machinesToCompare && machine.health.slowdown > (tooSlowFactor * sum) / others;
}
