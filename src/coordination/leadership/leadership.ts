import type { Versioned } from "../../bookkeeping/store-replica.js";
import type {
	Cancellation,
	LeadershipMessage,
	LeaseExtensionRequest,
	LeaseExtensionVote,
} from "../../protocol/peer/messages.js";
import { keys } from "../../protocol/records/keys.js";
import type { LeaderRecord } from "../../protocol/records/singleton-records.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

export interface LeadershipSettings {
	leaseTtlMs: number;
	marginMs: number;
	/** Longest authority after the moment up to which every cancellation is known here. */
	maxCancellationStalenessMs: number;
}

/** Two steady clocks drift apart by at most this part. */
export const maxClockDrift = 0.001;
/** A put sent without an answer may be applied minutes late. */
const uncertainMs = 5 * 60_000;
/** Changes of the store are known within this, as long as it answers. */
const watchAnswerMs = 8000;
/** Answers to older questions than this many are of no use. */
const requestsKept = 40;

/**
 * Holds the leader's key, which is attached to a lease. The revision of the put
 * that won it is the term and the fencing token.
 *
 * Authority needs two things, tested at every use, since this process may run late.
 *
 * Nobody else has the key. That is certain until the lease's time after the *sending*
 * of its last successful renewal, less drift and margin: the store counts from a later
 * moment. While renewals are refused, it goes on as long as *every* other controller
 * has found itself refused too and has promised not to campaign for the length of
 * a lease, whether the store is down for all or each node is refused on its own. Once
 * that has lapsed only a renewal brings it back: another may have led meanwhile and
 * ended, and the promises of its successor process know nothing of it. A process that
 * starts may have promised before it ended: it holds back for as long, unless every
 * other controller says that it does not lead.
 *
 * Every cancellation that a user was told of up to a moment not long ago is known here,
 * from the store or from the others, so that one unknown here is carried out in time by
 * leases running out. Renewals say nothing about that: they may succeed while the watch
 * is stuck.
 */
export class Leadership {
	private lease: number | null = null;
	private heldTerm: number | null = null;
	/** Nobody else can have the key before this. */
	private unchallengedUntil = -Infinity;
	private renewing = false;
	private campaigning = false;
	private nextRenewal = 0;
	private nextCampaign = 0;
	private renewedAt = -Infinity;
	/** Answers to requests sent before this confirm nothing: the process stood still until then. */
	private confirmFrom = -Infinity;
	/** By controller: until when it will not campaign. */
	private readonly promises = new Map<string, number>();
	/** By controller: all that its node has told users of cancellations up to then is known here. */
	private readonly cancellationsKnownAt = new Map<string, number>();
	private readonly requestsSentAt = new Map<number, number>();
	private requestNumber = 0;
	private nextRequest = 0;
	/** This process's own promise, or what it may have promised before it started. */
	private promisedUntil: number;
	/** Whether the hold since the start is still on, and who has said that it does not lead. */
	private startHold = true;
	private readonly notLeading = new Set<string>();
	/** A campaign's put without an answer may still be applied; until then, no promise. */
	private uncertainUntil = -Infinity;

	constructor(
		private readonly node: string,
		readonly incarnation: string,
		private readonly settings: LeadershipSettings,
		private readonly store: KeyValueStore,
		private readonly time: Clock,
		private readonly post: (command: () => void) => void,
		private readonly hooks: {
			won(term: number): void;
			lost(term: number, why: string): void;
			/** To every other controller. */
			tell(message: LeadershipMessage): void;
			/** Steady time up to which the local copy holds every change of the store, and its revision. */
			knownAt(): number;
			knownRevision(): number;
			/** Every cancellation after the revision that this node can have told a user of; null: it cannot say. */
			cancelledSince(revision: number): Cancellation[] | null;
			learn(cancelled: Cancellation[]): void;
		},
		private readonly others: readonly string[],
		private readonly log: Log,
		private readonly jitter: () => number,
	) {
		this.promisedUntil = time.now() + this.promiseMs * (1 + maxClockDrift);
	}

	private get promiseMs(): number {
		return this.settings.leaseTtlMs;
	}

	/** The term while this process may act for the controllers, else null. */
	authority(): number | null {
		if (this.heldTerm === null) return null;
		const now = this.time.now();
		const alone = this.others.length === 0;
		const unchallenged = alone || now < this.unchallengedUntil;
		return unchallenged && this.confirmed && now < this.knowingUntil() ? this.heldTerm : null;
	}

	/**
	 * The process stood still. Its clock says whether its lease can have run out, so this guards
	 * against nothing that the times do not: it makes a leader that wakes up act on a fresh answer
	 * of the store, or of every other controller, and not on what was so before.
	 */
	onProcessPause(): void {
		this.confirmFrom = this.time.now();
		// The request under way was sent before; its answer, if any, confirms nothing.
		this.renewing = false;
		this.nextRenewal = this.confirmFrom;
		this.nextRequest = this.confirmFrom;
	}

	/** A renewal, or a promise of every other controller, was asked for since the process last stood still. */
	private get confirmed(): boolean {
		return (
			this.renewedAt >= this.confirmFrom || this.earliest(this.promises) >= this.promiseEnd(this.confirmFrom)
		);
	}

	private knowingUntil(): number {
		const known = Math.max(this.hooks.knownAt(), this.earliest(this.cancellationsKnownAt));
		// Where cancel_s hardly exceeds a lease no bound could be kept between two answers of a
		// watch. A leader that the store serves goes on for long enough to hear the next.
		const served = this.time.now() < this.validFrom(this.renewedAt);
		return (
			known +
			(served
				? Math.max(this.settings.maxCancellationStalenessMs, watchAnswerMs)
				: this.settings.maxCancellationStalenessMs)
		);
	}

	/** The earliest of the times noted for the others, one not noted being the earliest of all. */
	private earliest(times: Map<string, number>): number {
		if (this.others.length === 0) return -Infinity;
		return Math.min(...this.others.map((other) => times.get(other) ?? -Infinity));
	}

	/** A fresh cluster has nothing that a promise could have been about. */
	endStartupHoldoff(): void {
		if (!this.startHold) return;
		this.startHold = false;
		this.promisedUntil = -Infinity;
	}

	handleMessage(from: string, message: LeadershipMessage): void {
		const now = this.time.now();
		if (message.kind === "leader-query") {
			this.hooks.tell({
				kind: "leader-query-reply",
				term: this.heldTerm ?? 0,
				isLeader: this.heldTerm !== null,
				incarnation: message.incarnation,
			});
		} else if (message.kind === "leader-query-reply" && this.startHold) {
			// A copy of an answer to an earlier process of this node, which may have promised
			// since to one that has begun to lead since.
			if (message.incarnation !== this.incarnation) return;
			if (message.isLeader) this.notLeading.delete(from);
			else this.notLeading.add(from);
			if (this.others.every((other) => this.notLeading.has(other))) this.endStartupHoldoff();
		} else if (message.kind === "lease-extension-request") this.considerPromise(message);
		else if (message.kind === "lease-extension-vote") this.promised(from, message, now);
	}

	/** The end of a promise that was asked for at the time given, as its receiver counts. */
	private promiseEnd(sentAt: number): number {
		return sentAt + this.promiseMs * (1 - maxClockDrift) - this.settings.marginMs;
	}

	private promised(from: string, message: LeaseExtensionVote, now: number): void {
		// What it names is so, however old the message is, and is carried out before anything is counted.
		if (message.cancellations) this.hooks.learn(message.cancellations);
		const sentAt = this.requestsSentAt.get(message.requestNumber);
		if (message.term !== this.heldTerm || sentAt === undefined) return;
		const latest = (times: Map<string, number>, at: number) =>
			times.set(from, Math.max(at, times.get(from) ?? -Infinity));
		if (message.cancellations) latest(this.cancellationsKnownAt, sentAt);
		// Whoever promises now may have led in between, in a process that has ended since.
		if (now >= this.unchallengedUntil) return;
		const until = this.promiseEnd(sentAt);
		latest(this.promises, until);
		this.unchallengedUntil = Math.max(this.unchallengedUntil, this.earliest(this.promises));
		this.log.debug({ from, forMs: Math.round(until - now) }, "lease extension vote received");
	}

	/** Promises only when a request made after the question was refused. */
	private considerPromise({
		term: epoch,
		requestNumber: number,
		knownRevision: known,
	}: LeaseExtensionRequest): void {
		const may = () => this.heldTerm === null && !this.campaigning && this.time.now() >= this.uncertainUntil;
		if (!may()) return;
		this.store.read(keys.leader).then(
			() => {},
			(error) =>
				this.post(() => {
					if (!(error instanceof CallError) || error.status !== 503 || !may()) return;
					const until = this.time.now() + this.promiseMs * (1 + maxClockDrift);
					this.promisedUntil = Math.max(this.promisedUntil, until);
					this.startHold = false;
					const cancelled = known === undefined ? null : this.hooks.cancelledSince(known);
					this.hooks.tell({
						kind: "lease-extension-vote",
						term: epoch,
						requestNumber: number,
						...(cancelled && { cancellations: cancelled }),
					});
				}),
		);
	}

	private requestPromises(now: number): void {
		if (now < this.nextRequest) return;
		// Often: the store may be out for all only when little of the lease is left.
		this.nextRequest = now + this.promiseMs / 20;
		this.requestNumber += 1;
		this.requestsSentAt.set(this.requestNumber, now);
		this.requestsSentAt.delete(this.requestNumber - requestsKept);
		const known = this.hooks.knownRevision();
		this.hooks.tell({
			kind: "lease-extension-request",
			term: this.heldTerm ?? 0,
			requestNumber: this.requestNumber,
			knownRevision: known,
		});
	}

	/** The term whose lease has not been seen to end, with or without present authority. */
	get currentTerm(): number | null {
		return this.heldTerm;
	}

	private validFrom(sentAt: number): number {
		return sentAt + this.settings.leaseTtlMs * (1 - maxClockDrift) - this.settings.marginMs;
	}

	/** Called often, in the queue. */
	tick(current: Versioned<LeaderRecord> | null, known: boolean): void {
		const now = this.time.now();
		if (this.heldTerm !== null) {
			if (!this.renewing && now >= this.nextRenewal) this.renew();
			if (now - this.renewedAt > this.settings.leaseTtlMs / 3) this.requestPromises(now);
			// Served, and yet the changes do not come: another had better lead.
			else if (now >= this.knowingUntil()) this.resign("changes of the store do not reach this node");
			return;
		}
		if (now < this.promisedUntil) {
			if (this.startHold && now >= this.nextRequest) {
				this.nextRequest = now + 200;
				this.hooks.tell({ kind: "leader-query", term: 0, incarnation: this.incarnation });
			}
			return;
		}
		this.startHold = false;
		if (!known || this.campaigning || now < this.nextCampaign) return;
		// A key with this node's name is of an earlier process of it, which is dead: one process per node.
		if (current === null || current.value.node === this.node) this.campaign(current?.revision ?? 0);
	}

	resign(why: string): void {
		const term = this.heldTerm;
		if (term === null) return;
		const lease = this.lease;
		this.heldTerm = null;
		this.lease = null;
		this.unchallengedUntil = -Infinity;
		// Long enough for another to take over, also where this node resigns because it is in the way.
		this.nextCampaign = this.time.now() + this.settings.leaseTtlMs + this.jitter() * 200;
		if (lease !== null) this.store.revokeLease(lease).catch(() => {});
		this.hooks.lost(term, why);
	}

	private renew(): void {
		const lease = this.lease;
		if (lease === null) return;
		this.renewing = true;
		const sentAt = this.time.now();
		this.nextRenewal = sentAt + this.settings.leaseTtlMs / 5;
		this.store.renewLease(lease).then(
			() =>
				this.post(() => {
					this.renewing = false;
					if (this.lease !== lease) return;
					this.unchallengedUntil = Math.max(this.unchallengedUntil, this.validFrom(sentAt));
					this.renewedAt = Math.max(this.renewedAt, sentAt);
				}),
			(error) =>
				this.post(() => {
					this.renewing = false;
					this.nextRenewal =
						this.time.now() + Math.min(150, this.settings.leaseTtlMs / 10) * (1 + this.jitter());
					if (this.lease !== lease) return;
					if (error instanceof CallError && error.status === 404) this.resign("lease ended");
					else this.log.debug({ err: String(error) }, "leader lease renewal failed");
				}),
		);
	}

	private campaign(expected: number): void {
		this.campaigning = true;
		const sentAt = this.time.now();
		this.take(expected, sentAt).then(
			(won) =>
				this.post(() => {
					this.campaigning = false;
					if (won === null) {
						this.nextCampaign = this.time.now() + 100 + this.jitter() * 100;
						return;
					}
					this.heldTerm = won.term;
					this.lease = won.lease;
					this.unchallengedUntil = this.validFrom(sentAt);
					this.renewedAt = sentAt;
					this.promises.clear();
					this.cancellationsKnownAt.clear();
					this.nextRenewal = this.time.now();
					this.hooks.won(won.term);
				}),
			(error) =>
				this.post(() => {
					this.campaigning = false;
					this.nextCampaign = this.time.now() + 150 + this.jitter() * 200;
					this.log.debug({ err: String(error) }, "campaign failed");
				}),
		);
	}

	private async take(expected: number, sentAt: number): Promise<{ term: number; lease: number } | null> {
		const lease = await this.store.grantLease(this.settings.leaseTtlMs);
		const value: LeaderRecord = { node: this.node, incarnation: `${this.incarnation}.${sentAt.toFixed(3)}` };
		try {
			const result = await this.store.compareAndSwap(
				[{ key: keys.leader, revision: expected }],
				[{ put: keys.leader, value, leaseId: lease }],
				"user",
			);
			if (result.swapped) return { term: result.revision, lease };
		} catch (error) {
			// No answer says nothing about the put: read the key back, never assume.
			if (error instanceof CallError && error.outcome === "unknown") {
				this.uncertainUntil = this.time.now() + uncertainMs;
			}
			if (!(error instanceof CallError) || error.outcome !== "unknown") {
				this.store.revokeLease(lease).catch(() => {});
				throw error;
			}
			const { row } = await this.store.read(keys.leader);
			const record = row?.value as LeaderRecord | undefined;
			if (row && record?.incarnation === value.incarnation) return { term: row.revision, lease };
		}
		// Ending the lease makes sure that a late copy of the put finds no lease to attach to.
		this.store.revokeLease(lease).catch(() => {});
		return null;
	}
}
