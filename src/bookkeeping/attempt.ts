/** One attempt at a task, from its assignment to a machine until it is confirmed to have ended. */

import { RamphubError } from "../protocol/errors.js";
import { type AttemptNumber, type TaskId, taskIdOf } from "../protocol/model/identifiers.js";
import type { TaskState } from "../protocol/model/worker.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";
import type { QuotaCharge } from "./quota-ledger.js";

/**
 * Phase of an attempt. `assigned`: no start command has been sent. `sent`: a start command may have reached the
 * worker, which has not listed the attempt since. The other phases are those that the worker's heartbeats report.
 */
export type AttemptPhase = "assigned" | "sent" | Exclude<TaskState, "exited">;

/** Reason for which the leader ends an attempt. */
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
	/** Seconds that the task has to save a checkpoint. */
	readonly graceS: number;
}

/** Thrown if a start command is marked as sent or as lost in a phase that rules this out: a programming error. */
export class IllegalTransitionError extends RamphubError {}

/** Initial values of an attempt. */
export interface AttemptDescription {
	job: Job;
	taskIndex: number;
	number: AttemptNumber;
	machine: Machine;
	phase: "assigned" | "sent";
}

/**
 * State of one attempt. The worker's reports (`phase`, `runningSince`) and the leader's decisions (`stopRequest`,
 * `relocationTarget`) are independent of each other: a stop can be requested in any phase, and the request stands
 * until the attempt is confirmed to have ended. Only the cluster state creates and ends attempts.
 */
export class Attempt {
	readonly job: Job;
	readonly taskIndex: number;
	readonly number: AttemptNumber;
	readonly machine: Machine;
	readonly taskId: TaskId;
	#phase: AttemptPhase;
	#runningSince: number | null = null;
	#stopRequest: StopRequest | null = null;
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

	/** Current phase, according to the commands sent and the heartbeats received. */
	get phase(): AttemptPhase {
		return this.#phase;
	}

	/** Monotonic time at which a heartbeat first reported the attempt as running; null: none has. */
	get runningSince(): number | null {
		return this.#runningSince;
	}

	/** The decision to end the attempt; null: there is none. Stop commands are repeated until the attempt has ended. */
	get stopRequest(): StopRequest | null {
		return this.#stopRequest;
	}

	/** The machine with resources reserved for the task's next attempt; null: the task is not being relocated. */
	get relocationTarget(): Machine | null {
		return this.#relocationTarget;
	}

	/** The attempt's charge against its team's allotments; null: team quota is not in use. */
	get charge(): QuotaCharge | null {
		return this.#charge;
	}

	/**
	 * Marks the start command as sent to the worker.
	 *
	 * @throws IllegalTransitionError unless the attempt is assigned.
	 */
	markSent(): void {
		this.#expectPhase("assigned", "was sent");
		this.#phase = "sent";
	}

	/**
	 * Marks the start command as lost, so that it is sent again. The caller has made sure that the lost command can no
	 * longer take effect.
	 *
	 * @throws IllegalTransitionError unless the attempt is sent.
	 */
	markStartLost(): void {
		this.#expectPhase("sent", "was lost");
		this.#phase = "assigned";
	}

	/**
	 * Sets the phase to the state that a heartbeat reports.
	 *
	 * @returns True if the attempt is reported as running for the first time.
	 */
	updatePhase(state: Exclude<TaskState, "exited">, now: number): boolean {
		this.#phase = state;
		if (state !== "running" || this.#runningSince !== null) return false;
		this.#runningSince = now;
		return true;
	}

	/** Requests the end of the attempt. Replaces an earlier request, even one with a longer grace period. */
	requestStop(reason: StopReason, graceS: number): void {
		this.#stopRequest = { reason, graceS };
	}

	/**
	 * Requests the end of the attempt and reserves resources on the target machine, where the task's next attempt
	 * starts as soon as this one is confirmed to have ended.
	 */
	relocateTo(target: Machine): void {
		this.endRelocation();
		this.#relocationTarget = target;
		target.capacity.reserveForReplica(this.job.spec);
		this.requestStop("relocation", this.job.spec.checkpointCostS);
	}

	/** Releases the resources reserved on the relocation target. Returns the target; null: there was none. */
	endRelocation(): Machine | null {
		const target = this.#relocationTarget;
		target?.capacity.releaseReplicaReservation(this.job.spec);
		this.#relocationTarget = null;
		return target;
	}

	/** Sets the charge against an allotment; null: team quota is not in use. */
	setCharge(charge: QuotaCharge | null): void {
		this.#charge = charge;
	}

	/** Excludes the attempt from preemption until this monotonic time. */
	protectFromPreemption(until: number): void {
		this.#protectedUntil = until;
	}

	/** True if the attempt must not be preempted at this time. */
	isProtectedFromPreemption(now: number): boolean {
		return now < this.#protectedUntil;
	}

	#expectPhase(expected: AttemptPhase, event: string): void {
		if (this.#phase === expected) return;
		const attempt = `${this.taskId}/${this.number}`;
		throw new IllegalTransitionError(`the start of ${attempt} ${event} in phase ${this.#phase}`);
	}
}
