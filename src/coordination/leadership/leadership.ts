/**
 * Leadership: the election of a leader among the controllers, and the leader's authority to act.
 *
 * A leader holds the leader key, which is attached to a lease of the store. Its authority has two conditions, and
 * both are checked at every use, since this process may be delayed at any time:
 *
 * 1. *No other controller has the leader key.* That is certain while the leader lease is valid (`leader-lease.ts`).
 *    While the store refuses renewals, a unanimous vote of the other controllers extends it (`lease-extension.ts`).
 * 2. *This process has every cancellation that was confirmed to a user up to a recent time*, from the store or from
 *    the votes. A later cancellation still takes effect in time, by the expiry of workers' leases
 *    (`cancellation-staleness.ts`). Renewals do not prove this condition: they may succeed while the watch is stuck.
 *
 * docs/safety.md has the argument and the purpose of each guard; traces 04 to 06, 19, 26 to 29, 34, 39, 40 and 54
 * test it.
 */

import type { Versioned } from "../../bookkeeping/versioned.js";
import type { Incarnation, LeaseId, NodeId, Revision, Term } from "../../protocol/model/identifiers.js";
import type { LeadershipMessage, LeaseExtensionVote } from "../../protocol/peer/messages.js";
import type { LeaderRecord } from "../../protocol/records/singleton-records.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ResignationReason } from "../state/resignation-reason.js";
import { CampaignHoldoff } from "./campaign-holdoff.js";
import { type CancellationTracker, stalenessBoundMs } from "./cancellation-staleness.js";
import { type CampaignResult, LeaderKeyCampaign } from "./leader-key-campaign.js";
import { LeaderLease } from "./leader-lease.js";
import { LeaseExtension } from "./lease-extension.js";
import { LeaseExtensionVoter } from "./lease-extension-voter.js";
import type { LeaseTiming } from "./lease-timing.js";

/** Minimum backoff after a campaign that another controller has won; jitter at most doubles it. */
const lostCampaignBackoffMs = 100;

/** Minimum backoff after a campaign that failed by an error of the store, and the maximum jitter on it. */
const failedCampaignBackoffMs = 150;
const failedCampaignJitterMs = 200;

/** Maximum jitter on the backoff after a resignation. */
const resignationJitterMs = 200;

/** A leader requests votes once its latest renewal is older than the lease's duration divided by this. */
const voteRequestLeaseDivisor = 3;

/** The durations of the leader lease, and the staleness bound of cancellations. */
export interface LeadershipSettings extends LeaseTiming {
	/** Longest authority after the time up to which this process has every cancellation. */
	maxCancellationStalenessMs: number;
}

/** Dependencies of leadership. */
export interface LeadershipOptions {
	node: NodeId;
	/** Identifies this process. */
	incarnation: Incarnation;
	otherControllers: readonly NodeId[];
	settings: LeadershipSettings;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	cancellations: CancellationTracker;
	/** Runs an action in the process's serial executor, where all methods of leadership are called. */
	post(action: () => void): void;
	/** Returns a random number from 0 to 1, so that controllers do not campaign at the same time. */
	jitter(): number;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** Called when this process has won the leader key. */
	onElected(term: Term): void;
	/** Called when the term has ended: this process has resigned. */
	onLeadershipLost(term: Term, reason: ResignationReason): void;
}

/** The role of this process. A leader may temporarily lack authority, which `authorizedTerm` checks. */
type Role =
	/** Campaigns when no controller holds the leader key, unless a hold-off prevents it. */
	| { kind: "follower"; nextCampaignAt: number }
	/** A campaign is in progress. */
	| { kind: "campaigning" }
	/** Has won the leader key and has not resigned since; the key may have been lost without notice. */
	| { kind: "leader"; lease: LeaderLease };

/** Owns the role of this process: campaigns, renews the lease, votes, and resigns. */
export class Leadership {
	private role: Role = { kind: "follower", nextCampaignAt: 0 };
	/** Monotonic time of the end of the latest process pause: only a response requested since confirms authority. */
	private resumedAt = -Infinity;
	private readonly campaign: LeaderKeyCampaign;
	private readonly leaseExtension: LeaseExtension;
	private readonly voter: LeaseExtensionVoter;
	private readonly holdoff: CampaignHoldoff;

	constructor(private readonly options: LeadershipOptions) {
		const { settings, cancellations } = options;
		this.campaign = new LeaderKeyCampaign({ ...options, leaseTtlMs: settings.leaseTtlMs });
		this.holdoff = new CampaignHoldoff({ ...options, timing: settings });
		this.leaseExtension = new LeaseExtension({
			...options,
			timing: settings,
			replicaRevision: () => cancellations.replicaRevision(),
		});
		this.voter = new LeaseExtensionVoter({
			...options,
			mayVote: () => this.mayVote,
			holdOffAfterVote: () => this.holdoff.holdOffAfterVote(),
			cancellationsSince: (revision) => cancellations.since(revision),
		});
	}

	/** Returns the term while this process has authority; null: it does not lead, or may not act now. */
	authorizedTerm(): Term | null {
		if (this.role.kind !== "leader") return null;
		const { lease } = this.role;
		const now = this.options.clock.now();
		const singleController = this.options.otherControllers.length === 0;
		if (!singleController && now >= lease.validUntil) return null;
		if (!this.isConfirmedSincePause(lease)) return null;
		return now < this.cancellationsStaleAt(lease) ? lease.term : null;
	}

	/** The term in which this process leads, with or without authority at present; null: it does not lead. */
	get currentTerm(): Term | null {
		return this.role.kind === "leader" ? this.role.lease.term : null;
	}

	/**
	 * Called after a process pause. A leader then has authority only once the store or every other controller has
	 * responded to a request that was sent since. The lease alone is enough for safety, because the clock shows whether
	 * it can have expired; this makes a resumed leader act on fresh responses. Trace 54; "after a process pause a leader
	 * ..." in leadership.test.ts.
	 */
	onProcessPause(): void {
		this.resumedAt = this.options.clock.now();
		if (this.role.kind === "leader") this.role.lease.onProcessPause(this.resumedAt);
		this.leaseExtension.onProcessPause(this.resumedAt);
		this.holdoff.onProcessPause(this.resumedAt);
	}

	/** Ends the startup hold-off, since the store has never had a leader and no earlier process can have voted. */
	endStartupHoldoff(): void {
		this.holdoff.endStartupHoldoff();
	}

	/** Handles a message of another controller. */
	handleMessage(from: NodeId, message: LeadershipMessage): void {
		const now = this.options.clock.now();
		switch (message.kind) {
			case "leader-query":
				this.replyToQuery(message.incarnation);
				break;
			case "leader-query-reply":
				this.holdoff.replyReceived(from, message);
				break;
			case "lease-extension-request":
				void this.voter.requestReceived(message);
				break;
			case "lease-extension-vote":
				this.voteReceived(from, message, now);
				break;
		}
	}

	/**
	 * Called often, whether this process leads or not.
	 *
	 * @param leaderKey The leader key in the replica; null: there is none.
	 * @param replicaLoaded True if the replica has been loaded, so that a key that it lacks does not exist.
	 */
	tick(leaderKey: Versioned<LeaderRecord> | null, replicaLoaded: boolean): void {
		const now = this.options.clock.now();
		if (this.role.kind === "leader") {
			this.maintainLease(this.role.lease, now);
			return;
		}
		if (this.holdoff.preventsCampaign(now)) return;
		if (!replicaLoaded || this.role.kind !== "follower" || now < this.role.nextCampaignAt) return;
		// A key with this node's name was written by an earlier process of the node, which has ended, since each node
		// runs one process.
		if (leaderKey === null || leaderKey.value.node === this.options.node)
			void this.startCampaign(leaderKey?.revision ?? 0);
	}

	/** Ends the term, if this process leads. Authority ends at once, and the leader lease as soon as possible. */
	resign(reason: ResignationReason): void {
		if (this.role.kind !== "leader") return;
		const { lease } = this.role;
		const { clock, settings, jitter, onLeadershipLost } = this.options;
		// Long enough for another controller to win the key first, also when this one resigned because workers or store
		// changes do not reach it.
		const nextCampaignAt = clock.now() + settings.leaseTtlMs + jitter() * resignationJitterMs;
		this.role = { kind: "follower", nextCampaignAt };
		lease.release();
		onLeadershipLost(lease.term, reason);
	}

	// --- authority ---

	/** True if a renewal, or a vote of every other controller, was requested since the latest process pause. */
	private isConfirmedSincePause(lease: LeaderLease): boolean {
		return lease.lastRenewalSentAt >= this.resumedAt || this.leaseExtension.allVotedSince >= this.resumedAt;
	}

	/** Monotonic time from which this process's record of cancellations is too old to act on. */
	private cancellationsStaleAt(lease: LeaderLease): number {
		const { cancellations, settings, clock } = this.options;
		const completeUntil = Math.max(cancellations.syncedAt(), this.leaseExtension.cancellationsListedUntil);
		const renewedByStore = lease.renewedByStore(clock.now());
		return completeUntil + stalenessBoundMs(settings.maxCancellationStalenessMs, renewedByStore);
	}

	// --- leading ---

	private maintainLease(lease: LeaderLease, now: number): void {
		lease.tick(now);
		const renewalOverdueMs = this.options.settings.leaseTtlMs / voteRequestLeaseDivisor;
		if (now - lease.lastRenewalSentAt > renewalOverdueMs) this.leaseExtension.requestVotes(lease.term, now);
		// The store renews the lease but its changes do not arrive, so this leader resigns in favour of another. Test:
		// "a leader whose watch is stuck while its renewals succeed ..." in leadership.test.ts.
		else if (now >= this.cancellationsStaleAt(lease)) this.resign("store changes do not arrive");
	}

	private voteReceived(from: NodeId, vote: LeaseExtensionVote, now: number): void {
		// The listed cancellations are valid, however old the message is. They are recorded before the vote is counted,
		// because a counted vote implies that this process has them.
		if (vote.cancellations) this.options.cancellations.record(vote.cancellations);
		if (this.role.kind !== "leader" || vote.term !== this.role.lease.term) return;
		this.leaseExtension.countVote(from, vote, this.role.lease, now);
	}

	// --- following ---

	private get mayVote(): boolean {
		return this.role.kind === "follower" && this.options.clock.now() >= this.campaign.unresolvedWriteUntil;
	}

	private replyToQuery(incarnation: Incarnation): void {
		const term = this.currentTerm;
		this.options.broadcast({
			kind: "leader-query-reply",
			term: term ?? 0,
			isLeader: term !== null,
			incarnation,
		});
	}

	private async startCampaign(expectedRevision: Revision): Promise<void> {
		const { clock, post } = this.options;
		this.role = { kind: "campaigning" };
		const startedAt = clock.now();
		let result: CampaignResult;
		try {
			result = await this.campaign.run(expectedRevision, startedAt);
		} catch (error) {
			post(() => this.campaignFailed(error));
			return;
		}
		post(() => this.campaignEnded(result, startedAt));
	}

	private campaignEnded(result: CampaignResult, startedAt: number): void {
		if (result.elected) this.elected(result.term, result.leaseId, startedAt);
		else this.campaignLost();
	}

	private elected(term: Term, leaseId: LeaseId, startedAt: number): void {
		const lease = new LeaderLease({
			...this.options,
			timing: this.options.settings,
			term,
			leaseId,
			requestedAt: startedAt,
			onExpired: () => this.resign("leader lease expired"),
		});
		this.role = { kind: "leader", lease };
		this.leaseExtension.beginTerm();
		this.options.onElected(term);
	}

	private campaignLost(): void {
		const { clock, jitter } = this.options;
		const nextCampaignAt = clock.now() + lostCampaignBackoffMs + jitter() * lostCampaignBackoffMs;
		this.role = { kind: "follower", nextCampaignAt };
	}

	private campaignFailed(error: unknown): void {
		const { clock, jitter, log } = this.options;
		const nextCampaignAt = clock.now() + failedCampaignBackoffMs + jitter() * failedCampaignJitterMs;
		this.role = { kind: "follower", nextCampaignAt };
		log.debug({ err: error }, "campaign failed");
	}
}
