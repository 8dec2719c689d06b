/**
 * One controller process of the test of simultaneous admissions: it uses the real leadership, store client
 * and links to the other controllers, and only team quota enforces limits. The parent process acts as the
 * workers.
 */

import { type AllotmentManager, type Amount, QuotaParticipant } from "#team-quota";
import { Leadership } from "../../src/coordination/leadership/leadership.js";
import type { Clock } from "../../src/coordination/ports/clock.js";
import type { Uint64 } from "../../src/protocol/model/uint64.js";
import { decodePeerMessage, encodePeerMessage } from "../../src/protocol/peer/codec.js";
import type { LeadershipMessage } from "../../src/protocol/peer/messages.js";
import { quotaStore } from "../../src/team-quota.js";
import { HttpClient } from "../../src/transport/clients/http-client.js";
import { StoreClient } from "../../src/transport/clients/store-client.js";
import { PeerLinks } from "../../src/transport/peers/peer-links.js";
import { silentLog } from "./silent-log.js";

export interface NodeConfig {
	node: string;
	incarnation: string;
	peerPort: number;
	others: { node: string; domain: string; addr: string }[];
	stateAddress: string;
	teams: [string, { limit: Amount; guarantee: Amount }][];
	/** Rate of the node's monotonic clock, relative to the host's. */
	clockRate: number;
	generatesLoad: boolean;
	leaderOnlyAdmits: boolean;
}

export interface QuotaTask {
	id: string;
	team: string;
	size: Amount;
	runMs: number;
	admittedAt: number;
}

export type NodeMessage =
	| { kind: "admitted"; task: QuotaTask; voidAt: number }
	| { kind: "void"; ids: string[]; at: number }
	| { kind: "waited"; ms: number }
	| { kind: "refused"; team: string; size: Amount; at: number }
	| { kind: "start"; term: Uint64; task: QuotaTask }
	| { kind: "leads"; term: Uint64; at: number };
export type ParentMessage =
	| { kind: "ended"; id: string }
	| { kind: "running"; term: Uint64; tasks: QuotaTask[] }
	/** The admission has to start at the time `at` of the host's clock, which all nodes share. */
	| { kind: "admit"; team: string; size: Amount; runMs: number; at: number };

type QuotaPeerMessage =
	| { kind: "terms"; epoch: Uint64; terms: unknown }
	| { kind: "propose"; epoch: Uint64; reply: unknown; tasks: QuotaTask[] };

/** Returns the host's monotonic time in milliseconds, the same for all processes on the host. */
export function hostClockMs(): number {
	return Number(process.hrtime.bigint()) / 1e6;
}

class QuotaNode {
	private readonly participant: QuotaParticipant;
	private readonly leadership: Leadership;
	private readonly links: PeerLinks;
	private readonly store: StoreClient;
	private manager: AllotmentManager | null = null;
	private readonly charges = new Map<string, ReturnType<AllotmentManager["chargeUnattributed"]>>();
	private readonly sentBatches = new Map<string, number>();
	private term: Uint64 = 0;
	private leaderNode = "";
	private leader: { value: { node: string; incarnation: string }; revision: Uint64 } | null = null;
	private storeLoaded = false;
	private requestedTasks = 0;
	private readonly waitingSince = new Map<string, number>();

	private readonly time: Clock = {
		now: () => performance.now() * this.config.clockRate,
		date: () => new Date(),
		after: (ms, run) => {
			const timer = setTimeout(run, ms);
			return { cancel: () => clearTimeout(timer) };
		},
	};

	constructor(private readonly config: NodeConfig) {
		const { node, incarnation, others, teams } = config;
		this.links = new PeerLinks({
			localNode: node,
			peers: others,
			onMessage: (from, message) => this.handlePeerMessage(from, message as QuotaPeerMessage),
			log: silentLog,
		});
		this.store = new StoreClient({
			http: new HttpClient(config.stateAddress, 10),
			clock: this.time,
			requestsPerS: 1e6,
			writesPerS: 1e6,
			controllers: 1,
		});
		this.participant = new QuotaParticipant({
			node,
			incarnation,
			nodes: [node, ...others.map((other) => other.node)].sort(),
			teams: new Map(teams),
			settings: { expiryMs: 500, marginMs: 30, movePauseMs: 20 },
			keyPrefix: "r/quota/",
			maxValueBytes: 8000,
			maxChangesPerTransaction: 8,
			store: quotaStore(this.store),
			now: () => this.time.now(),
			date: Date.now,
			post: (command) => command(),
			log: silentLog,
		});
		const broadcast = (message: LeadershipMessage) => {
			for (const other of others) this.links.send(other.node, encodePeerMessage(message));
		};
		this.leadership = new Leadership({
			node,
			incarnation,
			otherControllers: others.map((other) => other.node),
			settings: { leaseTtlMs: 800, marginMs: 50, maxCancellationStalenessMs: 60_000 },
			store: this.store,
			clock: this.time,
			log: silentLog,
			post: (action) => action(),
			jitter: () => Math.random(),
			broadcast,
			onElected: (term) => this.sendToParent({ kind: "leads", term, at: hostClockMs() }),
			onLeadershipLost: () => this.endTerm(),
			cancellations: {
				syncedAt: () => this.time.now(),
				replicaRevision: () => 0,
				since: () => [],
				record() {},
			},
		});
	}

	async start(): Promise<void> {
		await this.links.listen("127.0.0.1", this.config.peerPort);
		process.on("disconnect", () => process.exit(0));
		process.on("message", (message) => this.handleParentMessage(message as ParentMessage));
		setInterval(() => this.tick(), 10);
		for (;;) await this.watchStore().catch(() => new Promise((resolve) => setTimeout(resolve, 50)));
	}

	private sendToParent(message: NodeMessage): void {
		process.send?.(message);
	}

	// --- the store ---

	private async watchStore(): Promise<void> {
		const { rows, revision } = await this.store.readPrefix("r/");
		for (const row of rows) this.applyStoredValue(row.key, row.value, row.revision);
		this.storeLoaded = true;
		for (let from = revision; ; ) {
			const answer = await this.store.watch("r/", from, 500);
			for (const event of answer.events) this.applyStoredValue(event.key, event.value, event.revision);
			from = answer.revision;
		}
	}

	private applyStoredValue(key: string, value: unknown, revision: Uint64): void {
		if (key.startsWith("r/quota/")) this.participant.applyStoredValue(key, value, revision);
		if (key !== "r/one/leader") return;
		this.leader =
			value === undefined ? null : { value: value as { node: string; incarnation: string }, revision };
		this.leaderNode = this.leader?.value.node ?? "";
	}

	// --- as the leader ---

	private endTerm(): void {
		this.participant.endTerm();
		this.manager = null;
		this.charges.clear();
	}

	private tick(): void {
		this.leadership.tick(this.leader, this.storeLoaded);
		const term = this.leadership.authorizedTerm();
		if (term === null) this.sendProposal([]);
		else if (this.manager) this.runLeaderTick(this.manager, term);
		if (this.config.generatesLoad) for (let i = 0; i < 3; i++) this.admitRandomTask();
	}

	private runLeaderTick(manager: AllotmentManager, term: Uint64): void {
		manager.tick();
		for (const other of this.config.others) {
			const update = manager.nextUpdate(other.node);
			if (update) this.links.send(other.node, { kind: "terms", epoch: term, terms: update });
		}
	}

	private handleParentMessage(message: ParentMessage): void {
		if (message.kind === "ended") {
			const charge = this.charges.get(message.id);
			this.charges.delete(message.id);
			if (charge) this.manager?.charges.release(charge);
		} else if (message.kind === "admit") {
			// Busy-waits until the exact time, so that all nodes request within the same millisecond.
			while (hostClockMs() < message.at);
			this.admit(message);
		} else if (this.leadership.authorizedTerm() === message.term) {
			const manager = this.participant.beginTerm({ key: "r/one/leader", revision: message.term });
			this.manager = manager;
			this.dropAdmissions([...this.sentBatches.keys()]);
			for (const { id, team, size } of message.tasks)
				this.charges.set(id, manager.chargeUnattributed(team, size));
			manager.start();
		}
	}

	private handlePeerMessage(from: string, message: QuotaPeerMessage): void {
		if (message.kind === "terms") this.applyAllotmentUpdate(message.epoch, message.terms);
		else if (message.kind === "propose") this.handleProposal(from, message.reply, message.tasks);
		else {
			const parsed = decodePeerMessage(message);
			if (
				parsed.kind === "lease-extension-request" ||
				parsed.kind === "lease-extension-vote" ||
				parsed.kind === "leader-query" ||
				parsed.kind === "leader-query-reply"
			)
				this.leadership.handleMessage(from, parsed);
		}
	}

	private handleProposal(from: string, reply: unknown, tasks: QuotaTask[]): void {
		const accepted = this.participant.handleReply(from, reply);
		const term = this.leadership.authorizedTerm();
		if (term === null || !this.manager || !accepted) return;
		for (const task of tasks)
			if (this.mayStart(this.manager, from, task)) this.startTask(this.manager, term, from, task);
	}

	private mayStart(manager: AllotmentManager, node: string, { team, size }: QuotaTask): boolean {
		if (!this.config.leaderOnlyAdmits) return manager.mayStart(node, team, size);
		const limit = new Map(this.config.teams).get(team)?.limit;
		const used = manager.charges.teamTotal(team);
		return limit !== undefined && used.cpus + size.cpus <= limit.cpus && used.gpus + size.gpus <= limit.gpus;
	}

	private startTask(manager: AllotmentManager, term: Uint64, node: string, task: QuotaTask): void {
		this.charges.set(task.id, manager.charges.add(task.team, node, task.size));
		this.sendToParent({ kind: "start", term, task });
	}

	// --- as a holder ---

	private applyAllotmentUpdate(term: Uint64, update: unknown): void {
		this.participant.applyAllotmentUpdate(term, update);
		const { settledBatch, incarnation } = update as { settledBatch: number; incarnation: string };
		if (incarnation !== this.config.incarnation || term < this.term) return;
		const isNewTerm = term > this.term;
		this.term = term;
		this.dropAdmissions(
			[...this.sentBatches].filter(([, batch]) => isNewTerm || batch <= settledBatch).map(([id]) => id),
		);
	}

	private dropAdmissions(ids: string[]): void {
		for (const id of ids) this.sentBatches.delete(id);
		if (ids.length > 0) this.sendToParent({ kind: "void", ids, at: hostClockMs() });
	}

	private admitRandomTask(): void {
		const [team] = this.config.teams[Math.floor(Math.random() * this.config.teams.length)] ?? [""];
		const gpus = Math.random() < 0.3 ? 1000 : 0;
		const size = { cpus: Math.random() < 0.5 ? 1000 : 500, gpus };
		this.admit({ team, size, runMs: 5 + Math.random() * 40 });
	}

	private admit({ team, size, runMs }: { team: string; size: Amount; runMs: number }): void {
		this.requestedTasks += 1;
		const id = `${this.config.incarnation}.${this.requestedTasks}`;
		const task = { id, team, size, runMs, admittedAt: hostClockMs() };
		const term = this.leadership.authorizedTerm();
		const requestedAmount = { cpus: size.cpus * 4, gpus: size.gpus * 4 };
		if (term !== null) {
			this.manager?.setRequestedAmount(this.config.node, team, requestedAmount);
			if (!this.manager || !this.mayStart(this.manager, this.config.node, task)) {
				this.recordWaitStart(team);
				return;
			}
			this.sendToParent({ kind: "admitted", task, voidAt: Number.POSITIVE_INFINITY });
			this.reportWait(team);
			this.startTask(this.manager, term, this.config.node, task);
			return;
		}
		if (this.config.leaderOnlyAdmits) {
			this.participant.closeBatch();
			this.sendProposal([task]);
			return;
		}
		const admission = this.participant.admit(team, size);
		if (admission.kind === "refused") {
			if (admission.reason === "team at its limit")
				this.sendToParent({ kind: "refused", team, size, at: task.admittedAt });
			this.recordWaitStart(team);
			this.sendProposal([], [{ team, amount: requestedAmount }]);
			return;
		}
		const validMs = (this.participant.validUntil - this.time.now()) / this.config.clockRate;
		const voidAt = validMs > 0 ? task.admittedAt + validMs : Number.POSITIVE_INFINITY;
		this.sendToParent({ kind: "admitted", task, voidAt });
		this.reportWait(team);
		this.sentBatches.set(id, this.participant.closeBatch());
		this.sendProposal([task], [{ team, amount: requestedAmount }]);
	}

	private recordWaitStart(team: string): void {
		if (!this.waitingSince.has(team)) this.waitingSince.set(team, hostClockMs());
	}

	private reportWait(team: string): void {
		const since = this.waitingSince.get(team);
		this.sendToParent({ kind: "waited", ms: since === undefined ? 0 : hostClockMs() - since });
		this.waitingSince.delete(team);
	}

	private sendProposal(tasks: QuotaTask[], requested?: { team: string; amount: Amount }[]): void {
		if (this.leaderNode === "" || this.leaderNode === this.config.node) return;
		this.links.send(this.leaderNode, {
			kind: "propose",
			epoch: this.term,
			reply: this.participant.reply(requested),
			tasks,
		});
	}
}

if (process.send && process.argv[2]) {
	new QuotaNode(JSON.parse(process.argv[2]) as NodeConfig).start();
}
