import type { Amount } from "../../src/amount.js";
import type { AdmittedTask } from "./history.js";

/**
 * What happened to one admission: to the process that made it, to the reply that carries it, and to its task. Only events
 * of the simulated processes, links and store are recorded here, and never what a leader believes.
 *
 * An admission that does not start counts until it is refused, until its holder drops it, or until its holder's allotment
 * expires. It counts no longer than that, and less long only if two things have happened: no copy of its reply can start
 * it, and a write has taken its amount off the stored allotment that it was admitted against.
 */
export class AdmissionRecord {
	/** Simulated time at which the holder's allotment expires. */
	expiresAt = Number.POSITIVE_INFINITY;
	private startedAt: number | null = null;
	private endedAt: number | null = null;
	private startCount = 0;
	/** Time from which the task can no longer start. A start after that is a violation. */
	private unableToStartSince: number | null = null;
	/** Time at which the admission was refused, dropped by its holder, or no longer covered by the stored allotment. */
	private releasedAt: number | null = null;
	/** Number of the reply that carries the admission. */
	private replyNumber = Number.POSITIVE_INFINITY;
	/** Copies of the reply that may still be delivered, including those that wait at a paused process. */
	private copiesInFlight = 0;
	private processEnded = false;
	private allotmentRemoved = false;

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

	/** Records the reply that carries the admission. */
	sentWith(replyNumber: number): void {
		this.replyNumber = replyNumber;
	}

	/** Records that a copy of the reply was sent and may be delivered. */
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
		if (!this.processEnded || this.copiesInFlight > 0 || this.started) return;
		this.unableToStartSince ??= now;
		// The allotment of an ended process may have been replaced while a copy was in flight, which was then refused.
		if (this.allotmentRemoved) this.releasedAt ??= now;
	}

	/** Records that a leader has received a reply of the same process. A later reply settles what was sent before it. */
	replyDelivered(replyNumber: number, now: number): void {
		if (!this.started && replyNumber > this.replyNumber) this.unableToStartSince ??= now;
	}

	/** Records that a write has removed the stored allotment that the task was admitted against. */
	storedAllotmentRemoved(now: number): void {
		this.allotmentRemoved = true;
		this.releaseIfUnableToStart(now);
	}

	/** True if the task can no longer start, and its amount has not been taken off the stored allotment. */
	get awaitsRelease(): boolean {
		return !this.started && this.unableToStartSince !== null && this.releasedAt === null;
	}

	/** Records that a write has taken the amount of a task that cannot start off the stored allotment. */
	releaseIfUnableToStart(now: number): void {
		if (this.awaitsRelease) this.releasedAt = now;
	}

	/** Records that the task was refused by a leader, or dropped by its holder. */
	recordUnableToStart(now: number): void {
		if (this.started) return;
		this.unableToStartSince ??= now;
		this.releasedAt ??= now;
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
		const countsUntil = Math.min(this.expiresAt, this.releasedAt ?? now, now);
		return {
			id: this.id,
			team: this.team,
			size: [this.size.cpus, this.size.gpus],
			admittedAt: this.admittedAt,
			endedAt: this.started ? this.endedAt : Math.max(this.admittedAt, countsUntil),
			startedAt: this.startedAt,
			startCount: this.startCount,
			unableToStartSince: this.unableToStartSince,
		};
	}
}
