/** Builds the leader of a term and its components. */

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
import { Leader, type LeaderComponents } from "./leader.js";
import { AttemptRangeReservation } from "./leadership/attempt-range-reservation.js";
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
import type { ProcessMemory } from "./ports/process-memory.js";
import type { KeyValueStore } from "./ports/store.js";
import type { LeaderQuotaPort, TeamQuotaPort } from "./ports/team-quota.js";
import type { WorkerGateway } from "./ports/workers.js";
import { PreemptionCycle } from "./preemption/preemption-cycle.js";
import type { ChunkedRecordsEnvironment } from "./replication/chunked-records.js";
import { TickDelay } from "./runtime/tick-delay.js";
import { maxAttempts } from "./state/attempt-capacity.js";
import { ClusterState } from "./state/cluster-state.js";
import type { ResignationReason } from "./state/resignation-reason.js";
import { TermAuthority } from "./state/term-authority.js";
import { DirectCommandSender } from "./workers/direct-command-sender.js";
import { FaultAttribution } from "./workers/fault-attribution.js";
import { HeartbeatService } from "./workers/heartbeat-service.js";
import { LeaseMonitor } from "./workers/lease-monitor.js";
import { MachineRecords } from "./workers/machine-records.js";
import { OrphanCleanup } from "./workers/orphan-cleanup.js";

/** Interval between the ticks of a controller. */
export const tickMs = 100;

/** Margin added to a worker's lease and its clock drift before the leader treats the lease as expired. */
const leaseExpiryMarginMs = 500;
/** Maximum size of the values that are written, as a fraction of the store's limit. */
const maxValueSizeFraction = 0.8;
/** Fraction of the process's file descriptors that direct commands to workers may use. */
const directCommandSocketFraction = 0.1;
const minDirectCommandsInFlight = 8;

/** The external systems and the environment that a leader uses. */
export interface LeaderPorts {
	store: KeyValueStore;
	cloud: CloudProvider;
	workers: WorkerGateway;
	peers: PeerMessenger;
	clock: Clock;
	memory: ProcessMemory;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	random: RandomGenerator;
}

/** The settings, state and ports of the leader of a term. */
export interface LeaderOptions {
	term: Term;
	platform: PlatformSettings;
	operator: OperatorSettings;
	replica: StoreReplica;
	machineTypes: MachineType[];
	ports: LeaderPorts;
	/** True if this process is authorized to act as the leader of the term now. */
	mayAct(): boolean;
	/** True if the store responds to this controller. */
	storeReachable(): boolean;
	/** Resigns leadership. */
	resign(reason: ResignationReason): void;
	/** null: team quota is off, and only the leader itself checks team limits. */
	teamQuota: TeamQuotaPort | null;
	/** Prefix of the names of scale-out requests, unique to this term and process. */
	requestPrefix: string;
}

/** Builds the leader of a term, which does nothing until `begin` is called. */
export function createLeader(options: LeaderOptions): Leader {
	return new Leader(createComponents(options));
}

function createComponents(options: LeaderOptions): LeaderComponents {
	const { term, platform, operator, replica, ports } = options;
	const { cluster } = platform;
	const { store, workers, peers, clock, log, post, random } = ports;
	const termStartedAt = clock.now();
	const tickDelay = new TickDelay(tickMs, termStartedAt);
	const authority = new TermAuthority({ term, mayAct: options.mayAct, resign: options.resign });
	const active = () => authority.active;
	const clusterState = createClusterState(options);

	const leaseMonitor = new LeaseMonitor(clusterState, termStartedAt, log);
	const commandSender = createCommandSender(options, active);
	const faultAttribution = new FaultAttribution(clusterState, operator.machines.faulty_after, log);
	const orphanCleanup = new OrphanCleanup({
		clusterState,
		store,
		clock,
		commandSender,
		log,
		post,
		active,
		onFinalRecord: (jobId, record, revision) => replica.addFinalRecord(jobId, record, revision),
	});
	const relocation = new ReplicaRelocation(clusterState, commandSender, log);

	const leaderQuota = options.teamQuota?.beginTerm(term) ?? null;
	const failureDetector = new FailureDetector({
		term,
		termStartedAt,
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
					commandSender,
				})
			: null;

	const chunkedRecords = recordsEnvironment(options, authority);
	const machineRecords = new MachineRecords(clusterState, chunkedRecords);
	const liveJobs = new LiveJobs({
		authority,
		clusterState,
		replica,
		store,
		chunkedRecords,
		clock,
		log,
		post,
		stopAttempts: (attempts) => commandSender.sendStops(attempts),
	});

	const heartbeats: HeartbeatService = new HeartbeatService({
		term,
		heartbeatIntervalS: cluster.workers.report_s,
		clusterState,
		// `fleet` is built below; these functions are called only when heartbeats arrive, which is later.
		fleet: {
			isDeleted: (machine) => fleet.isDeleted(machine),
			onMachineRunning: (machine) => fleet.onMachineRunning(machine),
		},
		commandSender,
		faultAttribution,
		orphanCleanup,
		finalizeIfDone: (job) => liveJobs.finalizeIfDone(job),
		tickDelay,
		clock,
		log,
		post,
		active,
		recordMachine: (machine) => machineRecords.record(machine),
	});

	const placement = new PlacementCycle({
		node: platform.node,
		clusterState,
		failureDetector,
		peers,
		clock,
		random,
		log,
		cycleIntervalMs: operator.placing.cycle_s * 1000,
		placerTimeoutMs: operator.placing.silent_s * 1000,
		maxMachinesPerCycle: operator.placing.sample,
		maxRemainingS: operator.climb.cap_s,
		quota: quotaAdmission && leaderQuota ? { admission: quotaAdmission, leaderQuota } : null,
		onAttemptAssigned: (attempt) => heartbeats.onAssigned(attempt),
	});
	const inSchedulingOrder = (jobs: Parameters<typeof placement.inSchedulingOrder>[0]) =>
		placement.inSchedulingOrder(jobs);
	const preemption = new PreemptionCycle(clusterState, commandSender, inSchedulingOrder, random, log);

	const onMachineDeleted = (machine: Machine) => {
		const tasks = clusterState.removeMachine(machine);
		log.info({ machineId: machine.id, tasks }, "machine deleted");
		heartbeats.onMachineDeleted(machine);
		machineRecords.delete(machine);
	};
	const fleet = new Fleet({
		clusterState,
		cloud: ports.cloud,
		clock,
		settings: operator,
		objectives: startTimeObjectives(cluster.objectives),
		listLagMs: cluster.cloud.list_lag_s * 1000,
		leaseMs: cluster.workers.lease_s * 1000,
		requestPrefix: options.requestPrefix,
		hooks: { post, active, onMachineDeleted },
		log,
	});
	const failover = new Failover({
		clusterState,
		workers,
		termStartedAt,
		log,
		post,
		active,
		ended: () => authority.ended,
		reconcileHeartbeat: (heartbeat) => heartbeats.reconcile(heartbeat),
		missingFromCloudList: (machine) => fleet.isMissingFromCloudList(machine),
	});

	return {
		authority,
		termStartedAt,
		clusterState,
		replica,
		liveJobs,
		machineRecords,
		failover,
		failureDetector,
		attemptRange: new AttemptRangeReservation({
			term,
			leaderCondition: authority.leaderCondition,
			store,
			clock,
			log,
			post,
			onReserved: (index) => clusterState.useReservedAttemptRange(index),
		}),
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
		memory: ports.memory,
		log,
	};
}

function createClusterState({ term, platform, replica, machineTypes, ports }: LeaderOptions): ClusterState {
	const { teams, workers } = platform.cluster;
	const leaseExpiryMs = workers.lease_s * 1000 * (1 + 2 * maxClockDriftFraction) + leaseExpiryMarginMs;
	return new ClusterState({
		term,
		teams,
		machineTypes,
		workerLeaseExpiryMs: leaseExpiryMs,
		maxAttempts: maxAttempts(ports.memory.heapLimitBytes),
		demandOf: (jobId) => replica.demandOf(jobId),
	});
}

function createCommandSender(
	{ term, platform, ports }: LeaderOptions,
	active: () => boolean,
): DirectCommandSender {
	const socketsForCommands = platform.cluster.resources.fd_limit * directCommandSocketFraction;
	const maxInFlight = Math.floor(Math.max(minDirectCommandsInFlight, socketsForCommands));
	const { workers, post, log } = ports;
	return new DirectCommandSender({ term, maxInFlight, workers, active, post, log });
}

function createQuotaAdmission(
	{ platform, operator, replica, ports }: LeaderOptions,
	quota: TeamQuotaPort,
	leaderQuota: LeaderQuotaPort,
	components: {
		clusterState: ClusterState;
		failureDetector: FailureDetector;
		commandSender: DirectCommandSender;
	},
): QuotaAdmission {
	const { clusterState, failureDetector, commandSender } = components;
	const nodes: NodeId[] = [platform.node, ...platform.others.map(({ node }) => node)];
	return new QuotaAdmission({
		quota,
		leaderQuota,
		clusterState,
		failureDetector,
		commandSender,
		nodes,
		preemptAfterMs: operator.team_quota.preempt_after_s * 1000,
		supportedByAllControllers: () => replica.features.teamQuota || failureDetector.allSupportTeamQuota,
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
		maxChunkBytes: Math.floor(value_kb * 1024 * maxValueSizeFraction),
		maxChangesPerWrite: txn_ops,
		store,
		post,
		now: () => clock.now(),
		onLeaderKeyLost: () => authority.leaderKeyLost(),
		onWriteFailed: (error) => log.debug({ err: error }, "writing records failed"),
		onChunksRejected: (keys, maxBytes) =>
			log.error({ keys, maxBytes }, "store rejected oversized values; splitting them"),
	};
}
