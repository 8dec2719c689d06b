/**
 * Lease extension by unanimous vote: how a leader keeps its authority while the store refuses it.
 *
 * The leader asks every other controller to pledge not to campaign for the duration of a lease. A controller votes
 * only if the store refuses it too (`lease-extension-voter.ts`). While the pledges of *all* others stand, nobody
 * can win the leader key, whether the store is down for everybody or refuses each controller on its own. A
 * majority would not do: the one controller that has not voted may be served by the store and about to win.
 *
 * A vote also names the cancellations of which the voter's users were told and of which the leader may not know,
 * so that the leader carries them out although the store brings it no news.
 */

import type { NodeId, Revision, Term } from "../../protocol/model/identifiers.js";
import type { LeadershipMessage, LeaseExtensionVote } from "../../protocol/peer/messages.js";
import type { Log } from "../ports/log.js";
import type { LeaderLease } from "./leader-lease.js";
import { holderExpiryAt, type LeaseTiming } from "./lease-timing.js";

/**
 * Requests that are sent within the duration of a lease. They are many, since the store may go down for the others
 * only when little of the lease is left (trace 39).
 */
const requestsPerLease = 20;

/** A vote for an older request than this many ago is not counted. */
const rememberedRequests = 40;

/** What lease extension needs. */
export interface LeaseExtensionOptions {
	/** All other controllers. */
	otherControllers: readonly NodeId[];
	timing: LeaseTiming;
	log: Log;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** Revision up to which this process knows the store. */
	replicaRevision(): Revision;
}

/** The leader's side: sends the requests and counts the votes. Lives as long as the process. */
export class LeaseExtension {
	/** Request numbers count on over the terms of the process, so that no two requests share one. */
	private requestNumber = 0;
	private nextRequestAt = 0;
	/** Steady sending times of the latest requests, by number. */
	private readonly requestsSentAt = new Map<number, number>();
	/** By controller: when the latest request that it has voted for was sent. */
	private readonly votedRequestSentAt = new Map<NodeId, number>();
	/** By controller: the same for the latest request whose vote named the cancellations. */
	private readonly cancellationsNamedAt = new Map<NodeId, number>();

	constructor(private readonly options: LeaseExtensionOptions) {}

	/** Votes of an earlier term say nothing about the new one. */
	beginTerm(): void {
		this.votedRequestSentAt.clear();
		this.cancellationsNamedAt.clear();
	}

	/** After a pause of the process votes that were requested since are needed at once. */
	onProcessPause(now: number): void {
		this.nextRequestAt = now;
	}

	/** Called often while the store does not renew the lease: sends the next request when it is due. */
	requestVotes(term: Term, now: number): void {
		if (now < this.nextRequestAt) return;
		const { timing, broadcast, replicaRevision: knownRevision } = this.options;
		this.nextRequestAt = now + timing.leaseTtlMs / requestsPerLease;
		this.requestNumber += 1;
		this.requestsSentAt.set(this.requestNumber, now);
		this.requestsSentAt.delete(this.requestNumber - rememberedRequests);
		broadcast({
			kind: "lease-extension-request",
			term,
			requestNumber: this.requestNumber,
			knownRevision: knownRevision(),
		});
	}

	/** Counts a vote of the lease's term, and extends the lease as far as all votes together carry it. */
	countVote(from: NodeId, vote: LeaseExtensionVote, lease: LeaderLease, now: number): void {
		const sentAt = this.requestsSentAt.get(vote.requestNumber);
		if (sentAt === undefined) return;
		if (vote.cancellations) keepLatest(this.cancellationsNamedAt, from, sentAt);
		// Once the lease and its extension have lapsed, only a renewal brings authority back. The voter's earlier
		// process may have won the key in between and ended, and the present one would vote in good faith. Test:
		// "votes do not bring authority back once it has lapsed" in lease-extension.test.ts; traces 19 and 28.
		if (now >= lease.validUntil) return;
		keepLatest(this.votedRequestSentAt, from, sentAt);
		lease.extendTo(holderExpiryAt(this.options.timing, this.allVotedSince));
		const validForMs = Math.round(holderExpiryAt(this.options.timing, sentAt) - now);
		this.options.log.debug({ peer: from, validForMs }, "lease extension vote received");
	}

	/** Steady time at or after which every other controller was asked for its latest vote; -Infinity: not all voted. */
	get allVotedSince(): number {
		return this.earliest(this.votedRequestSentAt);
	}

	/**
	 * Steady time up to which the votes have named every cancellation that any other controller told a user of;
	 * -Infinity: not all have named theirs.
	 */
	get cancellationsListedUntil(): number {
		return this.earliest(this.cancellationsNamedAt);
	}

	/** The earliest of the times of all other controllers; one without a time is the earliest of all. */
	private earliest(times: ReadonlyMap<NodeId, number>): number {
		const { otherControllers: others } = this.options;
		if (others.length === 0) return -Infinity;
		return Math.min(...others.map((other) => times.get(other) ?? -Infinity));
	}
}

/** Votes may arrive out of order. */
function keepLatest(times: Map<NodeId, number>, peer: NodeId, sentAt: number): void {
	times.set(peer, Math.max(sentAt, times.get(peer) ?? -Infinity));
}
