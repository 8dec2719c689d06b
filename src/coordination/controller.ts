/** One controller process: the owner of its state, between the world outside and the parts that decide. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { NodeId, Term } from "../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";
import type { LeaderHeartbeat, LeaderHeartbeatReply, PeerMessage } from "../protocol/peer/messages.js";
import { keys } from "../protocol/records/keys.js";
import type { MachineTypeCatalog } from "./fleet/machine-type-catalog.js";
import type { JobService } from "./jobs/job-service.js";
import { tickMs } from "./leader-composition.js";
import type { Leadership } from "./leadership/leadership.js";
import type { PeerChannel } from "./leadership/peer-channel.js";
import type { Placer } from "./placement/placer.js";
import type { Clock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import type { TeamQuotaPort } from "./ports/team-quota.js";
import type { Readiness } from "./readiness.js";
import type { ReplicaSync } from "./replication/replica-sync.js";
import type { RunningTaskCounts } from "./running-task-counts.js";
import type { PauseDetector } from "./runtime/pause-detector.js";
import type { SerialExecutor } from "./runtime/serial-executor.js";
import type { TermSupervisor } from "./term-supervisor.js";
import type { HeartbeatResponse, HeartbeatRouter } from "./workers/heartbeat-router.js";

/** The parts of a controller; `controller-composition.ts` builds them. */
export interface ControllerParts {
	executor: SerialExecutor;
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	leadership: Leadership;
	terms: TermSupervisor;
	jobs: JobService;
	heartbeatRouter: HeartbeatRouter;
	placer: Placer;
	peers: PeerChannel;
	machineTypes: MachineTypeCatalog;
	readiness: Readiness;
	runningTasks: RunningTaskCounts;
	pauseDetector: PauseDetector;
	/** null: team quota is off. */
	teamQuota: TeamQuotaPort | null;
	clock: Clock;
	log: Log;
}

/**
 * Receives requests, heartbeats, messages and ticks, and runs each as an action of the serial executor, which is the
 * one owner of all state of the process.
 */
export class Controller {
	private stopped = false;

	constructor(private readonly parts: ControllerParts) {
		const { executor, replica } = parts;
		replica.onChange((key) => this.replicaChanged(key));
		executor.onBatchStart(() => this.detectPause());
		executor.onBatchEnd(() => parts.terms.leader?.place());
	}

	/** Submission, status and cancellation of jobs. */
	get jobs(): JobService {
		return this.parts.jobs;
	}

	/** This process's copy of the store. */
	get replica(): StoreReplica {
		return this.parts.replica;
	}

	/** Begins to follow the store and to tick. */
	start(): void {
		this.parts.replicaSync.start();
		this.scheduleTick();
	}

	/** Gives up leadership and stops; a running request may still be answered. */
	stop(): void {
		this.stopped = true;
		this.parts.replicaSync.stop();
		this.parts.executor.post(() => this.parts.leadership.resign("controller stopping"));
	}

	/** This controller should receive users' connections. */
	ready(): boolean {
		return this.parts.readiness.ready;
	}

	/** The commands for a worker, or the controller that it should turn to. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> {
		return this.parts.executor.call(() => this.parts.heartbeatRouter.handle(heartbeat));
	}

	/** A message of another controller, as it came over the link. */
	peerMessage(from: NodeId, encoded: unknown): void {
		const message = this.parts.peers.decode(from, encoded);
		if (message) this.parts.executor.post(() => this.handlePeerMessage(from, message));
	}

	// --- time ---

	private scheduleTick(): void {
		this.parts.clock.after(tickMs, () => {
			if (this.stopped) return;
			this.parts.executor.post(() => this.tick());
			this.scheduleTick();
		});
	}

	private tick(): void {
		const { replica, leadership, machineTypes, terms, heartbeatRouter } = this.parts;
		// Machine types are the first thing that a first leader writes: without them there was no leader before.
		if (replica.loaded && replica.machineTypes === null) leadership.endStartupHoldoff();
		leadership.tick(replica.leader, replica.loaded);
		if (leadership.authorizedTerm() !== null) machineTypes.tick();
		terms.leader?.tick();
		heartbeatRouter.tick();
	}

	private detectPause(): void {
		const pausedMs = this.parts.pauseDetector.observe();
		if (pausedMs !== null) this.onProcessPause(pausedMs);
	}

	/**
	 * The process stood still while its clocks ran on, and others may have acted since. Nothing that was known,
	 * decided or half done before counts until it is confirmed: authority by a fresh answer of the store or of every
	 * other controller, and the silence of the store, the workers and the other controllers by a fresh wait
	 * (trace 54, tests/service/process-pauses.test.ts).
	 */
	private onProcessPause(pausedMs: number): void {
		const { log, leadership, replicaSync, heartbeatRouter, terms } = this.parts;
		log.info({ pausedMs: Math.round(pausedMs) }, "process pause detected");
		leadership.onProcessPause();
		replicaSync.onProcessPause();
		heartbeatRouter.onProcessPause();
		terms.leader?.onProcessPause(pausedMs);
	}

	// --- the replica of the store ---

	private replicaChanged(key: string): void {
		const { replica, terms, teamQuota } = this.parts;
		if (key.startsWith(keys.jobs)) terms.leader?.jobChanged(key.slice(keys.jobs.length));
		const quota = key.startsWith(keys.quota) ? replica.quotaRecords.get(key) : undefined;
		if (quota) teamQuota?.applyStoredValue(key, quota.value, quota.revision);
	}

	// --- other controllers ---

	private handlePeerMessage(from: NodeId, message: PeerMessage): void {
		const { peers, leadership, terms, heartbeatRouter, placer, readiness, clock } = this.parts;
		const now = clock.now();
		readiness.peerHeard(now);
		if (message.kind === "leader-heartbeat" || message.kind === "placement-request")
			heartbeatRouter.noteLeader(from, message, now);
		switch (message.kind) {
			case "placement-request":
				peers.send(from, placer.propose(message));
				break;
			case "leader-heartbeat":
				this.handleLeaderHeartbeat(from, message, now);
				break;
			case "forwarded-heartbeats":
				heartbeatRouter.handleForwarded(from, message);
				break;
			case "forwarded-responses":
				heartbeatRouter.handleForwardedResponses(from, message);
				break;
			case "lease-extension-request":
			case "lease-extension-vote":
			case "leader-query":
			case "leader-query-reply":
				leadership.handleMessage(from, message);
				break;
			case "placement-proposal":
			case "leader-heartbeat-reply":
				terms.leader?.peerMessage(from, message);
				break;
		}
	}

	private handleLeaderHeartbeat(from: NodeId, message: LeaderHeartbeat, now: number): void {
		const { replica, readiness, runningTasks, teamQuota } = this.parts;
		// A late copy from an earlier leader: what users are told must not go back.
		if (message.term < (replica.leader?.revision ?? 0)) return;
		if (message.storeReachable) readiness.storeServesPeer(now);
		runningTasks.replace(message.runningTasks);
		if (message.teamQuota !== undefined) teamQuota?.applyAllotmentUpdate(message.term, message.teamQuota);
		this.replyToLeader(from, message.term);
	}

	/** Tells the leader how many workers turn to this controller, and what this version supports. */
	replyToLeader(leader: NodeId, term: Term): void {
		const { peers, heartbeatRouter, teamQuota } = this.parts;
		const reply: LeaderHeartbeatReply = {
			kind: "leader-heartbeat-reply",
			term,
			misdirectedWorkers: heartbeatRouter.countMisdirectedWorkers(),
			supportsServiceJobs: true,
			...(teamQuota && { teamQuota: teamQuota.reply() }),
		};
		peers.send(leader, reply);
	}
}
