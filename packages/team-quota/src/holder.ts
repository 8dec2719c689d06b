import { type Amount, countWithin, minus, nothing, plus, times } from "./amount.js";
import type { HolderReply, QuotaTerms, TeamTerms, Wanted } from "./terms.js";

/** Maximum relative drift between the monotonic clocks of two machines. */
export const clockDrift = 0.001;

export type RefusalReason =
	/** The team's tasks use the whole limit. */
	| "team at its limit"
	/** The limit is not used up, but the unused part is not in this controller's allotment. */
	| "allotment is elsewhere"
	/** The leader has not echoed a recent reply of this controller. */
	| "allotment expired";

export type Admission =
	| { kind: "admitted"; count: number }
	| { kind: "refused"; reason: RefusalReason; retryAfterMs: number };

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

interface KnownTerms extends TeamTerms {
	/** Monotonic time of receipt, in milliseconds. */
	heardAt: number;
}

/**
 * The unused part of a limit is sent only together with other changes of the team, so it is used only
 * while recent.
 */
const freeKnownMs = 1000;
/** Number of replies whose send times are kept; the leader echoes one of the latest. */
const repliesKept = 64;
const retryAtLimitMs = 1000;
const retryElsewhereMs = 200;
const retryExpiredMs = 500;

/**
 * One controller's allotments and its admissions against them. Admission is synchronous and writes
 * nothing. An admission counts as used until its task is known to have ended or never to start.
 */
export class AllotmentHolder {
	private term = -1;
	private lastNumber = 0;
	private readonly teams = new Map<string, KnownTerms>();
	/** Admitted amounts of the batches that the leader has not settled, by batch number and team. */
	private readonly unsettled = new Map<number, Map<string, Amount>>();
	private open = new Map<string, Amount>();
	private batch = 0;
	private replyNumber = 0;
	private readonly repliedAt = new Map<number, number>();
	private soundUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: HolderOptions) {}

	/** Monotonic time until which no other controller can hold this controller's allotments. */
	get validUntil(): number {
		return this.soundUntil;
	}

	private get expired(): boolean {
		return this.options.now() >= this.soundUntil;
	}

	/**
	 * Applies an update from the leader of the term. Updates of an earlier leader, for an earlier process of
	 * this node, or older than the last one applied are ignored.
	 */
	takeTerms(term: number, terms: QuotaTerms): void {
		if (term < this.term || terms.incarnation !== this.options.incarnation) return;
		if (term > this.term) this.beginTerm(term);
		if (terms.number <= this.lastNumber) return;
		this.lastNumber = terms.number;
		for (const batch of [...this.unsettled.keys()])
			if (batch <= terms.settledBatch) this.unsettled.delete(batch);
		const heardAt = this.options.now();
		for (const team of terms.teams) this.teams.set(team.team, { ...team, heardAt });
		this.renew(terms.echo);
	}

	/** Discards the holder state of earlier terms, since this process is the leader of the term. */
	leads(term: number): void {
		if (term > this.term) this.beginTerm(term);
	}

	/**
	 * A leader of an earlier term starts nothing any more: admissions that it received and did not start
	 * are void.
	 */
	private beginTerm(term: number): void {
		this.term = term;
		this.lastNumber = 0;
		this.teams.clear();
		this.unsettled.clear();
		this.open.clear();
		this.soundUntil = Number.NEGATIVE_INFINITY;
	}

	/**
	 * Extends the validity: the leader revokes no allotment within `expiryMs` after it received the
	 * echoed reply.
	 */
	private renew(echo: number): void {
		const sentAt = this.repliedAt.get(echo);
		if (sentAt === undefined) return;
		const { expiryMs, marginMs } = this.options;
		this.soundUntil = Math.max(this.soundUntil, sentAt + expiryMs * (1 - clockDrift) - marginMs);
	}

	/** Returns the amount of this controller's admissions that run, may run, or may still be started. */
	used(team: string): Amount {
		let used = this.teams.get(team)?.charged ?? nothing;
		for (const admitted of this.unsettled.values()) used = plus(used, admitted.get(team) ?? nothing);
		return plus(used, this.open.get(team) ?? nothing);
	}

	/** Admits as many tasks of this size as the allotment has capacity for, up to `maxCount`. */
	admit(team: string, size: Amount, most = 1): Admission {
		if (this.expired) return { kind: "refused", reason: "allotment expired", retryAfterMs: retryExpiredMs };
		const room = minus(this.teams.get(team)?.cap ?? nothing, this.used(team));
		const count = Math.min(most, countWithin(room, size));
		if (count === 0) return this.refusal(team, size);
		this.open.set(team, plus(this.open.get(team) ?? nothing, times(size, count)));
		return { kind: "admitted", count };
	}

	private refusal(team: string, size: Amount): Admission {
		const known = this.teams.get(team);
		const recent = known !== undefined && this.options.now() - known.heardAt < freeKnownMs;
		return recent && countWithin(known.free, size) === 0
			? { kind: "refused", reason: "team at its limit", retryAfterMs: retryAtLimitMs }
			: { kind: "refused", reason: "allotment is elsewhere", retryAfterMs: retryElsewhereMs };
	}

	/** Withdraws admissions of the open batch that are not used. */
	withdraw(team: string, size: Amount, count: number): void {
		this.open.set(team, minus(this.open.get(team) ?? nothing, times(size, count)));
	}

	/**
	 * Closes the open batch and returns its number. Its admissions count as used until the leader settles
	 * the batch.
	 */
	closeBatch(): number {
		this.batch += 1;
		this.unsettled.set(this.batch, this.open);
		this.open = new Map();
		return this.batch;
	}

	reply(wanted?: Wanted[]): HolderReply {
		this.replyNumber += 1;
		this.repliedAt.set(this.replyNumber, this.options.now());
		this.repliedAt.delete(this.replyNumber - repliesKept);
		return {
			incarnation: this.options.incarnation,
			number: this.replyNumber,
			confirmed: this.lastNumber,
			batch: this.batch,
			...(wanted && { wanted }),
		};
	}
}
