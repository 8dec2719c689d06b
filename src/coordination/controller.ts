/** One controller process: receives all external input and dispatches it to the components that decide on it. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Incarnation, NodeId, Term } from "../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";
import type { LeaderHeartbeat, LeaderHeartbeatReply, PeerMessage } from "../protocol/peer/messages.js";
import { keys } from "../protocol/records/keys.js";
import type { MachineTypeCatalog } from "./fleet/machine-type-catalog.js";
import type { JobService } from "./jobs/job-service.js";
import { tickMs } from "./leader-composition.js";
import type { Leadership } from "./leadership/leadership.js";
import type { PeerChannel } from "./leadership/peer-channel.js";
import type { MemoryReport } from "./memory-report.js";
import type { Placer } from "./placement/placer.js";
import type { Clock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import type { TeamQuotaPort } from "./ports/team-quota.js";
import type { Readiness } from "./readiness.js";
import type { ReplicaSync } from "./replication/replica-sync.js";
import type { RunningTaskCounts } from "./running-task-counts.js";
import type { PauseDetector } from "./runtime/pause-detector.js";
import type { SerialExecutor } from "./runtime/serial-executor.js";
import type { ClusterState } from "./state/cluster-state.js";
import type { TermSupervisor } from "./term-supervisor.js";
import type { HeartbeatResponse, HeartbeatRouter } from "./workers/heartbeat-router.js";

/** The components of a controller; `controller-composition.ts` builds them. */
export interface ControllerComponents {
	/** Identifies this process. */
	incarnation: Incarnation;
	executor: SerialExecutor;
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	leadership: Leadership;
	termSupervisor: TermSupervisor;
	jobs: JobService;
	heartbeatRouter: HeartbeatRouter;
	placer: Placer;
	peers: PeerChannel;
	machineTypes: MachineTypeCatalog;
	readiness: Readiness;
	runningTaskCounts: RunningTaskCounts;
	pauseDetector: PauseDetector;
	memoryReport: MemoryReport;
	/** null: team quota is off. */
	teamQuota: TeamQuotaPort | null;
	clock: Clock;
	log: Log;
}

/**
 * Receives requests, heartbeats, messages and ticks, and runs each as an action of the serial executor. Only actions of
 * that executor change the state of the process.
 */
export class Controller {
	private stopped = false;

	constructor(private readonly components: ControllerComponents) {
		const { executor, replica } = components;
		replica.onChange((key) => this.replicaChanged(key));
		executor.onBatchStart(() => this.detectProcessPause());
		executor.onBatchEnd(() => components.termSupervisor.leader?.runPlacement());
	}

	/** Submission, status and cancellation of jobs. */
	get jobs(): JobService {
		return this.components.jobs;
	}

	/** This process's replica of the store. */
	get replica(): StoreReplica {
		return this.components.replica;
	}

	/** The state of the leader in this process, whether or not it may act; null: there is none. */
	get clusterState(): ClusterState | null {
		return this.components.termSupervisor.leader?.clusterState ?? null;
	}

	/** Starts the synchronization with the store and the ticks. */
	start(): void {
		this.components.replicaSync.start();
		this.scheduleTick();
	}

	/** Resigns leadership and stops; responses to requests in progress may still be sent. */
	stop(): void {
		this.stopped = true;
		this.components.replicaSync.stop();
		this.components.executor.post(() => this.components.leadership.resign("controller stopping"));
	}

	/** True if this controller should receive users' connections. */
	ready(): boolean {
		return this.components.readiness.ready;
	}

	/** Returns the commands for a worker, or the controller to which it must send its heartbeats. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse> {
		return this.components.executor.call(() => this.components.heartbeatRouter.handle(heartbeat));
	}

	/** Receives an encoded message from another controller. */
	receivePeerMessage(from: NodeId, encoded: unknown): void {
		const message = this.components.peers.decode(from, encoded);
		if (message) this.components.executor.post(() => this.handlePeerMessage(from, message));
	}

	// --- time ---

	private scheduleTick(): void {
		this.components.clock.after(tickMs, () => {
			if (this.stopped) return;
			this.components.executor.post(() => this.tick());
			this.scheduleTick();
		});
	}

	private tick(): void {
		const { replica, leadership, machineTypes, termSupervisor, heartbeatRouter, memoryReport } =
			this.components;
		// The first leader's first write is the machine types. If they are absent, there has been no leader before.
		if (replica.loaded && replica.machineTypes === null) leadership.endStartupHoldoff();
		leadership.tick(replica.leader, replica.loaded);
		if (leadership.authorizedTerm() !== null) machineTypes.tick();
		termSupervisor.leader?.tick();
		heartbeatRouter.tick();
		memoryReport.tick();
	}

	private detectProcessPause(): void {
		const pausedMs = this.components.pauseDetector.observe();
		if (pausedMs !== null) this.onProcessPause(pausedMs);
	}

	/**
	 * Handles a process pause: the process did not run while its clocks advanced, and other processes may have acted
	 * since. State, decisions and operations from before the pause are not relied on until confirmed: authority
	 * requires a new response of the store or of every other controller, and timeouts of the store, the workers and the
	 * other controllers start anew (trace 54, tests/service/process-pauses.test.ts).
	 */
	private onProcessPause(pausedMs: number): void {
		const { log, leadership, replicaSync, heartbeatRouter, termSupervisor } = this.components;
		log.info({ pausedMs: Math.round(pausedMs) }, "process pause detected");
		leadership.onProcessPause();
		replicaSync.onProcessPause();
		heartbeatRouter.onProcessPause();
		termSupervisor.leader?.onProcessPause(pausedMs);
	}

	// --- the replica of the store ---

	private replicaChanged(key: string): void {
		const { replica, termSupervisor, teamQuota } = this.components;
		if (key.startsWith(keys.jobs)) termSupervisor.leader?.onJobChanged(key.slice(keys.jobs.length));
		const quota = key.startsWith(keys.quota) ? replica.quotaRecords.get(key) : undefined;
		if (quota) teamQuota?.applyStoredValue(key, quota.value, quota.revision);
	}

	// --- other controllers ---

	private handlePeerMessage(from: NodeId, message: PeerMessage): void {
		const { peers, leadership, termSupervisor, heartbeatRouter, placer, readiness, clock } = this.components;
		const now = clock.now();
		readiness.onPeerMessage(now);
		if (message.kind === "leader-heartbeat" || message.kind === "placement-request")
			heartbeatRouter.onLeaderMessage(from, message, now);
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
				termSupervisor.leader?.handlePeerMessage(from, message);
				break;
		}
	}

	private handleLeaderHeartbeat(from: NodeId, message: LeaderHeartbeat, now: number): void {
		const { replica, readiness, runningTaskCounts, teamQuota } = this.components;
		// Ignores late copies from earlier leaders, so that the task counts shown to users never become older.
		if (message.term < (replica.leader?.revision ?? 0)) return;
		if (message.storeReachable) readiness.onPeerStoreReachable(now);
		runningTaskCounts.replace(message.runningTasks);
		if (message.teamQuota !== undefined) teamQuota?.applyAllotmentUpdate(message.term, message.teamQuota);
		this.replyToLeader(from, message.term);
	}

	/**
	 * Sends the leader the number of misdirected workers at this controller, the features that it supports, and the name
	 * of this process.
	 */
	replyToLeader(leader: NodeId, term: Term): void {
		const { incarnation, peers, heartbeatRouter, teamQuota } = this.components;
		const reply: LeaderHeartbeatReply = {
			kind: "leader-heartbeat-reply",
			term,
			misdirectedWorkers: heartbeatRouter.countMisdirectedWorkers(),
			supportsServiceJobs: true,
			incarnation,
			...(teamQuota && { teamQuota: teamQuota.reply() }),
		};
		peers.send(leader, reply);
	}
}
