/**
 * Leadership: whether this controller may act for all, and since when.
 *
 * A leader holds the leader key, which is attached to a lease of the store. Its authority needs two things, and
 * both are tested at every use, since this process may run late:
 *
 * 1. *Nobody else has the leader key.* That is certain while the leader lease is valid (`leader-lease.ts`). While
 *    the store refuses renewals, a unanimous vote of the other controllers extends it (`lease-extension.ts`).
 * 2. *Every cancellation that a user was told of, up to a moment not long ago, is known here*, from the store or
 *    from the votes, so that one that is unknown is carried out in time by workers' leases expiring
 *    (`cancellation-staleness.ts`). Renewals say nothing about this: they may succeed while the watch is stuck.
 *
 * The argument, and what each guard is there for, is in docs/safety.md; traces 04 to 06, 19, 26 to 29, 34, 39, 40
 * and 54 play it.
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

/** Least pause after a campaign that another controller has won; up to twice this with jitter. */
const lostCampaignPauseMs = 100;

/** Least pause after a campaign that the store has failed, and the most that jitter adds. */
const failedCampaignPauseMs = 150;
const failedCampaignJitterMs = 200;

/** The most that jitter adds to the pause after a resignation. */
const resignationJitterMs = 200;

/** A leader asks for votes once it has not renewed its lease for the lease's duration divided by this. */
const votesAfterLeaseDividedBy = 3;

/** Durations that leadership counts with. */
export interface LeadershipSettings extends LeaseTiming {
	/** Longest authority after the moment up to which every cancellation is known here. */
	maxCancellationStalenessMs: number;
}

/** What leadership needs. */
export interface LeadershipOptions {
	node: NodeId;
	/** Names this process. */
	incarnation: Incarnation;
	/** All other controllers. */
	otherControllers: readonly NodeId[];
	settings: LeadershipSettings;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	cancellations: CancellationTracker;
	/** Runs an action in the process's serial executor, where all methods of leadership are called. */
	post(action: () => void): void;
	/** A random part of 1, so that controllers do not act in step. */
	jitter(): number;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** This process has won the leader key. */
	onElected(term: Term): void;
	/** The term is over for good: this process has resigned. */
	onLeadershipLost(term: Term, reason: ResignationReason): void;
}

/**
 * What this process is. A leader may be without authority for a while: that depends on the time, and `authority`
 * tells it.
 */
type Role =
	/** Campaigns when the leader key is free, unless a hold-off keeps it from doing so. */
	| { kind: "follower"; nextCampaignAt: number }
	/** A campaign is under way. */
	| { kind: "campaigning" }
	/** Holds the leader key, as far as is known. */
	| { kind: "leader"; lease: LeaderLease };

/** Owns the role of this process: campaigns, renews the lease, votes, and resigns. */
export class Leadership {
	private role: Role = { kind: "follower", nextCampaignAt: 0 };
	/** End of the latest pause of the process: only what was requested since confirms authority. */
	private resumedAt = -Infinity;
	private readonly campaign: LeaderKeyCampaign;
	private readonly extension: LeaseExtension;
	private readonly voter: LeaseExtensionVoter;
	private readonly holdoff: CampaignHoldoff;

	constructor(private readonly options: LeadershipOptions) {
		const { settings, cancellations } = options;
		this.campaign = new LeaderKeyCampaign({ ...options, leaseTtlMs: settings.leaseTtlMs });
		this.holdoff = new CampaignHoldoff({ ...options, timing: settings });
		this.extension = new LeaseExtension({
			...options,
			timing: settings,
			replicaRevision: () => cancellations.replicaRevision(),
		});
		this.voter = new LeaseExtensionVoter({
			...options,
			mayVote: () => this.mayPledge,
			holdOffAfterVote: () => this.holdoff.holdOffAfterVote(),
			cancellationsSince: (revision) => cancellations.since(revision),
		});
	}

	/** The term while this process may act for the controllers; null: it may not act now. */
	authorizedTerm(): Term | null {
		if (this.role.kind !== "leader") return null;
		const { lease } = this.role;
		const now = this.options.clock.now();
		const alone = this.options.otherControllers.length === 0;
		if (!alone && now >= lease.validUntil) return null;
		if (!this.isConfirmed(lease)) return null;
		return now < this.cancellationsStaleAt(lease) ? lease.term : null;
	}

	/** The term that this process holds, with or without present authority; null: it does not lead. */
	get currentTerm(): Term | null {
		return this.role.kind === "leader" ? this.role.lease.term : null;
	}

	/**
	 * The process has paused. Its clock says whether its lease can have expired, so no rule rests on this: it makes
	 * a leader that resumes act on a fresh answer of the store or of every other controller, and not on what was so
	 * before. Trace 54; "a leader that stood still ..." in leadership.test.ts.
	 */
	onProcessPause(): void {
		this.resumedAt = this.options.clock.now();
		if (this.role.kind === "leader") this.role.lease.onProcessPause(this.resumedAt);
		this.extension.onProcessPause(this.resumedAt);
		this.holdoff.onProcessPause(this.resumedAt);
	}

	/** The store has never had a leader: no earlier process can have voted. */
	endStartupHoldoff(): void {
		this.holdoff.endStartupHoldoff();
	}

	/** A message of another controller. */
	handleMessage(from: NodeId, message: LeadershipMessage): void {
		const now = this.options.clock.now();
		switch (message.kind) {
			case "leader-query":
				this.answerQuery(message.incarnation);
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
	 * @param leaderKey The leader key as the replica has it; null: there is none.
	 * @param replicaLoaded The replica has been loaded, so that a key that it lacks is not there.
	 */
	tick(leaderKey: Versioned<LeaderRecord> | null, replicaLoaded: boolean): void {
		const now = this.options.clock.now();
		if (this.role.kind === "leader") {
			this.keepLease(this.role.lease, now);
			return;
		}
		if (this.holdoff.preventsCampaign(now)) return;
		if (!replicaLoaded || this.role.kind !== "follower" || now < this.role.nextCampaignAt) return;
		// A key with this node's name was written by an earlier process of it, which has ended: there is one process
		// for each node.
		if (leaderKey === null || leaderKey.value.node === this.options.node)
			void this.startCampaign(leaderKey?.revision ?? 0);
	}

	/** Ends the term, if this process leads. Authority ends at once, and the leader lease as soon as possible. */
	resign(reason: ResignationReason): void {
		if (this.role.kind !== "leader") return;
		const { lease } = this.role;
		const { clock, settings, jitter, onLeadershipLost } = this.options;
		// Long enough for another controller to win the key, also where this one resigns because it is in the way.
		const nextCampaignAt = clock.now() + settings.leaseTtlMs + jitter() * resignationJitterMs;
		this.role = { kind: "follower", nextCampaignAt };
		lease.release();
		onLeadershipLost(lease.term, reason);
	}

	// --- authority ---

	/** A renewal, or a vote of every other controller, was requested since the process last paused. */
	private isConfirmed(lease: LeaderLease): boolean {
		return lease.lastRenewalSentAt >= this.resumedAt || this.extension.allVotedSince >= this.resumedAt;
	}

	/** Steady time at which what is known of cancellations is too old to act on. */
	private cancellationsStaleAt(lease: LeaderLease): number {
		const { cancellations, settings, clock } = this.options;
		const knownUntil = Math.max(cancellations.syncedAt(), this.extension.cancellationsListedUntil);
		const served = lease.renewedByStore(clock.now());
		return knownUntil + stalenessBoundMs(settings.maxCancellationStalenessMs, served);
	}

	// --- leading ---

	private keepLease(lease: LeaderLease, now: number): void {
		lease.tick(now);
		const renewalOverdueMs = this.options.settings.leaseTtlMs / votesAfterLeaseDividedBy;
		if (now - lease.lastRenewalSentAt > renewalOverdueMs) this.extension.requestVotes(lease.term, now);
		// The store serves this process, and yet its changes do not arrive: another controller had better lead.
		// Test: "a leader whose watch is stuck while its renewals succeed ..." in leadership.test.ts.
		else if (now >= this.cancellationsStaleAt(lease)) this.resign("store changes do not arrive");
	}

	private voteReceived(from: NodeId, vote: LeaseExtensionVote, now: number): void {
		// The cancellations that it names have happened, however old the message is. They are taken over before the
		// vote is counted, because counting it says that they are known here.
		if (vote.cancellations) this.options.cancellations.record(vote.cancellations);
		if (this.role.kind !== "leader" || vote.term !== this.role.lease.term) return;
		this.extension.countVote(from, vote, this.role.lease, now);
	}

	// --- following ---

	private get mayPledge(): boolean {
		return this.role.kind === "follower" && this.options.clock.now() >= this.campaign.unresolvedWriteUntil;
	}

	private answerQuery(incarnation: Incarnation): void {
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
		this.extension.beginTerm();
		this.options.onElected(term);
	}

	private campaignLost(): void {
		const { clock, jitter } = this.options;
		const nextCampaignAt = clock.now() + lostCampaignPauseMs + jitter() * lostCampaignPauseMs;
		this.role = { kind: "follower", nextCampaignAt };
	}

	private campaignFailed(error: unknown): void {
		const { clock, jitter, log } = this.options;
		const nextCampaignAt = clock.now() + failedCampaignPauseMs + jitter() * failedCampaignJitterMs;
		this.role = { kind: "follower", nextCampaignAt };
		log.debug({ err: error }, "campaign failed");
	}
}
