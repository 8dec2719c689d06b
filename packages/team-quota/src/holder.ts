import { type Amount, countWithin, minus, nothing, plus, times } from "./amount.js";
import type { HolderReply, QuotaTerms, TeamTerms, Wanted } from "./terms.js";

/** Steady clocks of two machines drift apart by at most this part. */
export const clockDrift = 0.001;

export type RefusalReason =
	/** The team's tasks take all of its limit. */
	| "team at its limit"
	/** There is room, and another controller holds it. */
	| "allotment is elsewhere"
	/** The leader has not been heard for too long. */
	| "allotment expired";

export type Admission =
	| { kind: "admitted"; count: number }
	| { kind: "refused"; reason: RefusalReason; retryAfterMs: number };

export interface HolderOptions {
	/** This process. */
	incarnation: string;
	/** Steady time in milliseconds. */
	now(): number;
	/** An allotment may be used for so long after the sending of a reply that the leader has echoed. */
	expiryMs: number;
	/** Kept free at the end of that. */
	marginMs: number;
}

interface KnownTerms extends TeamTerms {
	/** Steady time at which they came. */
	heardAt: number;
}

/** What is left of a limit is told with other news only, so it is believed for so long. */
const freeKnownMs = 1000;
/** Replies whose sending is remembered; the leader echoes one of the latest. */
const repliesKept = 64;
const retryAtLimitMs = 1000;
const retryElsewhereMs = 200;
const retryExpiredMs = 500;

/**
 * One controller's allotments, and what it has admitted against them. Admitting is synchronous and
 * writes nothing. What is not known to be over, or never to start, counts as used.
 */
export class AllotmentHolder {
	private term = -1;
	private lastNumber = 0;
	private readonly teams = new Map<string, KnownTerms>();
	/** Admissions of batches that the leader has not settled, by batch and team. */
	private readonly unsettled = new Map<number, Map<string, Amount>>();
	private open = new Map<string, Amount>();
	private batch = 0;
	private replyNumber = 0;
	private readonly repliedAt = new Map<number, number>();
	private soundUntil = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: HolderOptions) {}

	/** Until when admissions stand on an allotment that nobody else can have. */
	get validUntil(): number {
		return this.soundUntil;
	}

	private get expired(): boolean {
		return this.options.now() >= this.soundUntil;
	}

	/**
	 * From the leader of the term. Terms of an earlier leader, for an earlier process of this node, or
	 * older than what is known say nothing.
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

	/** This process leads from now on: what it knew as a holder is of an earlier term. */
	leads(term: number): void {
		if (term > this.term) this.beginTerm(term);
	}

	/** No leader of an earlier term starts anything any more: what it was sent and did not start is void. */
	private beginTerm(term: number): void {
		this.term = term;
		this.lastNumber = 0;
		this.teams.clear();
		this.unsettled.clear();
		this.open.clear();
		this.soundUntil = Number.NEGATIVE_INFINITY;
	}

	/** The leader takes nothing away from this process for a while after it received that reply. */
	private renew(echo: number): void {
		const sentAt = this.repliedAt.get(echo);
		if (sentAt === undefined) return;
		const { expiryMs, marginMs } = this.options;
		this.soundUntil = Math.max(this.soundUntil, sentAt + expiryMs * (1 - clockDrift) - marginMs);
	}

	/** Its admissions that run, may run, or may yet be started. */
	used(team: string): Amount {
		let used = this.teams.get(team)?.charged ?? nothing;
		for (const admitted of this.unsettled.values()) used = plus(used, admitted.get(team) ?? nothing);
		return plus(used, this.open.get(team) ?? nothing);
	}

	/** Admits as many tasks of this size as there is room for, up to `most`. */
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

	/** Gives back admissions of the open batch that are not used after all. */
	withdraw(team: string, size: Amount, count: number): void {
		this.open.set(team, minus(this.open.get(team) ?? nothing, times(size, count)));
	}

	/** Closes the open batch; its admissions go to the leader now, and count as used until it is settled. */
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
