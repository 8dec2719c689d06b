import type { Amount } from "../../src/amount.js";
import type { AdmittedTask } from "./history.js";

/**
 * What happened to one admission: to the process that made it, to each copy of the proposal that carries it, and to its
 * task. Only events of the simulated processes and links are recorded here, and never what a leader believes.
 */
export class AdmissionRecord {
	/** Simulated time at which the holder's allotment expires. */
	expiresAt = Number.POSITIVE_INFINITY;
	private startedAt: number | null = null;
	private endedAt: number | null = null;
	/** Time from which the task can no longer start. A start after that is a violation. */
	private unableToStartSince: number | null = null;
	private startCount = 0;
	/** Copies of the proposal that may still be delivered, including those that wait at a paused process. */
	private copiesInFlight = 0;
	private processEnded = false;

	constructor(
		readonly id: string,
		readonly team: string,
		readonly size: Amount,
		readonly admittedAt: number,
	) {}

	get started(): boolean {
		return this.startedAt !== null;
	}

	get running(): boolean {
		return this.started && this.endedAt === null;
	}

	/** Records that a copy of the proposal was sent and may be delivered. */
	copySent(): void {
		this.copiesInFlight += 1;
	}

	/** Records that a sent copy was delivered, or can no longer be. */
	copyGone(now: number): void {
		this.copiesInFlight -= 1;
		this.recordIfNothingIsLeft(now);
	}

	/** Records that the process that admitted the task has ended: it sends no further copy. */
	admittingProcessEnded(now: number): void {
		this.processEnded = true;
		this.recordIfNothingIsLeft(now);
	}

	private recordIfNothingIsLeft(now: number): void {
		if (this.processEnded && this.copiesInFlight === 0) this.recordUnableToStart(now);
	}

	/** Records that the task was refused, dropped, or cannot start for another reason. */
	recordUnableToStart(now: number): void {
		if (!this.started) this.unableToStartSince ??= now;
	}

	recordStart(now: number): void {
		this.startCount += 1;
		this.startedAt ??= now;
	}

	recordEnd(now: number): void {
		this.endedAt = now;
	}

	/** Returns the admission in the form that the history's checker reads. */
	toHistory(now: number): AdmittedTask {
		const unableSince = Math.min(this.expiresAt, this.unableToStartSince ?? now, now);
		return {
			id: this.id,
			team: this.team,
			size: [this.size.cpus, this.size.gpus],
			admittedAt: this.admittedAt,
			endedAt: this.started ? this.endedAt : Math.max(this.admittedAt, unableSince),
			startedAt: this.startedAt,
			startCount: this.startCount,
			unableToStartSince: this.unableToStartSince,
		};
	}
}
