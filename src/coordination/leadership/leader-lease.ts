/**
 * The leader lease: the lease of the store that the leader key is attached to, during one term of this process.
 *
 * As long as the lease is valid, no other controller can win the leader key. The lease is certainly valid until its
 * duration has passed since the sending of the latest successful renewal, less clock drift and a margin, because the
 * store counts the duration from a later time. A unanimous vote of the other controllers extends this time beyond the
 * lease itself; see `lease-extension.ts`.
 */

import type { LeaseId, Term } from "../../protocol/model/identifiers.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { holderExpiryAt, type LeaseTiming } from "./lease-timing.js";

/** Number of renewals within the duration of a lease. */
const renewalsPerLease = 5;

/** Longest backoff after a renewal that failed; jitter at most doubles it. */
const maxRetryMs = 150;

/** The backoff is shorter for a short lease, so that at least this many retries fit into its duration. */
const minRetriesPerLease = 10;

/** Dependencies of a leader lease, and the lease of the campaign that won the leader key. */
export interface LeaderLeaseOptions {
	term: Term;
	leaseId: LeaseId;
	/** Monotonic time at which the campaign that won the leader key started, before its first request. */
	requestedAt: number;
	timing: LeaseTiming;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Returns a random number from 0 to 1, so that controllers do not retry at the same time. */
	jitter(): number;
	/** Called when the store responds that the lease does not exist. */
	onExpired(): void;
}

/** Owns the renewal of one leader lease, and the time until which no other controller can have the leader key. */
export class LeaderLease {
	readonly term: Term;
	#lastRenewalSentAt: number;
	#validUntil: number;
	private renewalInFlight = false;
	private nextRenewalAt: number;
	private released = false;

	constructor(private readonly options: LeaderLeaseOptions) {
		this.term = options.term;
		this.#lastRenewalSentAt = options.requestedAt;
		this.#validUntil = holderExpiryAt(options.timing, options.requestedAt);
		this.nextRenewalAt = options.clock.now();
	}

	/** Monotonic time at which the latest successful renewal was sent. */
	get lastRenewalSentAt(): number {
		return this.#lastRenewalSentAt;
	}

	/** Monotonic time before which no other controller can have the leader key. It never decreases. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/** True if the lease is valid by its latest renewal alone, without votes: the store serves this process. */
	renewedByStore(now: number): boolean {
		return now < holderExpiryAt(this.options.timing, this.#lastRenewalSentAt);
	}

	/** Extends the time before which no other controller can have the leader key, by a renewal or by votes. */
	extendTo(until: number): void {
		this.#validUntil = Math.max(this.#validUntil, until);
	}

	/** Called often, with or without authority. */
	tick(now: number): void {
		if (!this.renewalInFlight && now >= this.nextRenewalAt) void this.renew();
	}

	/** Makes the next renewal due at once: one in flight was sent before the pause and confirms nothing after it. */
	onProcessPause(now: number): void {
		this.renewalInFlight = false;
		this.nextRenewalAt = now;
	}

	/** Revokes the lease, so that another controller can win the leader key at once. */
	release(): void {
		this.released = true;
		void revokeUnneededLease(this.options.store, this.options.leaseId, this.options.log);
	}

	private async renew(): Promise<void> {
		const { store, clock, timing, leaseId, post } = this.options;
		this.renewalInFlight = true;
		const sentAt = clock.now();
		this.nextRenewalAt = sentAt + timing.leaseTtlMs / renewalsPerLease;
		try {
			await store.renewLease(leaseId);
		} catch (error) {
			post(() => this.renewalFailed(error));
			return;
		}
		post(() => this.renewalSucceeded(sentAt));
	}

	private renewalSucceeded(sentAt: number): void {
		this.renewalInFlight = false;
		if (this.released) return;
		this.extendTo(holderExpiryAt(this.options.timing, sentAt));
		this.#lastRenewalSentAt = Math.max(this.#lastRenewalSentAt, sentAt);
	}

	private renewalFailed(error: unknown): void {
		const { clock, timing, jitter, log, onExpired } = this.options;
		this.renewalInFlight = false;
		const retryMs = Math.min(maxRetryMs, timing.leaseTtlMs / minRetriesPerLease) * (1 + jitter());
		this.nextRenewalAt = clock.now() + retryMs;
		if (this.released) return;
		if (error instanceof CallError && error.status === 404) onExpired();
		else log.debug({ err: error }, "leader lease renewal failed");
	}
}

/**
 * Revokes a lease that is no longer needed. A failure is ignored: the lease is not renewed, so it expires after its
 * duration.
 */
export async function revokeUnneededLease(store: KeyValueStore, leaseId: LeaseId, log: Log): Promise<void> {
	try {
		await store.revokeLease(leaseId);
	} catch (error) {
		log.debug({ err: error }, "leader lease not revoked");
	}
}
