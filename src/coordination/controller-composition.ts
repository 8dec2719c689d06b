/** Builds a controller and its components. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Incarnation, Revision } from "../protocol/model/identifiers.js";
import type { TeamQuota } from "../protocol/model/team-quota.js";
import type { Cancellation, LeadershipMessage } from "../protocol/peer/messages.js";
import { encodeFinalRecord } from "../protocol/records/final-record.js";
import { keys } from "../protocol/records/keys.js";
import type { OperatorSettings } from "../protocol/settings/operator.js";
import type { PlatformSettings } from "../protocol/settings/platform.js";
import { Controller } from "./controller.js";
import { MachineTypeCatalog } from "./fleet/machine-type-catalog.js";
import { JobService } from "./jobs/job-service.js";
import { maxCancellationStalenessMs } from "./leadership/cancellation-staleness.js";
import { Leadership } from "./leadership/leadership.js";
import { PeerChannel } from "./leadership/peer-channel.js";
import { MemoryReport } from "./memory-report.js";
import { Placer } from "./placement/placer.js";
import type { Clock } from "./ports/clock.js";
import type { CloudProvider } from "./ports/cloud.js";
import type { Log } from "./ports/log.js";
import type { PeerTransport } from "./ports/peers.js";
import type { ProcessMemory } from "./ports/process-memory.js";
import type { KeyValueStore } from "./ports/store.js";
import type { TeamQuotaPort } from "./ports/team-quota.js";
import type { WorkerGateway } from "./ports/workers.js";
import { Readiness } from "./readiness.js";
import { ReplicaSync } from "./replication/replica-sync.js";
import { RunningTaskCounts } from "./running-task-counts.js";
import { PauseDetector } from "./runtime/pause-detector.js";
import { SerialExecutor } from "./runtime/serial-executor.js";
import { TermSupervisor } from "./term-supervisor.js";
import { HeartbeatRouter } from "./workers/heartbeat-router.js";

/** The external systems and the environment that a controller uses. */
export interface ControllerPorts {
	store: KeyValueStore;
	cloud: CloudProvider;
	workers: WorkerGateway;
	peers: PeerTransport;
	clock: Clock;
	memory: ProcessMemory;
	log: Log;
	random: RandomGenerator;
	/** Schedules a batch of actions to run after the events that are being handled. */
	schedule(run: () => void): void;
	/** Creates team quota for this process; team quota is off if this is omitted or returns null. */
	createTeamQuota?(post: (action: () => void) => void): TeamQuotaPort | null;
}

/** The settings, the identity and the ports of a controller. */
export interface ControllerOptions {
	platform: PlatformSettings;
	operator: OperatorSettings;
	/** Identifier of this process, unique among all processes of all controllers. */
	incarnation: Incarnation;
	ports: ControllerPorts;
}

/** Builds a controller, which does nothing until it is started. */
export function createController(options: ControllerOptions): Controller {
	const { platform, operator, incarnation, ports } = options;
	const { store, clock, log } = ports;
	const executor = new SerialExecutor(ports.schedule, (error) =>
		log.error({ err: error }, "uncaught exception in the serial executor"),
	);
	const post = (action: () => void) => executor.post(action);
	const peers = new PeerChannel(ports.peers, log);
	const replica = new StoreReplica(
		(key, error) => log.error({ key, err: error }, "malformed value in the store"),
		platform.cluster.state.write_rps,
	);
	const teamQuota = ports.createTeamQuota?.(post) ?? null;
	const replicaSync = new ReplicaSync({ replica, store, clock, log, post });
	const runningTaskCounts = new RunningTaskCounts();

	const leadership: Leadership = createLeadership(
		options,
		{ replica, replicaSync, peers, post },
		() => termSupervisor,
	);
	const machineTypes: MachineTypeCatalog = new MachineTypeCatalog({
		cloud: ports.cloud,
		store,
		clock,
		log,
		post,
		authorizedTerm: () => leadership.authorizedTerm(),
		storedTypes: () => replica.machineTypes?.value ?? null,
		onRefreshed: (types) => termSupervisor.leader?.onMachineTypesRefreshed(types),
	});
	const termSupervisor: TermSupervisor = new TermSupervisor({
		platform,
		operator,
		incarnation,
		leadership,
		replica,
		replicaSync,
		machineTypes,
		teamQuota,
		ports: { ...ports, peers, post },
		onTermBegun: (term) => heartbeatRouter.startLeading(term),
	});
	const heartbeatRouter = new HeartbeatRouter({
		node: platform.node,
		incarnation,
		peers,
		clock,
		log,
		activeLeader: () => termSupervisor.activeLeader,
		leaderInStore: () => replica.leader?.value.node ?? null,
		reportMisdirectedWorkers: (leader, term) => controller.replyToLeader(leader, term),
	});
	const jobs = new JobService({
		replica,
		replicaSync,
		store,
		clock,
		memory: ports.memory,
		log,
		quotaOf: (team) => quotaOf(platform, teamQuota, team),
		zones: platform.cluster.zones,
		maxValueBytes: platform.cluster.state.value_kb * 1024,
		call: (action) => executor.call(action),
		runningTaskCount: (jobId) =>
			termSupervisor.leader?.runningCount(jobId) ?? runningTaskCounts.countOf(jobId),
	});
	const controller = new Controller({
		incarnation,
		executor,
		replica,
		replicaSync,
		leadership,
		termSupervisor,
		jobs,
		heartbeatRouter,
		placer: new Placer(replica, teamQuota),
		peers,
		machineTypes,
		readiness: new Readiness({ replica, replicaSync, hasPeers: platform.others.length > 0, clock }),
		runningTaskCounts,
		pauseDetector: new PauseDetector(clock),
		memoryReport: new MemoryReport({
			memory: ports.memory,
			replica,
			leader: () => termSupervisor.leader,
			clock,
			log,
		}),
		teamQuota,
		clock,
		log,
	});
	return controller;
}

interface LeadershipComponents {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	peers: PeerChannel;
	post(action: () => void): void;
}

/** `termSupervisor` is called only when a term begins or ends, which is after all components have been built. */
function createLeadership(
	{ platform, operator, incarnation, ports }: ControllerOptions,
	{ replica, replicaSync, peers, post }: LeadershipComponents,
	termSupervisor: () => TermSupervisor,
): Leadership {
	const otherControllers = platform.others.map(({ node }) => node);
	const broadcast = (message: LeadershipMessage) => {
		for (const node of otherControllers) peers.send(node, message);
	};
	return new Leadership({
		node: platform.node,
		incarnation,
		otherControllers,
		settings: {
			leaseTtlMs: operator.leadership.ttl_s * 1000,
			marginMs: operator.leadership.margin_s * 1000,
			maxCancellationStalenessMs: maxCancellationStalenessMs(platform.cluster.workers),
		},
		store: ports.store,
		clock: ports.clock,
		log: ports.log,
		cancellations: {
			syncedAt: () => replicaSync.syncedAt,
			replicaRevision: () => replica.revision,
			since: (revision) => cancellationsSince(replica, revision),
			record: (cancellations) => applyCancellations(replica, cancellations),
		},
		post,
		jitter: () => uniformInt(ports.random, 0, 999) / 1000,
		broadcast,
		onElected: (term) => termSupervisor().onElected(term),
		onLeadershipLost: (term, reason) => termSupervisor().onLeadershipLost(term, reason),
	});
}

function cancellationsSince(replica: StoreReplica, revision: Revision): Cancellation[] | null {
	const jobs = replica.cancellationsSince(revision);
	if (jobs === null) return null;
	return jobs.map(({ jobId, record, revision: cancelledAt }) => ({
		jobId,
		revision: cancelledAt,
		taskCount: record.taskCount,
		doneCount: record.doneCount,
	}));
}

function applyCancellations(replica: StoreReplica, cancellations: Cancellation[]): void {
	for (const { jobId, revision, taskCount, doneCount } of cancellations) {
		const record = encodeFinalRecord({ status: "cancelled", taskCount, doneCount });
		replica.applyConfirmedWrite(keys.final(jobId), record, revision);
	}
}

/** Returns the quota of a team in the platform settings; its stored quota record takes precedence over the settings. */
function quotaOf(
	platform: PlatformSettings,
	teamQuota: TeamQuotaPort | null,
	team: string,
): TeamQuota | undefined {
	const settings = platform.cluster.teams.find(({ name }) => name === team);
	return settings && (teamQuota?.effectiveLimits(team) ?? settings);
}
