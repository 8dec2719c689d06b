/**
 * When this process must not campaign because other controllers may rely on it: after its own vote for a lease
 * extension, and after it has started, since an earlier process of this node may have voted just before it ended.
 *
 * The startup hold-off ends early when every other controller has said that it does not lead, or when the store
 * has never had a leader: then nobody can rely on such a vote.
 */

import type { Incarnation, NodeId } from "../../protocol/model/identifiers.js";
import type { LeaderQueryReply, LeadershipMessage } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import { grantorExpiryAt, type LeaseTiming } from "./lease-timing.js";

/** Pause between two leader queries. */
const queryIntervalMs = 200;

type HoldoffState =
	/** Nothing keeps this process from campaigning. */
	| { kind: "none" }
	/** An earlier process of this node may have voted; `notLeading` have said that they do not lead. */
	| { kind: "startup"; until: number; notLeading: Set<NodeId> }
	/** This process has voted. */
	| { kind: "pledged"; until: number };

/** What a hold-off needs. */
export interface CampaignHoldoffOptions {
	/** Names this process, so that answers to an earlier one are recognized. */
	incarnation: Incarnation;
	/** All other controllers. */
	otherControllers: readonly NodeId[];
	timing: LeaseTiming;
	clock: Clock;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
}

/** Owns until when this process holds off from campaigning. */
export class CampaignHoldoff {
	private state: HoldoffState;
	private nextQueryAt = 0;

	constructor(private readonly options: CampaignHoldoffOptions) {
		const until = grantorExpiryAt(options.timing, options.clock.now());
		this.state = { kind: "startup", until, notLeading: new Set() };
	}

	/** This process has voted: it does not campaign for the duration of a lease. */
	holdOffAfterVote(): void {
		const until = grantorExpiryAt(this.options.timing, this.options.clock.now());
		const earlier = this.state.kind === "none" ? -Infinity : this.state.until;
		// A startup hold-off does not end early any more, since its end would end this pledge as well.
		this.state = { kind: "pledged", until: Math.max(earlier, until) };
	}

	/** Nobody can rely on a vote of an earlier process. A pledge of this one stays. */
	endStartupHoldoff(): void {
		if (this.state.kind === "startup") this.state = { kind: "none" };
	}

	/** Called often while this process neither leads nor campaigns: whether it must not campaign now. */
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

	/** Another controller has said whether it leads. */
	replyReceived(from: NodeId, reply: LeaderQueryReply): void {
		if (this.state.kind !== "startup") return;
		// A late copy of an answer to an earlier process of this node says nothing: that process may have voted
		// after it, for a controller that has begun to lead since. Traces 28 and 33; leadership.test.ts.
		if (reply.incarnation !== this.options.incarnation) return;
		const { notLeading } = this.state;
		if (reply.isLeader) notLeading.delete(from);
		else notLeading.add(from);
		if (this.options.otherControllers.every((other) => notLeading.has(other))) this.endStartupHoldoff();
	}

	/** Answers may have been lost during a pause of the process, so the next query goes out at once. */
	onProcessPause(now: number): void {
		this.nextQueryAt = now;
	}

	private queryLeaders(now: number): void {
		this.nextQueryAt = now + queryIntervalMs;
		this.options.broadcast({ kind: "leader-query", term: 0, incarnation: this.options.incarnation });
	}
}
