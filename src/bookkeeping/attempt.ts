/** One try at one task, from the decision to start it until it is proved over. */

import { RamphubError } from "../protocol/errors.js";
import { type TaskId, taskIdOf } from "../protocol/model/identifiers.js";
import type { TaskState } from "../protocol/model/worker.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";
import type { QuotaCharge } from "./quota-ledger.js";

/**
 * Where an attempt is: `assigned`, no start command has left yet; `sent`, a start command may have reached the
 * worker, which has not listed the attempt since; the others as the worker's heartbeats report it.
 */
export type AttemptPhase = "assigned" | "sent" | Exclude<TaskState, "exited">;

/** Why the leader wants an attempt to end. */
export type StopReason =
	| "job ended"
	| "task done"
	| "preempted"
	| "team limit lowered"
	| "spot reclaim"
	| "relocation";

/** The leader's decision to end an attempt. */
export interface StopRequest {
	readonly reason: StopReason;
	/** Seconds that the task may take to save a checkpoint. */
	readonly graceS: number;
}

/** A command was taken for sent or lost that cannot have been: a fault of this program. */
export class IllegalTransitionError extends RamphubError {}

/** What an attempt is from its beginning. */
export interface AttemptDescription {
	job: Job;
	taskIndex: number;
	number: number;
	machine: Machine;
	phase: "assigned" | "sent";
}

/**
 * Owns the state of one attempt. What the worker reports (`phase`, `runningSince`) and what the leader wants (`stop`,
 * `relocationTarget`) are independent of each other: a stop may be wanted in any phase, and stays wanted until the
 * attempt is proved over. The cluster state alone creates and ends attempts.
 */
export class Attempt {
	readonly job: Job;
	readonly taskIndex: number;
	/** Unique in the cluster; later attempts of a task have larger numbers. */
	readonly number: number;
	readonly machine: Machine;
	readonly taskId: TaskId;
	#phase: AttemptPhase;
	#runningSince: number | null = null;
	#stop: StopRequest | null = null;
	#relocationTarget: Machine | null = null;
	#charge: QuotaCharge | null = null;
	#protectedUntil = Number.NEGATIVE_INFINITY;

	constructor({ job, taskIndex, number, machine, phase }: AttemptDescription) {
		this.job = job;
		this.taskIndex = taskIndex;
		this.number = number;
		this.machine = machine;
		this.taskId = taskIdOf(job.id, taskIndex);
		this.#phase = phase;
	}

	/** Where the attempt is, as far as commands and heartbeats show. */
	get phase(): AttemptPhase {
		return this.#phase;
	}

	/** Steady time at which a heartbeat first reported it running; null: none has. */
	get runningSince(): number | null {
		return this.#runningSince;
	}

	/** The decision to end it; null: there is none. Stop commands are repeated until the attempt is over. */
	get stopRequest(): StopRequest | null {
		return this.#stop;
	}

	/** The machine that has resources reserved for the task's next attempt; null: it is not being relocated. */
	get relocationTarget(): Machine | null {
		return this.#relocationTarget;
	}

	/** What it takes of its team's allotments; null: team quota is not in use. */
	get charge(): QuotaCharge | null {
		return this.#charge;
	}

	/**
	 * A start command leaves for the worker.
	 *
	 * @throws IllegalTransitionError unless the attempt is assigned.
	 */
	markSent(): void {
		this.#expectPhase("assigned", "was sent");
		this.#phase = "sent";
	}

	/**
	 * The start command was lost and can no longer be carried out: it is to be sent again.
	 *
	 * @throws IllegalTransitionError unless the attempt is sent.
	 */
	markStartLost(): void {
		this.#expectPhase("sent", "was lost");
		this.#phase = "assigned";
	}

	/**
	 * A heartbeat lists the attempt in this state.
	 *
	 * @returns Whether it is reported running for the first time.
	 */
	updatePhase(state: Exclude<TaskState, "exited">, now: number): boolean {
		this.#phase = state;
		if (state !== "running" || this.#runningSince !== null) return false;
		this.#runningSince = now;
		return true;
	}

	/** Asks for the attempt's end. A later request replaces an earlier one, which may have had a longer grace. */
	requestStop(reason: StopReason, graceS: number): void {
		this.#stop = { reason, graceS };
	}

	/**
	 * Asks for the attempt's end here and reserves resources on another machine, where the task's next attempt
	 * starts as soon as this one is proved over.
	 */
	relocateTo(target: Machine): void {
		this.endRelocation();
		this.#relocationTarget = target;
		target.capacity.reserveForReplica(this.job.spec);
		this.requestStop("relocation", this.job.spec.checkpointCostS);
	}

	/** Gives up the resources reserved on the target, and returns the target; null: there was none. */
	endRelocation(): Machine | null {
		const target = this.#relocationTarget;
		target?.capacity.releaseReplicaReservation(this.job.spec);
		this.#relocationTarget = null;
		return target;
	}

	/** The attempt is charged to an allotment; null: team quota is not in use. */
	setCharge(charge: QuotaCharge | null): void {
		this.#charge = charge;
	}

	/** Until this steady time the attempt is not stopped for other work. */
	protectFromPreemption(until: number): void {
		this.#protectedUntil = until;
	}

	/** Whether the attempt may not be stopped for other work at this time. */
	isProtectedFromPreemption(now: number): boolean {
		return now < this.#protectedUntil;
	}

	#expectPhase(expected: AttemptPhase, event: string): void {
		if (this.#phase === expected) return;
		const attempt = `${this.taskId}/${this.number}`;
		throw new IllegalTransitionError(`the start of ${attempt} ${event} in phase ${this.#phase}`);
	}
}
