/**
 * Campaign hold-off: a process must not campaign while a leader may rely on its vote for a lease extension. That is
 * so for the duration of a lease after its own vote, and after its start, since an earlier process of this node may
 * have voted just before it ended.
 *
 * The startup hold-off ends early when every other controller has replied that it does not lead, or when the store
 * has never had a leader: then no leader can rely on such a vote.
 */

import type { Incarnation, NodeId } from "../../protocol/model/identifiers.js";
import type { LeaderQueryReply, LeadershipMessage } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import { grantorExpiryAt, type LeaseTiming } from "./lease-timing.js";

/** Interval between two leader queries. */
const queryIntervalMs = 200;

type HoldoffState =
	/** No vote binds this process. */
	| { kind: "none" }
	/** An earlier process of this node may have voted; the controllers in `notLeading` replied that they do not lead. */
	| { kind: "startup"; until: number; notLeading: Set<NodeId> }
	/** This process has voted. */
	| { kind: "voted"; until: number };

/** Dependencies of a campaign hold-off. */
export interface CampaignHoldoffOptions {
	/** Identifies this process, so that replies to an earlier process of this node are recognized. */
	incarnation: Incarnation;
	otherControllers: readonly NodeId[];
	timing: LeaseTiming;
	clock: Clock;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
}

/** Owns the time until which this process must not campaign. */
export class CampaignHoldoff {
	private state: HoldoffState;
	private nextQueryAt = 0;

	constructor(private readonly options: CampaignHoldoffOptions) {
		const until = grantorExpiryAt(options.timing, options.clock.now());
		this.state = { kind: "startup", until, notLeading: new Set() };
	}

	/** Starts a hold-off for the duration of a lease, because this process votes. */
	holdOffAfterVote(): void {
		const until = grantorExpiryAt(this.options.timing, this.options.clock.now());
		const earlier = this.state.kind === "none" ? -Infinity : this.state.until;
		// This replaces a startup hold-off, since its early end would also end the hold-off for the vote.
		this.state = { kind: "voted", until: Math.max(earlier, until) };
	}

	/** Ends a startup hold-off, when no leader can rely on a vote of an earlier process; one after a vote remains. */
	endStartupHoldoff(): void {
		if (this.state.kind === "startup") this.state = { kind: "none" };
	}

	/**
	 * True if this process must not campaign now. It is called often while this process neither leads nor campaigns,
	 * and sends the leader queries of the startup hold-off.
	 */
	preventsCampaign(now: number): boolean {
		const { state } = this;
		if (state.kind === "none") return false;
		if (now >= state.until) {
			this.state = { kind: "none" };
			return false;
		}
		if (state.kind === "startup" && now >= this.nextQueryAt) this.queryLeaders(now);
		return true;
	}

	/** Records the reply of another controller to a leader query. */
	replyReceived(from: NodeId, reply: LeaderQueryReply): void {
		if (this.state.kind !== "startup") return;
		// A late copy of a reply to an earlier process of this node does not count: that process may have voted
		// after the reply, for a controller that has become leader since. Traces 28 and 33; leadership.test.ts.
		if (reply.incarnation !== this.options.incarnation) return;
		const { notLeading } = this.state;
		if (reply.isLeader) notLeading.delete(from);
		else notLeading.add(from);
		if (this.options.otherControllers.every((other) => notLeading.has(other))) this.endStartupHoldoff();
	}

	/** Makes the next query due at once, since replies may have been lost during the process pause. */
	onProcessPause(now: number): void {
		this.nextQueryAt = now;
	}

	private queryLeaders(now: number): void {
		this.nextQueryAt = now + queryIntervalMs;
		this.options.broadcast({ kind: "leader-query", term: 0, incarnation: this.options.incarnation });
	}
}
