/** The holder of allotments in one process, which admits work against them. */

import {
	type Amount,
	addAmounts,
	countThatFits,
	multiplyAmount,
	subtractAmounts,
	zeroAmount,
} from "./amount.js";
import type {
	AllotmentUpdate,
	HolderReply,
	RequestedAmount,
	TeamAllotmentUpdate,
} from "./holder-messages.js";
import type { Uint64 } from "./uint64.js";

/** Maximum relative drift between the monotonic clocks of two machines. */
export const maxClockDriftFraction = 0.001;

/** Why a holder admits no task. */
export type RefusalReason =
	/** The team's tasks use the whole limit. */
	| "team at its limit"
	/** The limit is not used up, but the unused part is not in this controller's allotment. */
	| "allotment is elsewhere"
	/** The leader has not echoed a recent reply of this controller. */
	| "allotment expired";

/** A holder's decision on a request to start tasks. */
export type Admission =
	| { kind: "admitted"; count: number }
	| { kind: "refused"; reason: RefusalReason; retryAfterMs: number };

/** Dependencies and bounds of a holder. */
export interface HolderOptions {
	/** This process. */
	incarnation: string;
	/** Monotonic time in milliseconds. */
	now(): number;
	/** An allotment may be used for this long after a reply was sent that the leader has echoed. */
	expiryMs: number;
	/** Safety margin subtracted from `expiryMs`. */
	marginMs: number;
}

/** The term of a holder that has applied no update; every term is later. */
const noTerm = -1;

interface ReceivedTeamUpdate extends TeamAllotmentUpdate {
	/** Monotonic time of receipt, in milliseconds. */
	receivedAt: number;
}

/**
 * The unused part of a limit is sent only together with other changes of the team, so it is used only
 * while recent.
 */
const maxFreeAmountAgeMs = 1000;
/** Number of replies whose send times are kept; the leader echoes one of the latest. */
const maxTrackedReplies = 64;
const retryAtLimitMs = 1000;
const retryElsewhereMs = 200;
const retryExpiredMs = 500;

/**
 * One controller's allotments and its admissions against them. Admission is synchronous and writes
 * nothing. An admission counts as used until its task is known to have ended or never to start.
 */
export class AllotmentHolder {
	private term: Uint64 = noTerm;
	private lastMessageNumber = 0;
	private readonly teams = new Map<string, ReceivedTeamUpdate>();
	/** Admitted amounts of the batches that the leader has not settled, by batch number and team. */
	private readonly unsettledBatches = new Map<number, Map<string, Amount>>();
	private openBatch = new Map<string, Amount>();
	private lastBatchNumber = 0;
	private lastReplyNumber = 0;
	private readonly replySentAt = new Map<number, number>();
	private expiresAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: HolderOptions) {}

	/** Monotonic time until which no other controller can hold this controller's allotments. */
	get validUntil(): number {
		return this.expiresAt;
	}

	private get expired(): boolean {
		return this.options.now() >= this.expiresAt;
	}

	/**
	 * Applies an update from the leader of the term. Updates of an earlier leader, for an earlier process of
	 * this node, or older than the last one applied are ignored.
	 */
	applyUpdate(term: Uint64, update: AllotmentUpdate): void {
		if (term < this.term || update.incarnation !== this.options.incarnation) return;
		if (term > this.term) this.beginTerm(term);
		if (update.number <= this.lastMessageNumber) return;
		this.lastMessageNumber = update.number;
		for (const batch of [...this.unsettledBatches.keys()])
			if (batch <= update.settledBatch) this.unsettledBatches.delete(batch);
		const receivedAt = this.options.now();
		for (const team of update.teams) this.teams.set(team.team, { ...team, receivedAt });
		this.extendValidity(update.echo);
	}

	/** Begins the term with this process as its leader: allotments that it held in earlier terms are void. */
	becomeLeader(term: Uint64): void {
		if (term > this.term) this.beginTerm(term);
	}

	/**
	 * Discards the state of earlier terms. Their leaders start nothing any more: admissions that they
	 * received and did not start are void.
	 */
	private beginTerm(term: Uint64): void {
		this.term = term;
		this.lastMessageNumber = 0;
		this.teams.clear();
		this.unsettledBatches.clear();
		this.openBatch.clear();
		this.expiresAt = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Extends the validity: the leader revokes no allotment within `expiryMs` after it received the
	 * echoed reply.
	 */
	private extendValidity(echo: number): void {
		const sentAt = this.replySentAt.get(echo);
		if (sentAt === undefined) return;
		const { expiryMs, marginMs } = this.options;
		this.expiresAt = Math.max(this.expiresAt, sentAt + expiryMs * (1 - maxClockDriftFraction) - marginMs);
	}

	/** Returns the amount of this controller's admissions that run, may run, or may still be started. */
	used(team: string): Amount {
		let used = this.teams.get(team)?.charged ?? zeroAmount;
		for (const admitted of this.unsettledBatches.values())
			used = addAmounts(used, admitted.get(team) ?? zeroAmount);
		return addAmounts(used, this.openBatch.get(team) ?? zeroAmount);
	}

	/** Admits as many tasks of this size as the allotment has capacity for, up to `maxCount`. */
	admit(team: string, size: Amount, maxCount = 1): Admission {
		if (this.expired) return { kind: "refused", reason: "allotment expired", retryAfterMs: retryExpiredMs };
		const available = subtractAmounts(this.teams.get(team)?.cap ?? zeroAmount, this.used(team));
		const count = Math.min(maxCount, countThatFits(available, size));
		if (count === 0) return this.refusal(team, size);
		this.openBatch.set(team, addAmounts(this.openBatch.get(team) ?? zeroAmount, multiplyAmount(size, count)));
		return { kind: "admitted", count };
	}

	private refusal(team: string, size: Amount): Admission {
		const received = this.teams.get(team);
		const recent = received !== undefined && this.options.now() - received.receivedAt < maxFreeAmountAgeMs;
		return recent && countThatFits(received.free, size) === 0
			? { kind: "refused", reason: "team at its limit", retryAfterMs: retryAtLimitMs }
			: { kind: "refused", reason: "allotment is elsewhere", retryAfterMs: retryElsewhereMs };
	}

	/** Withdraws admissions of the open batch that are not used. */
	withdraw(team: string, size: Amount, count: number): void {
		this.openBatch.set(
			team,
			subtractAmounts(this.openBatch.get(team) ?? zeroAmount, multiplyAmount(size, count)),
		);
	}

	/**
	 * Closes the open batch and returns its number. Its admissions count as used until the leader settles
	 * the batch.
	 */
	closeBatch(): number {
		this.lastBatchNumber += 1;
		this.unsettledBatches.set(this.lastBatchNumber, this.openBatch);
		this.openBatch = new Map();
		return this.lastBatchNumber;
	}

	reply(requested?: RequestedAmount[]): HolderReply {
		this.lastReplyNumber += 1;
		this.replySentAt.set(this.lastReplyNumber, this.options.now());
		this.replySentAt.delete(this.lastReplyNumber - maxTrackedReplies);
		return {
			incarnation: this.options.incarnation,
			number: this.lastReplyNumber,
			...(this.term !== noTerm && { term: this.term }),
			confirmed: this.lastMessageNumber,
			batch: this.lastBatchNumber,
			...(requested && { wanted: requested }),
		};
	}
}
