/** Routes workers' heartbeats to the leader: handles them locally, forwards them or redirects the worker. */

import {
	type FencingToken,
	fencingTokenOf,
	type Incarnation,
	type MachineId,
	type NodeId,
	type Term,
} from "../../protocol/model/identifiers.js";
import { startedTaskIds, type WorkerCommand, type WorkerHeartbeat } from "../../protocol/model/worker.js";
import type {
	ForwardedHeartbeat,
	ForwardedHeartbeats,
	ForwardedResponses,
	LeaderHeartbeat,
	PlacementRequest,
} from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger } from "../ports/peers.js";
import { ForwardedResponseBatches, type ResponseRecipient } from "./forwarded-response-batches.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";

/** A controller's response to a worker's heartbeat. */
export type HeartbeatResponse =
	/** The leader's commands, under its fencing token. */
	| { kind: "commands"; fencingToken: FencingToken; commands: WorkerCommand[] }
	/** The worker must send its heartbeats to another controller; null: it must try the others itself. */
	| { kind: "redirect"; node: NodeId | null };

/** The part of a leader that the router uses. */
export interface HeartbeatHandler {
	/** Applies a heartbeat and returns the response's commands; null: this process may not respond as the leader. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null>;
	/** Returns the controller that forwards the machine's heartbeats; null: the machine sends them to this one. */
	forwarderFor(machineId: MachineId): NodeId | null;
}

/** The leader in this process, with the term in which it is authorized to act. */
export interface ActiveLeader {
	term: Term;
	leader: HeartbeatHandler;
}

/** The dependencies of a controller's router. */
export interface HeartbeatRouterOptions {
	/** This node. */
	node: NodeId;
	/** Identifies this process. */
	incarnation: Incarnation;
	peers: PeerMessenger;
	clock: Clock;
	log: Log;
	/** Returns the leader in this process; null: it does not lead, or may not act. */
	activeLeader(): ActiveLeader | null;
	/** Returns the node in the leader key according to this process's store replica; null: the key is absent. */
	leaderInStore(): NodeId | null;
	/** Sends the leader the number of misdirected workers at this node. */
	reportMisdirectedWorkers(leader: NodeId, term: Term): void;
}

/**
 * Period within which a worker that cannot reach the leader sends about one heartbeat to another controller: it waits
 * 4 s for a response, and 1 s before it tries the next controller.
 */
const misdirectedWindowMs = 6000;

/** Minimum interval between reports of misdirected workers to a leader that most workers cannot reach. */
const misdirectedReportIntervalMs = 100;

/** After this time without a message from the leader, no worker is redirected and no heartbeat is forwarded to it. */
const leaderTimeoutMs = 1200;

/** State of the leader that this process follows, from that leader's messages. */
interface FollowedLeader {
	node: NodeId;
	term: Term;
	/** Monotonic time of its latest message. */
	lastMessageAt: number;
	/** True if it reports that at least half of the workers can reach it. */
	workersReachable: boolean;
	/** True if it requests that heartbeats be forwarded to it. */
	forwardHeartbeats: boolean;
}

/** Owns the state of the leader that this process follows, and of workers whose heartbeats reach it as a follower. */
export class HeartbeatRouter {
	private readonly forwarder: HeartbeatForwarder;
	private readonly responseBatches: ForwardedResponseBatches;
	/** Monotonic time of each machine's latest heartbeat that reached this node while it was not the leader. */
	private readonly misdirectedAt = new Map<MachineId, number>();
	private misdirectedReportedAt = Number.NEGATIVE_INFINITY;
	private followedLeader: FollowedLeader = newFollowedLeader("", 0);

	constructor(private readonly options: HeartbeatRouterOptions) {
		this.forwarder = new HeartbeatForwarder(options);
		this.responseBatches = new ForwardedResponseBatches(options.peers, options.clock);
	}

	/** Returns the response to a worker's heartbeat sent to this node. */
	async handle(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> {
		const active = this.options.activeLeader();
		if (active) {
			const forwarder = active.leader.forwarderFor(heartbeat.machineId);
			if (forwarder !== null) return { kind: "redirect", node: forwarder };
			return responseOf(active.term, await this.handleAsLeader(active, heartbeat));
		}
		const forwarded = this.forward(heartbeat);
		if (forwarded) return forwarded;
		this.recordMisdirected(heartbeat.machineId, this.options.clock.now());
		return { kind: "redirect", node: this.redirectTarget() };
	}

	/**
	 * Handles the heartbeat as the leader; null: this node may not respond, e.g. its authority ended during the hold.
	 */
	private async handleAsLeader(
		{ leader, term }: ActiveLeader,
		heartbeat: WorkerHeartbeat,
	): Promise<WorkerCommand[] | null> {
		const commands = await leader.handleHeartbeat(heartbeat);
		return this.options.activeLeader()?.term === term ? commands : null;
	}

	// --- forwarding ---

	/** Forwards the heartbeat if the leader requests that. Returns null if the worker must be redirected. */
	private forward(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> | null {
		const { term, lastMessageAt, forwardHeartbeats } = this.followedLeader;
		if (!forwardHeartbeats || this.options.clock.now() - lastMessageAt > leaderTimeoutMs) return null;
		// The worker has received a later leader's token, and would drop the response.
		if (heartbeat.fencingToken > fencingTokenOf(term)) return null;
		const commands = this.forwarder.forward(heartbeat);
		return commands && this.forwardedResponse(heartbeat, term, commands);
	}

	private async forwardedResponse(
		heartbeat: WorkerHeartbeat,
		term: Term,
		forwarded: Promise<WorkerCommand[] | null>,
	): Promise<HeartbeatResponse> {
		const commands = await forwarded;
		// The leader has changed. The worker is still waiting, so this is its latest heartbeat and can be routed again.
		if (commands === null && this.followedLeader.term > term) return this.handle(heartbeat);
		return responseOf(term, commands);
	}

	/**
	 * Handles heartbeats that another node has forwarded to this one as the leader. A version up to 0.8.0 names no
	 * process, and its next process uses the same request ids: the response could reach another worker. It is therefore
	 * refused, which any worker may be.
	 */
	handleForwarded(from: NodeId, { term, incarnation, heartbeats }: ForwardedHeartbeats): void {
		const active = this.options.activeLeader();
		const recipient: ResponseRecipient = { node: from, incarnation, term };
		for (const forwarded of heartbeats) {
			if (active?.term === term && incarnation !== undefined)
				void this.respondToForwarded(recipient, active, forwarded);
			else this.responseBatches.add(recipient, { requestId: forwarded.requestId, commands: null });
		}
	}

	private async respondToForwarded(
		recipient: ResponseRecipient,
		active: ActiveLeader,
		{ requestId, heartbeat }: ForwardedHeartbeat,
	): Promise<void> {
		const commands = await this.handleAsLeader(active, heartbeat);
		const taskIds = startedTaskIds(commands);
		const { machineId } = heartbeat;
		if (taskIds.length > 0)
			this.options.log.debug(
				{ peer: recipient.node, requestId, machineId, taskIds },
				"starts sent to a forwarder",
			);
		this.responseBatches.add(recipient, { requestId, commands });
	}

	/** Handles the leader's responses to heartbeats that this node has forwarded. */
	handleForwardedResponses(from: NodeId, message: ForwardedResponses): void {
		this.forwarder.handleResponses(from, message);
	}

	// --- misdirected workers ---

	private recordMisdirected(machineId: MachineId, now: number): void {
		this.misdirectedAt.set(machineId, now);
		const { node, term, workersReachable } = this.followedLeader;
		if (workersReachable || now - this.misdirectedReportedAt < misdirectedReportIntervalMs) return;
		this.misdirectedReportedAt = now;
		this.options.reportMisdirectedWorkers(node, term);
	}

	/** Returns the number of workers that have sent this follower a heartbeat within `misdirectedWindowMs`. */
	countMisdirectedWorkers(): number {
		const windowStart = this.options.clock.now() - misdirectedWindowMs;
		for (const [machineId, receivedAt] of this.misdirectedAt)
			if (receivedAt < windowStart) this.misdirectedAt.delete(machineId);
		return this.misdirectedAt.size;
	}

	/**
	 * Returns the leader if a worker can be redirected to it. The leader key outlives a crashed leader, and a worker
	 * redirected there would wait for its timeout while the next leader needs a heartbeat from every machine. So a
	 * leader that has stopped sending messages is not a target, nor one that reports that workers cannot reach it
	 * (trace 31).
	 */
	private redirectTarget(): NodeId | null {
		const leader = this.options.leaderInStore();
		if (leader === null || leader === this.options.node) return null;
		const { node, lastMessageAt, workersReachable } = this.followedLeader;
		const recentlyActive = node === leader && this.options.clock.now() - lastMessageAt <= leaderTimeoutMs;
		return recentlyActive && workersReachable ? leader : null;
	}

	// --- the leader that this process follows ---

	/** Handles a leader's message received at the monotonic time `now`. Late copies of earlier terms are ignored. */
	onLeaderMessage(from: NodeId, message: LeaderHeartbeat | PlacementRequest, now: number): void {
		const { term } = message;
		if (term < this.followedLeader.term) return;
		if (term > this.followedLeader.term) this.forwarder.followLeader(from, term);
		const { workersReachable, forwardHeartbeats } =
			message.kind === "leader-heartbeat" ? message : this.followedLeader;
		this.followedLeader = { node: from, term, lastMessageAt: now, workersReachable, forwardHeartbeats };
	}

	/** Records this node as the leader of the term. */
	startLeading(term: Term): void {
		this.followedLeader = newFollowedLeader(this.options.node, term);
		this.forwarder.followLeader(this.options.node, term);
	}

	/** Discards forwarded heartbeats and batched responses after a process pause, since they are out of date. */
	onProcessPause(): void {
		this.forwarder.onProcessPause();
		this.responseBatches.onProcessPause();
	}

	/** Called ten times a second. */
	tick(): void {
		this.forwarder.tick();
	}
}

/** Returns the state of a leader that has not sent a message yet. */
function newFollowedLeader(node: NodeId, term: Term): FollowedLeader {
	return {
		node,
		term,
		lastMessageAt: Number.NEGATIVE_INFINITY,
		workersReachable: true,
		forwardHeartbeats: false,
	};
}

/** Returns the response of the term's leader. If it may not respond, the worker must try another controller. */
function responseOf(term: Term, commands: WorkerCommand[] | null): HeartbeatResponse {
	if (commands === null) return { kind: "redirect", node: null };
	return { kind: "commands", fencingToken: fencingTokenOf(term), commands };
}
