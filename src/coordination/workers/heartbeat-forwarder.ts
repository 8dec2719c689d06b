/** A follower's side of heartbeat forwarding: passes workers' heartbeats to the leader and returns its responses. */

import type { Incarnation, MachineId, NodeId, Term } from "../../protocol/model/identifiers.js";
import { startedTaskIds, type WorkerCommand, type WorkerHeartbeat } from "../../protocol/model/worker.js";
import type {
	ForwardedHeartbeat,
	ForwardedResponse,
	ForwardedResponses,
} from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger } from "../ports/peers.js";
import { RequestIds } from "./request-ids.js";

/** Forwarded heartbeats that arrive within this interval share one message; so do the responses to them. */
export const forwardingBatchMs = 20;

/** Timeout for the leader's response; it is shorter than the 4 s for which a worker waits. */
const responseTimeoutMs = 3000;

/** Period after a timeout in which nothing is forwarded, because the link to the leader is presumed broken. */
const backoffAfterTimeoutMs = 3000;

/** A forwarded heartbeat that awaits the leader's response. */
interface ForwardingRequest {
	machineId: MachineId;
	/** Monotonic time at which the heartbeat was accepted for forwarding. */
	sentAt: number;
	/** Called with null if the leader may not respond, or has not responded in time. */
	respond(commands: WorkerCommand[] | null): void;
}

/** Dependencies of a forwarder. */
export interface HeartbeatForwarderOptions {
	/** Identifies this process, so that responses to an earlier process of this node are recognized. */
	incarnation: Incarnation;
	peers: PeerMessenger;
	clock: Clock;
	log: Log;
}

/**
 * Owns the heartbeats forwarded to the leader that have no response yet. A forwarder makes no decisions and holds no
 * other state: the leader responds to each heartbeat, and the response goes to the worker under the leader's fencing
 * token. For the worker and the leader, forwarding is equivalent to a slower network (docs/safety.md; traces 33 to 38).
 */
export class HeartbeatForwarder {
	private leader: NodeId = "";
	private term: Term = 0;
	private readonly requestIds: RequestIds;
	/** Monotonic time until which nothing is forwarded. */
	private backoffUntil = Number.NEGATIVE_INFINITY;
	private batch: ForwardedHeartbeat[] = [];
	/** Requests by id, the oldest first. */
	private readonly requests = new Map<number, ForwardingRequest>();

	constructor(private readonly options: HeartbeatForwarderOptions) {
		this.requestIds = new RequestIds(options.incarnation);
	}

	/** Switches to another leader. Requests to the previous one are abandoned; callers may forward them again. */
	followLeader(leader: NodeId, term: Term): void {
		this.leader = leader;
		this.term = term;
		this.backoffUntil = Number.NEGATIVE_INFINITY;
		this.abandonAll();
	}

	/**
	 * Forwards a heartbeat to the leader.
	 *
	 * @returns null during the backoff after a timeout. Otherwise the leader's commands, or null if the leader may not
	 *   respond or has not responded in time.
	 */
	forward(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> | null {
		const { clock } = this.options;
		const now = clock.now();
		if (now < this.backoffUntil) return null;
		const requestId = this.requestIds.next();
		if (this.batch.length === 0) clock.after(forwardingBatchMs, () => this.sendBatch());
		this.batch.push({ requestId, heartbeat });
		const { machineId } = heartbeat;
		return new Promise((respond) => this.requests.set(requestId, { machineId, sentAt: now, respond }));
	}

	private sendBatch(): void {
		const heartbeats = this.batch;
		this.batch = [];
		if (heartbeats.length === 0) return;
		const { peers, incarnation } = this.options;
		peers.send(this.leader, { kind: "forwarded-heartbeats", term: this.term, incarnation, heartbeats });
	}

	/**
	 * Completes requests with the leader's responses. Responses from any other controller or term are dropped, and so are
	 * those to an earlier process of this node, whose workers wait no more (tests/service/forwarder-restarts.test.ts).
	 */
	handleResponses(from: NodeId, { term, incarnation, responses }: ForwardedResponses): void {
		if (from !== this.leader || term !== this.term) return;
		// A leader of a version up to 0.8.0 names no process. Its responses to an earlier process have other ids.
		if (incarnation !== undefined && incarnation !== this.options.incarnation) {
			const count = responses.length;
			this.options.log.debug({ peer: from, responses: count }, "responses to an earlier process dropped");
			return;
		}
		for (const response of responses) this.completeRequest(from, response);
	}

	private completeRequest(leader: NodeId, { requestId, commands }: ForwardedResponse): void {
		const request = this.requests.get(requestId);
		if (!request) return;
		this.requests.delete(requestId);
		this.logStarts(leader, requestId, request.machineId, commands);
		request.respond(commands);
	}

	private logStarts(
		leader: NodeId,
		requestId: number,
		machineId: MachineId,
		commands: readonly WorkerCommand[] | null,
	): void {
		const taskIds = startedTaskIds(commands);
		if (taskIds.length === 0) return;
		this.options.log.debug({ peer: leader, requestId, machineId, taskIds }, "starts received for a worker");
	}

	/** Abandons all requests after a process pause: their workers have timed out, which is no sign of a broken link. */
	onProcessPause(): void {
		this.abandonAll();
	}

	private abandonAll(): void {
		this.batch = [];
		this.abandonRequests(Number.POSITIVE_INFINITY);
	}

	/** Abandons requests that have timed out. Called ten times a second. */
	tick(): void {
		if (this.requests.size === 0) return;
		const now = this.options.clock.now();
		if (this.abandonRequests(now - responseTimeoutMs)) this.backoffUntil = now + backoffAfterTimeoutMs;
	}

	/** Abandons the requests sent at or before this monotonic time. Returns false if there were none. */
	private abandonRequests(latestSentAt: number): boolean {
		let anyAbandoned = false;
		for (const [requestId, { sentAt, respond }] of this.requests) {
			if (sentAt > latestSentAt) break;
			anyAbandoned = true;
			this.requests.delete(requestId);
			respond(null);
		}
		return anyAbandoned;
	}
}
