/** Brings each worker's heartbeat to the leader: here, by forwarding it, or by redirecting the worker. */

import {
	type FencingToken,
	fencingTokenOf,
	type MachineId,
	type NodeId,
	type Term,
} from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type {
	ForwardedHeartbeat,
	ForwardedHeartbeats,
	ForwardedResponses,
	LeaderHeartbeat,
	PlacementRequest,
} from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";
import { ForwardedResponseBatches } from "./forwarded-response-batches.js";
import { HeartbeatForwarder } from "./heartbeat-forwarder.js";

/** What a controller tells a worker that has sent a heartbeat. */
export type HeartbeatResponse =
	/** The leader's commands, under its fencing token. */
	| { kind: "commands"; fencingToken: FencingToken; commands: WorkerCommand[] }
	/** Another controller receives the worker's heartbeats; null: not known which. */
	| { kind: "redirect"; node: NodeId | null };

/** What the router needs of a leader. */
export interface HeartbeatHandler {
	/** Takes over a heartbeat and answers it; null: this process may not answer for the controllers. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null>;
	/** The controller that receives the machine's heartbeats; null: this one. */
	forwarderFor(machineId: MachineId): NodeId | null;
}

/** The leader of a term, as far as this process acts for it. */
export interface ActiveLeader {
	term: Term;
	leader: HeartbeatHandler;
}

/** What the router of a process works with. */
export interface HeartbeatRouterOptions {
	/** This node. */
	self: NodeId;
	peers: PeerMessenger;
	clock: Clock;
	/** The leader in this process; null: it does not lead, or may not act. */
	activeLeader(): ActiveLeader | null;
	/** The node in the leader key, as this process's replica of the store has it; null: there is none. */
	leaderInStore(): NodeId | null;
	/** Tells the leader how many misdirected workers turn to this node. */
	reportMisdirectedWorkers(leader: NodeId, term: Term): void;
}

/**
 * A worker that cannot reach the leader comes to another controller about once in this time: it waits 4 s for a
 * response, and a second before it tries the next.
 */
const misdirectedWindowMs = 6000;

/** Least time between two reports of misdirected workers to a leader that most workers do not reach. */
const misdirectedReportIntervalMs = 100;

/** A leader unheard for longer than this is not named to workers, and gets no heartbeats forwarded. */
const leaderSilenceMs = 1200;

/** What this process knows of the leader that it follows. */
interface FollowedLeader {
	node: NodeId;
	term: Term;
	/** Steady time of its latest message. */
	heardAt: number;
	/** It says that most workers reach it. */
	workersReachable: boolean;
	/** It wants heartbeats forwarded to it. */
	forwardHeartbeats: boolean;
}

/** Owns which leader this process follows, and the workers that come to it though it does not lead. */
export class HeartbeatRouter {
	private readonly forwarder: HeartbeatForwarder;
	private readonly responses: ForwardedResponseBatches;
	/** Steady time of the latest heartbeat of each machine that came here though this node does not lead. */
	private readonly misdirected = new Map<MachineId, number>();
	private misdirectedReportedAt = Number.NEGATIVE_INFINITY;
	private followed: FollowedLeader = newLeader("", 0);

	constructor(private readonly options: HeartbeatRouterOptions) {
		this.forwarder = new HeartbeatForwarder(options.peers, options.clock);
		this.responses = new ForwardedResponseBatches(options.peers, options.clock);
	}

	/** Answers a worker's heartbeat that has come to this node. */
	async handle(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> {
		const active = this.options.activeLeader();
		if (active) {
			const forwarder = active.leader.forwarderFor(heartbeat.machineId);
			if (forwarder !== null) return { kind: "redirect", node: forwarder };
			return responseOf(active.term, await this.askLeader(active, heartbeat));
		}
		const forwarded = this.forward(heartbeat);
		if (forwarded) return forwarded;
		this.noteMisdirected(heartbeat.machineId, this.options.clock.now());
		return { kind: "redirect", node: this.redirectTarget() };
	}

	/** null: this node may not answer. Authority may have ended while the response was held. */
	private async askLeader(
		{ leader, term }: ActiveLeader,
		heartbeat: WorkerHeartbeat,
	): Promise<WorkerCommand[] | null> {
		const commands = await leader.handleHeartbeat(heartbeat);
		return this.options.activeLeader()?.term === term ? commands : null;
	}

	// --- forwarding ---

	/** Forwards the heartbeat, where the leader wants that; null: the worker must be redirected. */
	private forward(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> | null {
		const { term, heardAt, forwardHeartbeats } = this.followed;
		if (!forwardHeartbeats || this.options.clock.now() - heardAt > leaderSilenceMs) return null;
		// The worker has seen a later leader, and would drop the response.
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
		// Where the leader has changed while the worker waits, this is still its latest heartbeat.
		if (commands === null && this.followed.term > term) return this.handle(heartbeat);
		return responseOf(term, commands);
	}

	/** Heartbeats that another node forwards to this one as the leader. */
	handleForwarded(from: NodeId, { term, heartbeats }: ForwardedHeartbeats): void {
		const active = this.options.activeLeader();
		for (const forwarded of heartbeats) {
			if (active?.term === term) void this.answerForwarded(from, active, forwarded);
			else this.responses.add(from, term, { requestId: forwarded.requestId, commands: null });
		}
	}

	private async answerForwarded(
		from: NodeId,
		active: ActiveLeader,
		{ requestId, heartbeat }: ForwardedHeartbeat,
	): Promise<void> {
		const commands = await this.askLeader(active, heartbeat);
		this.responses.add(from, active.term, { requestId, commands });
	}

	/** The leader's responses to heartbeats that this node has forwarded. */
	handleForwardedResponses(from: NodeId, { term, responses }: ForwardedResponses): void {
		this.forwarder.handleResponses(from, term, responses);
	}

	// --- misdirected workers ---

	private noteMisdirected(machineId: MachineId, now: number): void {
		this.misdirected.set(machineId, now);
		const { node, term, workersReachable } = this.followed;
		if (workersReachable || now - this.misdirectedReportedAt < misdirectedReportIntervalMs) return;
		this.misdirectedReportedAt = now;
		this.options.reportMisdirectedWorkers(node, term);
	}

	/** Workers whose heartbeats have come here lately though this node does not lead. */
	countMisdirectedWorkers(): number {
		const since = this.options.clock.now() - misdirectedWindowMs;
		for (const [machineId, at] of this.misdirected) if (at < since) this.misdirected.delete(machineId);
		return this.misdirected.size;
	}

	/**
	 * The leader, if a worker can be sent there. The leader key outlives a leader that crashed, and a worker sent
	 * to that one would hang there while the next leader waits to hear of every machine. So a silent leader is not
	 * named, nor one that says itself that workers do not reach it (trace 31).
	 */
	private redirectTarget(): NodeId | null {
		const leader = this.options.leaderInStore();
		if (leader === null || leader === this.options.self) return null;
		const { node, heardAt, workersReachable } = this.followed;
		const heard = node === leader && this.options.clock.now() - heardAt <= leaderSilenceMs;
		return heard && workersReachable ? leader : null;
	}

	// --- the leader that this process follows ---

	/** A leader was heard at the steady time `now`. A late copy of an earlier leader's message tells nothing of now. */
	noteLeader(from: NodeId, message: LeaderHeartbeat | PlacementRequest, now: number): void {
		const { term } = message;
		if (term < this.followed.term) return;
		if (term > this.followed.term) this.forwarder.followLeader(from, term);
		const { workersReachable, forwardHeartbeats } =
			message.kind === "leader-heartbeat" ? message : this.followed;
		this.followed = { node: from, term, heardAt: now, workersReachable, forwardHeartbeats };
	}

	/** This node leads from now on. */
	startLeading(term: Term): void {
		this.followed = newLeader(this.options.self, term);
		this.forwarder.followLeader(this.options.self, term);
	}

	/** The process stood still: what was under way is out of date. */
	onProcessPause(): void {
		this.forwarder.onProcessPause();
		this.responses.onProcessPause();
	}

	/** Called ten times a second. */
	tick(): void {
		this.forwarder.tick();
	}
}

/** A leader of which nothing was heard yet. */
function newLeader(node: NodeId, term: Term): FollowedLeader {
	return {
		node,
		term,
		heardAt: Number.NEGATIVE_INFINITY,
		workersReachable: true,
		forwardHeartbeats: false,
	};
}

/** The response of the term's leader; null: it may not answer, so the worker is to try another controller. */
function responseOf(term: Term, commands: WorkerCommand[] | null): HeartbeatResponse {
	if (commands === null) return { kind: "redirect", node: null };
	return { kind: "commands", fencingToken: fencingTokenOf(term), commands };
}
