/** Builds a leader and the parts that work for it in its term. */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Machine } from "../bookkeeping/machine.js";
import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { NodeId, Term } from "../protocol/model/identifiers.js";
import type { MachineType } from "../protocol/model/machine.js";
import { startTimeObjectives } from "../protocol/settings/objectives.js";
import type { OperatorSettings } from "../protocol/settings/operator.js";
import type { PlatformSettings } from "../protocol/settings/platform.js";
import { Fleet } from "./fleet/fleet.js";
import { ReplicaRelocation } from "./fleet/replica-relocation.js";
import { LiveJobs } from "./jobs/live-jobs.js";
import { Leader, type LeaderParts } from "./leader.js";
import { Failover } from "./leadership/failover.js";
import { FailureDetector } from "./leadership/failure-detector.js";
import { FeatureGate } from "./leadership/feature-gate.js";
import { maxClockDriftFraction } from "./leadership/lease-timing.js";
import { PlacementCycle } from "./placement/placement-cycle.js";
import { QuotaAdmission } from "./placement/quota-admission.js";
import type { Clock } from "./ports/clock.js";
import type { CloudProvider } from "./ports/cloud.js";
import type { Log } from "./ports/log.js";
import type { PeerMessenger } from "./ports/peers.js";
import type { KeyValueStore } from "./ports/store.js";
import type { LeaderQuotaPort, TeamQuotaPort } from "./ports/team-quota.js";
import type { WorkerGateway } from "./ports/workers.js";
import { PreemptionCycle } from "./preemption/preemption-cycle.js";
import type { ChunkedRecordsEnvironment } from "./replication/chunked-records.js";
import { TickDelay } from "./runtime/tick-delay.js";
import { ClusterState } from "./state/cluster-state.js";
import type { ResignationReason } from "./state/resignation-reason.js";
import { TermAuthority } from "./state/term-authority.js";
import { DirectCommandSender } from "./workers/direct-command-sender.js";
import { FaultAttribution } from "./workers/fault-attribution.js";
import { HeartbeatService } from "./workers/heartbeat-service.js";
import { LeaseMonitor } from "./workers/lease-monitor.js";
import { MachineRecords } from "./workers/machine-records.js";
import { OrphanCleanup } from "./workers/orphan-cleanup.js";

/** How often a controller ticks. */
export const tickMs = 100;

/** Waited for beyond a worker's lease, drift included, before the lease has certainly expired. */
const leaseExpiryMarginMs = 500;
/** Values of the store are written up to this part of the largest allowed. */
const valueSizePart = 0.8;
/** Of the sockets that the process may have, this part is for direct commands to workers. */
const directCommandSocketsPart = 0.1;
const leastDirectCommandsInFlight = 8;

/** What a leader needs of the world outside. */
export interface LeaderPorts {
	store: KeyValueStore;
	cloud: CloudProvider;
	workers: WorkerGateway;
	peers: PeerMessenger;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	random: RandomGenerator;
}

/** What a leader needs to begin its term. */
export interface LeaderOptions {
	term: Term;
	platform: PlatformSettings;
	operator: OperatorSettings;
	replica: StoreReplica;
	machineTypes: MachineType[];
	ports: LeaderPorts;
	/** This process may act for the controllers in the term now. */
	mayAct(): boolean;
	/** The store answers this controller. */
	storeReachable(): boolean;
	/** Gives up leadership. */
	resign(reason: ResignationReason): void;
	/** null: team quota is off, and this leader's own check of limits stands alone. */
	teamQuota: TeamQuotaPort | null;
	/** Begins the names of scale-out requests; no other term or process ever uses it. */
	requestPrefix: string;
}

/** Builds the leader of a term. Nothing happens before it is told to begin. */
export function createLeader(options: LeaderOptions): Leader {
	return new Leader(composeParts(options));
}

function composeParts(options: LeaderOptions): LeaderParts {
	const { term, platform, operator, replica, ports } = options;
	const { cluster } = platform;
	const { store, workers, peers, clock, log, post, random } = ports;
	const beganAt = clock.now();
	const tickDelay = new TickDelay(tickMs, beganAt);
	const authority = new TermAuthority({ term, mayAct: options.mayAct, resign: options.resign });
	const active = () => authority.active;
	const clusterState = createClusterState(options);

	const leaseMonitor = new LeaseMonitor(clusterState, beganAt, log);
	const commands = createCommandSender(options, active);
	const faults = new FaultAttribution(clusterState, operator.machines.faulty_after, log);
	const orphanCleanup = new OrphanCleanup({
		clusterState,
		store,
		clock,
		commandSender: commands,
		log,
		post,
		active,
		onFinalRecord: (jobId, record, revision) => replica.recordFinal(jobId, record, revision),
	});
	const relocation = new ReplicaRelocation(clusterState, commands, log);

	const leaderQuota = options.teamQuota?.beginTerm(term) ?? null;
	const failureDetector = new FailureDetector({
		term,
		termStartedAt: beganAt,
		platform,
		settings: operator,
		clusterState,
		peers,
		teamQuotaMessageFor: (node) => leaderQuota?.nextUpdate(node),
		storeReachable: options.storeReachable,
		resign: (reason) => authority.resign(reason),
		log,
	});
	const quotaAdmission =
		options.teamQuota && leaderQuota
			? createQuotaAdmission(options, options.teamQuota, leaderQuota, {
					clusterState,
					failureDetector,
					commands,
				})
			: null;

	const records = recordsEnvironment(options, authority);
	const machineRecords = new MachineRecords(clusterState, records);
	const liveJobs = new LiveJobs({
		authority,
		clusterState,
		replica,
		store,
		chunkedRecords: records,
		clock,
		log,
		post,
		stopAttempts: (attempts) => commands.stop(attempts),
	});

	const heartbeats: HeartbeatService = new HeartbeatService({
		term,
		heartbeatIntervalS: cluster.workers.report_s,
		clusterState,
		// Only heartbeats that come later are told to the fleet, which in turn tells of deleted machines.
		fleet: {
			isDeleted: (machine) => fleet.isDeleted(machine),
			onMachineRunning: (machine) => fleet.onMachineRunning(machine),
		},
		commandSender: commands,
		faultAttribution: faults,
		orphanCleanup,
		finishIfDone: (job) => liveJobs.finishIfDone(job),
		tickDelay,
		clock,
		log,
		post,
		active,
		recordMachine: (machine) => machineRecords.record(machine),
	});

	const placement = new PlacementCycle({
		self: platform.node,
		clusterState,
		peerMonitor: failureDetector,
		peers,
		time: clock,
		random,
		log,
		cycleMs: operator.placing.cycle_s * 1000,
		silentMs: operator.placing.silent_s * 1000,
		sample: operator.placing.sample,
		capS: operator.climb.cap_s,
		quota: quotaAdmission && leaderQuota ? { admission: quotaAdmission, leaderQuota } : null,
		decided: (attempt) => heartbeats.onAssigned(attempt),
	});
	const inOrder = (jobs: Parameters<typeof placement.inOrder>[0]) => placement.inOrder(jobs);
	const preemption = new PreemptionCycle(clusterState, commands, inOrder, random, log);

	const machineDeleted = (machine: Machine) => {
		const tasks = clusterState.removeMachine(machine);
		log.info({ machineId: machine.id, tasks }, "machine deleted");
		heartbeats.onMachineDeleted(machine);
		machineRecords.delete(machine);
	};
	const fleet = new Fleet({
		clusterState,
		cloud: ports.cloud,
		time: clock,
		settings: operator,
		objectives: startTimeObjectives(cluster.objectives),
		listLagMs: cluster.cloud.list_lag_s * 1000,
		leaseMs: cluster.workers.lease_s * 1000,
		requestPrefix: options.requestPrefix,
		hooks: { post, authority: active, gone: machineDeleted },
		log,
	});
	const failover = new Failover({
		clusterState,
		workers,
		termStartedAt: beganAt,
		log,
		post,
		active,
		ended: () => authority.ended,
		reconcileHeartbeat: (heartbeat) => heartbeats.reconcile(heartbeat),
		missingFromCloudList: (machine) => fleet.unlisted(machine),
	});

	return {
		authority,
		beganAt,
		clusterState,
		replica,
		liveJobs,
		machineRecords,
		failover,
		failureDetector,
		featureGate: new FeatureGate({ leaderCondition: authority.leaderCondition, store, clock, log, post }),
		heartbeats,
		leaseMonitor,
		fleet,
		placement,
		preemption,
		relocation,
		leaderQuota,
		quotaAdmission,
		tickDelay,
		clock,
		log,
	};
}

function createClusterState({ term, platform, replica, machineTypes }: LeaderOptions): ClusterState {
	const { teams, workers } = platform.cluster;
	const leaseExpiryMs = workers.lease_s * 1000 * (1 + 2 * maxClockDriftFraction) + leaseExpiryMarginMs;
	return new ClusterState({
		term,
		teams,
		machineTypes,
		workerLeaseExpiryMs: leaseExpiryMs,
		demandOf: (jobId) => replica.demandOf(jobId),
	});
}

function createCommandSender(
	{ term, platform, ports }: LeaderOptions,
	active: () => boolean,
): DirectCommandSender {
	const sockets = platform.cluster.resources.fd_limit * directCommandSocketsPart;
	const maxInFlight = Math.floor(Math.max(leastDirectCommandsInFlight, sockets));
	const { workers, post, log } = ports;
	return new DirectCommandSender({ term, maxInFlight, workers, active, post, log });
}

function createQuotaAdmission(
	{ platform, operator, replica, ports }: LeaderOptions,
	quota: TeamQuotaPort,
	leaderQuota: LeaderQuotaPort,
	parts: { clusterState: ClusterState; failureDetector: FailureDetector; commands: DirectCommandSender },
): QuotaAdmission {
	const { clusterState, failureDetector, commands } = parts;
	const nodes: NodeId[] = [platform.node, ...platform.others.map(({ node }) => node)];
	return new QuotaAdmission({
		quota,
		leaderQuota,
		clusterState,
		peerMonitor: failureDetector,
		orders: commands,
		nodes,
		preemptAfterMs: operator.team_quota.preempt_after_s * 1000,
		servedByAll: () => replica.features.teamQuota || failureDetector.allSupportTeamQuota,
		log: ports.log,
	});
}

function recordsEnvironment(
	{ platform, ports }: LeaderOptions,
	authority: TermAuthority,
): ChunkedRecordsEnvironment {
	const { store, clock, log, post } = ports;
	const { value_kb, txn_ops } = platform.cluster.state;
	return {
		leaderCondition: authority.leaderCondition,
		maxChunkBytes: Math.floor(value_kb * 1024 * valueSizePart),
		maxChangesPerWrite: txn_ops,
		store,
		post,
		now: () => clock.now(),
		onLeaderKeyLost: () => authority.leaderKeyLost(),
		onWriteFailed: (error) => log.debug({ err: error }, "records not written"),
		onChunksRejected: (keys, maxBytes) =>
			log.error({ keys, maxBytes }, "store rejected values: splitting them"),
	};
}
