import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { TeamLimits } from "../bookkeeping/quota-ledger.js";
import { StoreReplica } from "../bookkeeping/store-replica.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";
import type {
	LeaderHeartbeat,
	LeaderHeartbeatReply,
	PeerMessage,
	PlacementProposal,
	PlacementRequest,
} from "../protocol/peer/messages.js";
import { encodeFinalRecord } from "../protocol/records/final-record.js";
import { keys } from "../protocol/records/keys.js";
import type { OperatorSettings } from "../protocol/settings/operator.js";
import type { PlatformSettings } from "../protocol/settings/platform.js";
import { MachineTypeCatalog } from "./fleet/machine-type-catalog.js";
import { JobService } from "./jobs/job-service.js";
import { Leader, tickMs } from "./leader.js";
import { maxCancellationStalenessMs } from "./leadership/cancellation-staleness.js";
import { Leadership } from "./leadership/leadership.js";
import { PeerChannel } from "./leadership/peer-channel.js";
import type { ResignationReason } from "./leadership/resignation-reason.js";
import { placeWithinAllotments } from "./placement/admitted-placement.js";
import { placeFirstFit } from "./placement/first-fit.js";
import type { Clock } from "./ports/clock.js";
import type { CloudProvider } from "./ports/cloud.js";
import type { Log } from "./ports/log.js";
import type { PeerTransport } from "./ports/peers.js";
import type { KeyValueStore } from "./ports/store.js";
import type { TeamQuotaPort } from "./ports/team-quota.js";
import type { WorkerGateway } from "./ports/workers.js";
import { ReplicaSync } from "./replication/replica-sync.js";
import { PauseDetector } from "./runtime/pause-detector.js";
import { SerialExecutor } from "./runtime/serial-executor.js";
import { type ActiveLeader, type HeartbeatResponse, HeartbeatRouter } from "./workers/heartbeat-router.js";

export interface ControllerPorts {
	store: KeyValueStore;
	cloud: CloudProvider;
	workers: WorkerGateway;
	peers: PeerTransport;
	clock: Clock;
	log: Log;
	random: RandomGenerator;
	schedule(run: () => void): void;
	/** Team quota, made for this process; null: it is off. */
	teamQuota?(post: (command: () => void) => void): TeamQuotaPort | null;
}

/** Others unheard for this long are taken to be out of reach. */
const isolatedMs = 3000;

/** One controller: the owner of its process's state. */
export class Controller {
	readonly executor: SerialExecutor;
	readonly replica: StoreReplica;
	readonly jobs: JobService;
	private readonly replicaSync: ReplicaSync;
	private readonly leadership: Leadership;
	private leader: Leader | null = null;
	private starting: number | null = null;
	private stopped = false;
	private running = new Map<string, number>();
	/** Steady time of the last word of any other controller, and of the last that the store answers it. */
	private peerHeardAt = -Infinity;
	private othersServedAt = -Infinity;
	private readonly heartbeatRouter: HeartbeatRouter;
	private readonly peers: PeerChannel;
	private readonly machineTypes: MachineTypeCatalog;
	private readonly teamQuota: TeamQuotaPort | null;

	constructor(
		private readonly platform: PlatformSettings,
		private readonly settings: OperatorSettings,
		private readonly incarnation: string,
		private readonly ports: ControllerPorts,
	) {
		const { store, clock: time, log } = ports;
		this.peers = new PeerChannel(ports.peers, log);
		this.executor = new SerialExecutor(ports.schedule, (error) =>
			log.error(
				{ err: error instanceof Error ? (error.stack ?? error.message) : String(error) },
				"state action failed",
			),
		);
		const post = (command: () => void) => this.executor.post(command);
		this.replica = new StoreReplica(
			(key, error) => log.error({ key, err: error.message }, "malformed value in the store"),
			platform.cluster.state.write_rps,
		);
		this.teamQuota = ports.teamQuota?.(post) ?? null;
		this.replicaSync = new ReplicaSync({ replica: this.replica, store, clock: time, post, log });
		this.leadership = new Leadership({
			node: platform.node,
			incarnation,
			others: platform.others.map((other) => other.node),
			settings: {
				leaseTtlMs: settings.leadership.ttl_s * 1000,
				marginMs: settings.leadership.margin_s * 1000,
				maxCancellationStalenessMs: maxCancellationStalenessMs(platform),
			},
			store,
			clock: time,
			log,
			post,
			jitter: () => uniformInt(ports.random, 0, 999) / 1000,
			broadcast: (message) => {
				for (const other of platform.others) this.peers.send(other.node, message);
			},
			onElected: (term) => this.won(term),
			onLeadershipLost: (term, reason) => this.lost(term, reason),
			cancellations: {
				syncedAt: () => this.replicaSync.syncedAt,
				revision: () => this.replica.revision,
				since: (revision) =>
					this.replica.cancellationsSince(revision)?.map(({ jobId: id, record, revision: at }) => ({
						jobId: id,
						revision: at,
						taskCount: record.taskCount,
						doneCount: record.doneCount,
					})) ?? null,
				record: (cancelled) => {
					for (const { jobId, revision, taskCount, doneCount } of cancelled)
						this.replica.applyOwnWrite(
							keys.final(jobId),
							encodeFinalRecord({ status: "cancelled", taskCount, doneCount }),
							revision,
						);
				},
			},
		});
		this.jobs = new JobService(
			this.replica,
			this.replicaSync,
			store,
			time,
			(team) => this.limitsOf(team),
			platform.cluster.zones,
			platform.cluster.state.value_kb,
			(command) => this.executor.call(command),
			(id) => (this.leader ? this.leader.runningCount(id) : (this.running.get(id) ?? 0)),
		);
		this.heartbeatRouter = new HeartbeatRouter({
			self: platform.node,
			peers: this.peers,
			time,
			active: () => this.activeLeader(),
			leaderInStore: () => this.replica.leader?.value.node ?? null,
			tellUnexpected: (leader, term) => this.sendHeartbeatReply(leader, term),
		});
		this.machineTypes = new MachineTypeCatalog({
			cloud: ports.cloud,
			store,
			time,
			log,
			post,
			authority: () => this.leadership.authority(),
			stored: () => this.replica.machineTypes?.value ?? null,
			refreshed: (types) => this.leader?.typesRefreshed(types),
		});
		this.replica.onChange((key) => this.changed(key));
		const stalls = new PauseDetector(time);
		this.executor.onBatchStart(() => {
			const stalledMs = stalls.observe();
			if (stalledMs !== null) this.stalled(stalledMs);
		});
		this.executor.onBatchEnd(() => this.leader?.maybePlace());
	}

	/** Of a team that the platform names: what its record says, else the platform's settings. */
	private limitsOf(team: string): TeamLimits | undefined {
		const settings = this.platform.cluster.teams.find(({ name }) => name === team);
		return settings && (this.teamQuota?.limits(team) ?? settings);
	}

	start(): void {
		this.replicaSync.start();
		this.scheduleTick();
	}

	stop(): void {
		this.stopped = true;
		this.replicaSync.stop();
		this.executor.post(() => this.leadership.resign("controller stopping"));
	}

	/**
	 * A node that hears nothing of the store can only say 503. If others are served, users
	 * are better off there; if nobody is, a node that is taken out comes back late.
	 */
	ready(): boolean {
		if (!this.replica.loaded || this.replica.machineTypes === null) return false;
		if (!this.replicaSync.unresponsive) return true;
		const now = this.ports.clock.now();
		const alone = this.platform.others.length > 0 && now - this.peerHeardAt > isolatedMs;
		return !alone && now - this.othersServedAt > isolatedMs;
	}

	/**
	 * The process stood still while its clocks ran on, and others may have acted since. Nothing that
	 * was known, decided or half done before counts until it is confirmed: authority by a fresh
	 * answer, and silence of the store, the workers and the other controllers by a fresh wait.
	 */
	private stalled(stalledMs: number): void {
		this.ports.log.info({ stalledMs: Math.round(stalledMs) }, "process pause detected");
		this.leadership.onProcessPause();
		this.replicaSync.onProcessPause();
		this.heartbeatRouter.stalled();
		this.leader?.stalled(stalledMs);
	}

	private scheduleTick(): void {
		this.ports.clock.after(tickMs, () => {
			if (this.stopped) return;
			this.executor.post(() => this.tick());
			this.scheduleTick();
		});
	}

	private tick(): void {
		// Machine types are the first thing a first leader writes.
		if (this.replica.loaded && this.replica.machineTypes === null) this.leadership.endStartupHoldoff();
		this.leadership.tick(this.replica.leader, this.replica.loaded);
		if (this.leadership.authority() !== null) this.machineTypes.tick();
		this.leader?.tick();
		this.heartbeatRouter.tick();
	}

	// --- leadership ---

	private won(term: number): void {
		this.ports.log.info({ term }, "leadership acquired");
		this.starting = term;
		this.beginTerm(term);
	}

	/** The term begins once the local copy holds everything from before the takeover. */
	private beginTerm(term: number): void {
		if (this.starting !== term || this.leadership.currentTerm !== term) return;
		const { types } = this.machineTypes;
		if (types === null) {
			this.ports.clock.after(50, () => this.executor.post(() => this.beginTerm(term)));
			return;
		}
		this.replicaSync.readBarrier().then(
			() =>
				this.executor.post(() => {
					if (this.starting !== term || this.leadership.currentTerm !== term) return;
					this.starting = null;
					this.leader = new Leader({
						term,
						self: this.platform.node,
						platform: this.platform,
						settings: this.settings,
						replica: this.replica,
						types,
						ports: { ...this.ports, peers: this.peers, post: (command) => this.executor.post(command) },
						authority: () => this.leadership.authority() === term,
						served: () => !this.replicaSync.unresponsive,
						resign: (reason) => this.leadership.resign(reason),
						teamQuota: this.teamQuota,
						requestPrefix: `${this.platform.node}-${this.incarnation}-${term}`,
					});
					this.heartbeatRouter.leads(term);
				}),
			() => this.ports.clock.after(100, () => this.executor.post(() => this.beginTerm(term))),
		);
	}

	private lost(term: number, reason: ResignationReason): void {
		this.ports.log.info({ term, reason }, "leadership lost");
		this.starting = null;
		this.leader?.end();
		this.leader = null;
	}

	// --- what comes in ---

	private changed(key: string): void {
		if (key.startsWith(keys.jobs)) this.leader?.jobChanged(key.slice(keys.jobs.length));
		const quota = key.startsWith(keys.quota) ? this.replica.quotaRecords.get(key) : undefined;
		if (quota) this.teamQuota?.stored(key, quota.value, quota.revision);
	}

	handleHeartbeat(report: WorkerHeartbeat): Promise<HeartbeatResponse> {
		return this.executor.call(() => this.heartbeatRouter.handle(report));
	}

	private activeLeader(): ActiveLeader | null {
		const term = this.leadership.authority();
		return term !== null && this.leader ? { term, leader: this.leader } : null;
	}

	private sendHeartbeatReply(leader: string, term: number): void {
		const reply: LeaderHeartbeatReply = {
			kind: "leader-heartbeat-reply",
			term,
			misdirectedWorkers: this.heartbeatRouter.countUnexpected(),
			supportsServiceJobs: true,
			...(this.teamQuota && { teamQuota: this.teamQuota.reply() }),
		};
		this.peers.send(leader, reply);
	}

	peerMessage(from: string, raw: unknown): void {
		const message = this.peers.read(from, raw);
		if (message) this.executor.post(() => this.handle(from, message));
	}

	private handle(from: string, message: PeerMessage): void {
		this.peerHeardAt = this.ports.clock.now();
		if (message.kind === "leader-heartbeat" || message.kind === "placement-request")
			this.heartbeatRouter.noteLeader(from, message, this.peerHeardAt);
		switch (message.kind) {
			case "placement-request":
				this.propose(from, message);
				break;
			case "leader-heartbeat":
				this.heartbeat(from, message);
				break;
			case "forwarded-heartbeats":
				this.heartbeatRouter.relayed(from, message);
				break;
			case "forwarded-responses":
				this.heartbeatRouter.answered(from, message);
				break;
			case "lease-extension-request":
			case "lease-extension-vote":
			case "leader-query":
			case "leader-query-reply":
				this.leadership.handleMessage(from, message);
				break;
			default:
				this.leader?.peerMessage(from, message);
		}
	}

	private heartbeat(from: string, message: LeaderHeartbeat): void {
		// A late copy from an earlier leader: what users are told must not go back.
		if (message.term < (this.replica.leader?.revision ?? 0)) return;
		if (message.storeReachable) this.othersServedAt = this.peerHeardAt;
		this.running = new Map(message.runningTasks);
		if (message.teamQuota !== undefined) this.teamQuota?.takeTerms(message.term, message.teamQuota);
		this.sendHeartbeatReply(from, message.term);
	}

	/** This node as a placer. */
	private propose(from: string, request: PlacementRequest): void {
		const { term, cycle, machines, grants, startIndex: start } = request;
		const { jobs } = this.replica;
		const specOf = (id: string) => jobs.get(id)?.value.spec;
		const unknownJobs = grants.map((grant) => grant.jobId).filter((id) => !jobs.has(id));
		const proposal = { kind: "placement-proposal", term, cycle, unknownJobs } as const;
		if (request.teamQuota === undefined || !this.teamQuota) {
			const placements = placeFirstFit(machines, grants, specOf, start);
			this.peers.send(from, { ...proposal, placements } satisfies PlacementProposal);
			return;
		}
		this.teamQuota.takeTerms(term, request.teamQuota);
		const placements = placeWithinAllotments(this.teamQuota, machines, grants, specOf, start);
		const quota = this.teamQuota.sendBatch();
		this.peers.send(from, { ...proposal, placements, teamQuota: quota } satisfies PlacementProposal);
	}
}
