import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { ForwardedHeartbeat, ForwardedResponse } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";

/** Reports, and answers, of this long pass between controllers as one message. */
const gatherRelayedMs = 20;
/** A worker waits 4 s for its answer; one that has not come from the leader by then is given up. */
const waitMs = 3000;
/** After that, the link is taken to be broken for this long. */
const pauseMs = 3000;

interface Pending {
	sentAt: number;
	resolve(orders: WorkerCommand[] | null): void;
}

/**
 * Receives workers' reports in the leader's stead and passes them on. It decides nothing
 * and keeps nothing: the leader answers each report, and its answer goes to the worker
 * with the leader's token. To the worker and to the leader it is a slower network.
 */
export class HeartbeatForwarder {
	private leader = "";
	private term = 0;
	private count = 0;
	private pausedUntil = -Infinity;
	private batch: ForwardedHeartbeat[] = [];
	private readonly pending = new Map<number, Pending>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly time: Clock,
	) {}

	/** Whoever waits for an answer of the one before is given up, to be passed on anew. */
	newLeader(leader: string, term: number): void {
		this.leader = leader;
		this.term = term;
		this.pausedUntil = -Infinity;
		this.batch = [];
		this.giveUp(Number.POSITIVE_INFINITY);
	}

	/** null: reports cannot be passed on for now. Otherwise the leader's orders, or null if it may not answer. */
	forward(report: WorkerHeartbeat): Promise<WorkerCommand[] | null> | null {
		const now = this.time.now();
		if (now < this.pausedUntil) return null;
		this.count += 1;
		const number = this.count;
		if (this.batch.length === 0) this.time.after(gatherRelayedMs, () => this.flush());
		this.batch.push({ requestId: number, heartbeat: report });
		return new Promise((resolve) => this.pending.set(number, { sentAt: now, resolve }));
	}

	private flush(): void {
		const reports = this.batch;
		this.batch = [];
		if (reports.length > 0)
			this.peers.send(this.leader, { kind: "forwarded-heartbeats", term: this.term, heartbeats: reports });
	}

	handleResponses(from: string, term: number, answers: ForwardedResponse[]): void {
		if (from !== this.leader || term !== this.term) return;
		for (const { requestId, commands } of answers) {
			this.pending.get(requestId)?.resolve(commands);
			this.pending.delete(requestId);
		}
	}

	/** The process stood still: workers have given up what waits here, and the link to the leader is not to blame. */
	stalled(): void {
		this.batch = [];
		this.giveUp(Number.POSITIVE_INFINITY);
	}

	/** Called often. */
	tick(): void {
		if (this.pending.size === 0) return;
		const now = this.time.now();
		if (this.giveUp(now - waitMs)) this.pausedUntil = now + pauseMs;
	}

	/** The oldest are first in the map. */
	private giveUp(sentBefore: number): boolean {
		let any = false;
		for (const [number, { sentAt, resolve }] of this.pending) {
			if (sentAt > sentBefore) break;
			any = true;
			this.pending.delete(number);
			resolve(null);
		}
		return any;
	}
}

/** Answers of one moment to one relay go together. */
export class ForwardedResponseBatches {
	private readonly batches = new Map<string, { term: number; answers: ForwardedResponse[] }>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly time: Clock,
	) {}

	add(to: string, term: number, response: ForwardedResponse): void {
		const batch = this.batches.get(to);
		if (batch?.term === term) {
			batch.answers.push(response);
			return;
		}
		if (batch) this.send(to);
		this.batches.set(to, { term, answers: [response] });
		this.time.after(gatherRelayedMs, () => this.send(to));
	}

	/** The process stood still: orders that were decided before are out of date. */
	stalled(): void {
		this.batches.clear();
	}

	private send(to: string): void {
		const batch = this.batches.get(to);
		if (!batch) return;
		this.batches.delete(to);
		this.peers.send(to, { kind: "forwarded-responses", term: batch.term, responses: batch.answers });
	}
}
