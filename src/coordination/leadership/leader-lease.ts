/**
 * The lease of the store that the leader key is attached to, during one term of this process.
 *
 * As long as the lease lives, no other controller can have the leader key. The lease certainly lives until its
 * duration has passed since the sending of the latest renewal that succeeded, less clock drift and a margin,
 * because the store counts from a later moment. A unanimous vote of the other controllers carries this beyond the
 * lease itself; see `lease-extension.ts`.
 */

import type { LeaseId, Term } from "../../protocol/model/identifiers.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { holderExpiryAt, type LeaseTiming } from "./lease-timing.js";

/** A lease is renewed so many times within its duration. */
const renewalsPerLease = 5;

/** Longest pause after a renewal that failed; it is at most doubled by jitter. */
const maxRetryMs = 150;

/** A short lease leaves less time: within its duration at least so many renewals can be tried. */
const retriesPerLease = 10;

/** What a lease needs, and the lease that a campaign has won. */
export interface LeaderLeaseOptions {
	term: Term;
	leaseId: LeaseId;
	/** Steady time at which the campaign that won the lease was started, before its first request. */
	requestedAt: number;
	timing: LeaseTiming;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** A random part of 1, so that controllers do not act in step. */
	jitter(): number;
	/** The store has said that the lease does not exist any more. */
	onExpired(): void;
}

/** Owns the renewal of one leader lease, and how long it is certain that nobody else has the leader key. */
export class LeaderLease {
	readonly term: Term;
	#renewedAt: number;
	#validUntil: number;
	private renewalInFlight = false;
	private nextRenewalAt: number;
	private released = false;

	constructor(private readonly options: LeaderLeaseOptions) {
		this.term = options.term;
		this.#renewedAt = options.requestedAt;
		this.#validUntil = holderExpiryAt(options.timing, options.requestedAt);
		this.nextRenewalAt = options.clock.now();
	}

	/** Steady time at which the latest renewal that succeeded was sent. */
	get lastRenewalSentAt(): number {
		return this.#renewedAt;
	}

	/** Steady time before which no other controller can have the leader key. It never goes back. */
	get validUntil(): number {
		return this.#validUntil;
	}

	/** The latest renewal alone keeps the lease alive: the store serves this process. */
	renewedByStore(now: number): boolean {
		return now < holderExpiryAt(this.options.timing, this.#renewedAt);
	}

	/** No other controller can have the leader key before that time, whoever has made sure of it. */
	extendTo(until: number): void {
		this.#validUntil = Math.max(this.#validUntil, until);
	}

	/** Called often, with or without authority. */
	tick(now: number): void {
		if (!this.renewalInFlight && now >= this.nextRenewalAt) void this.renew();
	}

	/** A renewal under way was sent before the pause; its answer, if any, confirms nothing that matters now. */
	onProcessPause(now: number): void {
		this.renewalInFlight = false;
		this.nextRenewalAt = now;
	}

	/** Gives up the lease, so that another controller can win the leader key at once. */
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
		this.#renewedAt = Math.max(this.#renewedAt, sentAt);
	}

	private renewalFailed(error: unknown): void {
		const { clock, timing, jitter, log, onExpired } = this.options;
		this.renewalInFlight = false;
		const retryMs = Math.min(maxRetryMs, timing.leaseTtlMs / retriesPerLease) * (1 + jitter());
		this.nextRenewalAt = clock.now() + retryMs;
		if (this.released) return;
		if (error instanceof CallError && error.status === 404) onExpired();
		else log.debug({ err: error }, "leader lease renewal failed");
	}
}

/**
 * Ends a lease that is not needed any more. A failure is ignored, since nobody renews the lease: it ends by itself
 * after its duration, only later.
 */
export async function revokeUnneededLease(store: KeyValueStore, leaseId: LeaseId, log: Log): Promise<void> {
	try {
		await store.revokeLease(leaseId);
	} catch (error) {
		log.debug({ err: error }, "leader lease not revoked");
	}
}
