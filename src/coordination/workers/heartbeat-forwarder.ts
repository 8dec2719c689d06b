/** A controller's side of forwarding: it receives workers' heartbeats in the leader's stead and passes them on. */

import type { NodeId, Term } from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { ForwardedHeartbeat, ForwardedResponse } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";

/** Heartbeats that arrive within this time, and responses, pass between controllers as one message. */
export const forwardingBatchMs = 20;

/** A worker waits 4 s for its response; one that has not come from the leader by now is given up. */
const responseTimeoutMs = 3000;

/** After a timeout the link to the leader is taken to be broken for this long. */
const pauseAfterTimeoutMs = 3000;

/** A forwarded heartbeat that waits for the leader's response. */
interface ForwardingRequest {
	/** Steady time. */
	sentAt: number;
	/** null: the leader may not answer, or has not in time. */
	respond(commands: WorkerCommand[] | null): void;
}

/**
 * Owns the heartbeats that are on their way to the leader. A forwarder decides nothing and keeps nothing else: the
 * leader answers each heartbeat, and its response goes to the worker under the leader's fencing token. To the worker
 * and to the leader it is a slower network (docs/safety.md; traces 33 to 38).
 */
export class HeartbeatForwarder {
	private leader: NodeId = "";
	private term: Term = 0;
	private lastRequestId = 0;
	/** Steady time until which nothing is forwarded. */
	private pausedUntil = Number.NEGATIVE_INFINITY;
	private batch: ForwardedHeartbeat[] = [];
	/** By request id, the oldest first. */
	private readonly requests = new Map<number, ForwardingRequest>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly clock: Clock,
	) {}

	/** Another leader: requests to the one before are given up, and may be forwarded anew. */
	followLeader(leader: NodeId, term: Term): void {
		this.leader = leader;
		this.term = term;
		this.pausedUntil = Number.NEGATIVE_INFINITY;
		this.dropAll();
	}

	/**
	 * Forwards a heartbeat to the leader.
	 *
	 * @returns null: heartbeats cannot be forwarded for now. Otherwise the leader's commands, or null if the leader may
	 *   not answer or has not in time.
	 */
	forward(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> | null {
		const now = this.clock.now();
		if (now < this.pausedUntil) return null;
		this.lastRequestId += 1;
		const requestId = this.lastRequestId;
		if (this.batch.length === 0) this.clock.after(forwardingBatchMs, () => this.sendBatch());
		this.batch.push({ requestId, heartbeat });
		return new Promise((respond) => this.requests.set(requestId, { sentAt: now, respond }));
	}

	private sendBatch(): void {
		const heartbeats = this.batch;
		this.batch = [];
		if (heartbeats.length > 0)
			this.peers.send(this.leader, { kind: "forwarded-heartbeats", term: this.term, heartbeats });
	}

	/** The leader's responses. Those of a controller that is not the leader asked are dropped. */
	handleResponses(from: NodeId, term: Term, responses: readonly ForwardedResponse[]): void {
		if (from !== this.leader || term !== this.term) return;
		for (const { requestId, commands } of responses) {
			this.requests.get(requestId)?.respond(commands);
			this.requests.delete(requestId);
		}
	}

	/** The process stood still: workers have given up what waits here, and the link to the leader is not to blame. */
	onProcessPause(): void {
		this.dropAll();
	}

	private dropAll(): void {
		this.batch = [];
		this.giveUp(Number.POSITIVE_INFINITY);
	}

	/** Gives up requests without a response. Called ten times a second. */
	tick(): void {
		if (this.requests.size === 0) return;
		const now = this.clock.now();
		if (this.giveUp(now - responseTimeoutMs)) this.pausedUntil = now + pauseAfterTimeoutMs;
	}

	/** Gives up requests that were sent at this steady time or before; false: there are none. */
	private giveUp(sentBefore: number): boolean {
		let any = false;
		for (const [requestId, { sentAt, respond }] of this.requests) {
			if (sentAt > sentBefore) break;
			any = true;
			this.requests.delete(requestId);
			respond(null);
		}
		return any;
	}
}
