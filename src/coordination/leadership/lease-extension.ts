/**
 * Lease extension by unanimous vote, by which a leader keeps its authority while the store refuses its renewals.
 *
 * The leader requests a vote of every other controller. A vote binds the voter not to campaign for the duration of a
 * lease, and a controller votes only if the store refuses it too (`lease-extension-voter.ts`). While the votes of
 * *all* other controllers are valid, none can win the leader key, whether the store is down for all of them or
 * refuses each one separately. A majority would not be enough: a single controller that has not voted may be served
 * by the store and be about to win.
 *
 * A vote also lists the cancellations that the voter has confirmed to users and that the leader may lack, so that the
 * leader carries them out although it receives no changes from the store.
 */

import type { NodeId, Revision, Term } from "../../protocol/model/identifiers.js";
import type { LeadershipMessage, LeaseExtensionVote } from "../../protocol/peer/messages.js";
import type { Log } from "../ports/log.js";
import type { LeaderLease } from "./leader-lease.js";
import { holderExpiryAt, type LeaseTiming } from "./lease-timing.js";

/**
 * Number of requests within the duration of a lease. It is large, because the store may start to refuse the other
 * controllers only shortly before the lease expires (trace 39).
 */
const requestsPerLease = 20;

/** Number of latest requests whose votes are counted. */
const trackedRequests = 40;

/** Dependencies of lease extension. */
export interface LeaseExtensionOptions {
	otherControllers: readonly NodeId[];
	timing: LeaseTiming;
	log: Log;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** Revision of the store up to which the replica is complete. */
	replicaRevision(): Revision;
}

/** The leader's side: sends the requests and counts the votes. One instance serves all terms of the process. */
export class LeaseExtension {
	/** Request numbers increase across the terms of the process, so that each request has a unique one. */
	private requestNumber = 0;
	private nextRequestAt = 0;
	/** Monotonic sending times of the latest requests, by number. */
	private readonly requestsSentAt = new Map<number, number>();
	/** Monotonic sending time of the latest request for which each controller has voted. */
	private readonly votedRequestSentAt = new Map<NodeId, number>();
	/** Monotonic sending time of the latest request for which each controller's vote listed the cancellations. */
	private readonly cancellationsListedAt = new Map<NodeId, number>();

	constructor(private readonly options: LeaseExtensionOptions) {}

	/** Discards the votes of earlier terms, which do not extend the lease of the new one. */
	beginTerm(): void {
		this.votedRequestSentAt.clear();
		this.cancellationsListedAt.clear();
	}

	/** Makes the next request due at once: after a process pause, only votes requested since count. */
	onProcessPause(now: number): void {
		this.nextRequestAt = now;
	}

	/** Sends the next request when it is due. It is called often while the store does not renew the lease. */
	requestVotes(term: Term, now: number): void {
		if (now < this.nextRequestAt) return;
		const { timing, broadcast, replicaRevision } = this.options;
		this.nextRequestAt = now + timing.leaseTtlMs / requestsPerLease;
		this.requestNumber += 1;
		this.requestsSentAt.set(this.requestNumber, now);
		this.requestsSentAt.delete(this.requestNumber - trackedRequests);
		broadcast({
			kind: "lease-extension-request",
			term,
			requestNumber: this.requestNumber,
			replicaRevision: replicaRevision(),
		});
	}

	/** Counts a vote of the lease's term, and extends the lease to the earliest expiry of all controllers' votes. */
	countVote(from: NodeId, vote: LeaseExtensionVote, lease: LeaderLease, now: number): void {
		const sentAt = this.requestsSentAt.get(vote.requestNumber);
		if (sentAt === undefined) return;
		if (vote.cancellations) setIfLater(this.cancellationsListedAt, from, sentAt);
		// Once the lease and its extension have expired, only a renewal restores authority. In the meantime an earlier
		// process of the voter may have won the key and ended, and the voter's current process has no record of that.
		// Test: "votes do not restore authority once it has lapsed ..." in lease-extension.test.ts; traces 19 and 28.
		if (now >= lease.validUntil) return;
		setIfLater(this.votedRequestSentAt, from, sentAt);
		lease.extendTo(holderExpiryAt(this.options.timing, this.allVotedSince));
		const validForMs = Math.round(holderExpiryAt(this.options.timing, sentAt) - now);
		this.options.log.debug({ peer: from, validForMs }, "lease extension vote received");
	}

	/** Monotonic sending time of the oldest request among the controllers' latest votes; -Infinity: not all voted. */
	get allVotedSince(): number {
		return this.earliest(this.votedRequestSentAt);
	}

	/**
	 * Monotonic time up to which the votes have listed every cancellation that any other controller confirmed to a user;
	 * -Infinity: not all controllers have listed theirs.
	 */
	get cancellationsListedUntil(): number {
		return this.earliest(this.cancellationsListedAt);
	}

	/** Returns the earliest of the times of all other controllers; -Infinity if one has no time. */
	private earliest(times: ReadonlyMap<NodeId, number>): number {
		const { otherControllers } = this.options;
		if (otherControllers.length === 0) return -Infinity;
		return Math.min(...otherControllers.map((other) => times.get(other) ?? -Infinity));
	}
}

/** Sets the time unless the present one is later, since votes may arrive out of order. */
function setIfLater(times: Map<NodeId, number>, peer: NodeId, sentAt: number): void {
	times.set(peer, Math.max(sentAt, times.get(peer) ?? -Infinity));
}
