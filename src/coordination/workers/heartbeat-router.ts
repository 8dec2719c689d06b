import { type FencingToken, fencingTokenOf, type NodeId } from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type {
	ForwardedHeartbeats,
	ForwardedResponses,
	LeaderHeartbeat,
	PlacementRequest,
} from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";
import { ForwardedResponseBatches, HeartbeatForwarder } from "./heartbeat-forwarding.js";

/** What a controller tells a worker that has sent a heartbeat. */
export type HeartbeatResponse =
	/** The leader's commands, under its fencing token. */
	| { kind: "commands"; fencingToken: FencingToken; commands: WorkerCommand[] }
	/** Another controller receives the worker's heartbeats; null: not known which. */
	| { kind: "redirect"; node: NodeId | null };

/**
 * A worker that cannot reach the leader tries another node about once in this time: it waits
 * 4 s for an answer and a second before the next.
 */
const redirectedMs = 6000;

/** What the router needs of a leader. */
export interface HeartbeatHandler {
	/** null: this process may not answer for the controllers. */
	handleHeartbeat(report: WorkerHeartbeat): Promise<WorkerCommand[] | null>;
	/** The controller that receives the machine's heartbeats, or null for this one. */
	forwarderFor(machine: string): string | null;
}

/** The leader of a term, as far as this process acts for it. */
export interface ActiveLeader {
	term: number;
	leader: HeartbeatHandler;
}

export interface HeartbeatRouterOptions {
	/** This node. */
	self: string;
	peers: PeerMessenger;
	time: Clock;
	/** null: this process does not lead, or may not act. */
	active(): ActiveLeader | null;
	/** The node in the leader's key, as this process's copy of the store has it. */
	leaderInStore(): string | null;
	/** Tells the leader how many workers turn to this node. */
	tellUnexpected(leader: string, term: number): void;
}

/** A leader unheard for longer than this is not named to workers, and gets no reports passed on. */
const leaderSilentMs = 1200;
const unexpectedTellMs = 100;

interface HeardLeader {
	node: string;
	term: number;
	/** Steady time. */
	at: number;
	/** Most workers reach it. */
	hearing: boolean;
	/** It wants reports passed on to it. */
	relay: boolean;
}

/** Brings each worker's report to the leader: here, by passing it on, or by naming another node. */
export class HeartbeatRouter {
	private readonly relay: HeartbeatForwarder;
	private readonly answers: ForwardedResponseBatches;
	/** Machines that reported here lately though this node does not lead, and when. */
	private readonly unexpectedReports = new Map<string, number>();
	private unexpectedToldAt = -Infinity;
	private leaderHeard: HeardLeader = { node: "", term: 0, at: -Infinity, hearing: true, relay: false };

	constructor(private readonly options: HeartbeatRouterOptions) {
		this.relay = new HeartbeatForwarder(options.peers, options.time);
		this.answers = new ForwardedResponseBatches(options.peers, options.time);
	}

	async handle(report: WorkerHeartbeat): Promise<HeartbeatResponse> {
		const active = this.options.active();
		if (active) {
			const relay = active.leader.forwarderFor(report.machineId);
			if (relay !== null) return { kind: "redirect", node: relay };
			const orders = await this.answerTo(active, report);
			return orders
				? { kind: "commands", fencingToken: fencingTokenOf(active.term), commands: orders }
				: { kind: "redirect", node: null };
		}
		const passedOn = this.passOn(report);
		if (passedOn) return passedOn;
		this.noteUnexpected(report.machineId, this.options.time.now());
		return { kind: "redirect", node: this.redirectTarget() };
	}

	private noteUnexpected(machine: string, now: number): void {
		this.unexpectedReports.set(machine, now);
		const { node, term, hearing } = this.leaderHeard;
		if (hearing || now - this.unexpectedToldAt < unexpectedTellMs) return;
		this.unexpectedToldAt = now;
		this.options.tellUnexpected(node, term);
	}

	/** null: this node may not answer. */
	private async answerTo(
		{ leader, term }: ActiveLeader,
		report: WorkerHeartbeat,
	): Promise<WorkerCommand[] | null> {
		const orders = await leader.handleHeartbeat(report);
		// Authority may have ended while the answer waited for places to be filled.
		return this.options.active()?.term === term ? orders : null;
	}

	/** Where the leader wants reports passed on, the worker need not know who leads. */
	private passOn(report: WorkerHeartbeat): Promise<HeartbeatResponse> | null {
		const { term, at, relay } = this.leaderHeard;
		if (!relay || report.fencingToken > term || this.options.time.now() - at > leaderSilentMs) return null;
		const taken = this.relay.forward(report);
		if (!taken) return null;
		return taken.then((orders) => {
			if (orders) return { kind: "commands", fencingToken: fencingTokenOf(term), commands: orders };
			// The leader has changed while the worker waits: this is still its latest report.
			return this.leaderHeard.term > term ? this.handle(report) : { kind: "redirect", node: null };
		});
	}

	/** Reports that another node passes on to this one as the leader. */
	relayed(from: string, { term, heartbeats: reports }: ForwardedHeartbeats): void {
		const active = this.options.active();
		for (const { requestId, heartbeat } of reports) {
			if (active?.term !== term) this.answers.add(from, term, { requestId, commands: null });
			else
				this.answerTo(active, heartbeat).then((commands) =>
					this.answers.add(from, term, { requestId, commands }),
				);
		}
	}

	answered(from: string, { term, responses }: ForwardedResponses): void {
		this.relay.handleResponses(from, term, responses);
	}

	countUnexpected(): number {
		const from = this.options.time.now() - redirectedMs;
		for (const [machine, at] of this.unexpectedReports) if (at < from) this.unexpectedReports.delete(machine);
		return this.unexpectedReports.size;
	}

	/**
	 * The leader's key outlives a leader that crashed. A worker sent to it would hang there
	 * while the next one waits to hear of every machine, so a silent leader is not named,
	 * nor one that says itself that workers do not reach it.
	 */
	private redirectTarget(): string | null {
		const leader = this.options.leaderInStore();
		if (leader === null || leader === this.options.self) return null;
		const { node, at, hearing } = this.leaderHeard;
		return hearing && node === leader && this.options.time.now() - at <= leaderSilentMs ? leader : null;
	}

	/** A late copy from an earlier leader tells nothing of now. */
	noteLeader(from: string, message: LeaderHeartbeat | PlacementRequest, at: number): void {
		const { term } = message;
		if (term < this.leaderHeard.term) return;
		if (term > this.leaderHeard.term) this.relay.newLeader(from, term);
		const { hearing, relay } =
			message.kind === "leader-heartbeat"
				? { hearing: message.workersReachable, relay: message.forwardHeartbeats }
				: this.leaderHeard;
		this.leaderHeard = { node: from, term, at, hearing, relay };
	}

	/** This node leads from now on. */
	leads(term: number): void {
		this.leaderHeard = { node: this.options.self, term, at: -Infinity, hearing: true, relay: false };
		this.relay.newLeader(this.options.self, term);
	}

	stalled(): void {
		this.relay.stalled();
		this.answers.stalled();
	}

	tick(): void {
		this.relay.tick();
	}
}
