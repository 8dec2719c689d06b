import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Job } from "../bookkeeping/job.js";
import { Machine, unknownMachineType } from "../bookkeeping/machine.js";
import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Versioned } from "../bookkeeping/versioned.js";
import type { StoreCondition } from "../protocol/http/store-api.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { WorkerCommand, WorkerHeartbeat } from "../protocol/model/worker.js";
import type { PeerMessage } from "../protocol/peer/messages.js";
import { encodeFinalRecord } from "../protocol/records/final-record.js";
import type { JobRecord } from "../protocol/records/job-record.js";
import { keys } from "../protocol/records/keys.js";
import {
	decodeMachineRecord,
	encodeMachineRecord,
	type MachineRecord,
	type StoredMachineRecord,
} from "../protocol/records/machine-record.js";
import type { OperatorSettings } from "../protocol/settings/operator.js";
import { type PlatformSettings, startTimeObjectives } from "../protocol/settings/platform.js";
import { Fleet } from "./fleet/fleet.js";
import { ReplicaRelocation } from "./fleet/replica-relocation.js";
import { JobCompletion } from "./jobs/job-completion.js";
import { Failover } from "./leadership/failover.js";
import { FailureDetector } from "./leadership/failure-detector.js";
import { FeatureGate } from "./leadership/feature-gate.js";
import { maxClockDrift } from "./leadership/lease-timing.js";
import type { ResignationReason } from "./leadership/resignation-reason.js";
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
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "./replication/chunked-records.js";
import { TickDelay } from "./runtime/tick-delay.js";
import { ClusterState } from "./state/cluster-state.js";
import { DirectCommandSender } from "./workers/direct-command-sender.js";
import { FaultAttribution } from "./workers/fault-attribution.js";
import { HeartbeatService } from "./workers/heartbeat-service.js";
import { LeaseMonitor } from "./workers/lease-monitor.js";
import { OrphanCleanup } from "./workers/orphan-cleanup.js";

export interface LeaderPorts {
	store: KeyValueStore;
	cloud: CloudProvider;
	workers: WorkerGateway;
	peers: PeerMessenger;
	clock: Clock;
	log: Log;
	post(command: () => void): void;
	random: RandomGenerator;
}

export interface LeaderOptions {
	/** The term: the revision of the put that won the leader's key. */
	term: number;
	/** This node. */
	self: string;
	platform: PlatformSettings;
	settings: OperatorSettings;
	replica: StoreReplica;
	types: MachineType[];
	ports: LeaderPorts;
	/** This process may act for the controllers now. */
	authority(): boolean;
	/** The state service answers this node. */
	served(): boolean;
	resign(reason: ResignationReason): void;
	/** Team quota; null: this leader's own check of limits stands alone. */
	teamQuota: TeamQuotaPort | null;
	/** Begins the names of rental requests; never used by another term or process. */
	requestPrefix: string;
}

const expiryMarginMs = 500;
const machineRecordsEveryMs = 150;
const machineRecordsShrinkMs = 3000;
/** Values are written up to this part of the largest allowed. */
const valuePart = 0.8;
const auditEveryMs = 10_000;
/** Of the sockets that the process may have, so many are for orders that go straight to workers. */
const orderSocketsPart = 0.1;
const leastOrdersInFlight = 8;
/** How often `tick` is called. */
export const tickMs = 100;

/**
 * One term of leadership: takes reports, keeps the tables, and lets the parts that decide about
 * placing, preemption, relocation and the fleet act on them. Everything here runs in the queue.
 */
export class Leader {
	readonly clusterState: ClusterState;
	private readonly term: number;
	private readonly platform: PlatformSettings;
	private readonly storeCopy: StoreReplica;
	private readonly ports: LeaderPorts;
	private readonly fleet: Fleet;
	private readonly reports: HeartbeatService;
	private readonly orders: DirectCommandSender;
	private readonly completion: JobCompletion;
	private readonly relocation: ReplicaRelocation;
	private readonly preemption: PreemptionCycle;
	private readonly placement: PlacementCycle;
	private readonly peerMonitor: FailureDetector;
	private readonly takeover: Failover;
	private readonly lateness: TickDelay;
	private readonly watch: LeaseMonitor;
	private readonly machineRecords: ChunkedRecords<StoredMachineRecord>;
	private readonly featureRecord: FeatureGate;
	private readonly leaderQuota: LeaderQuotaPort | null;
	private readonly teamAdmission: QuotaAdmission | null;
	private readonly beganAt: number;
	private ended = false;
	private nextAudit = 0;

	constructor(private readonly options: LeaderOptions) {
		const { term, platform, settings, ports } = options;
		const { cluster } = platform;
		this.term = term;
		this.platform = platform;
		this.storeCopy = options.replica;
		this.ports = ports;
		this.beganAt = ports.clock.now();
		this.lateness = new TickDelay(tickMs, this.beganAt);
		const leaseMs = cluster.workers.lease_s * 1000;
		const certainMs = leaseMs * (1 + 2 * maxClockDrift) + expiryMarginMs;
		const types = new Map(options.types.map((type) => [type.name, type]));
		this.clusterState = new ClusterState(term, cluster.teams, types, certainMs, (job) =>
			this.storeCopy.demandOf(job),
		);
		const { clusterState } = this;
		const { clock: time, log, post } = ports;
		const active = () => this.active;
		const ordersInFlight = Math.max(leastOrdersInFlight, cluster.resources.fd_limit * orderSocketsPart);
		this.watch = new LeaseMonitor(clusterState, this.beganAt, log);
		this.orders = new DirectCommandSender(term, Math.floor(ordersInFlight), ports.workers, active, post, log);
		const outcomes = new FaultAttribution(clusterState, settings.machines.faulty_after, log);
		const unwanted = new OrphanCleanup(clusterState, ports.store, time, this.orders, {
			post,
			active,
			learned: (job, final, revision) => this.storeCopy.recordFinal(job, final, revision),
		});
		this.relocation = new ReplicaRelocation(clusterState, this.orders, log);
		this.leaderQuota = options.teamQuota?.lead(term) ?? null;
		this.peerMonitor = new FailureDetector({
			term,
			beganAt: this.beganAt,
			platform,
			settings,
			clusterState,
			peers: ports.peers,
			teamQuotaMessageFor: (node) => this.leaderQuota?.termsFor(node),
			storeReachable: options.served,
			resign: options.resign,
			log,
		});
		this.teamAdmission = this.makeAdmission();
		this.placement = new PlacementCycle({
			self: options.self,
			clusterState,
			peerMonitor: this.peerMonitor,
			peers: ports.peers,
			time,
			random: ports.random,
			log,
			cycleMs: settings.placing.cycle_s * 1000,
			silentMs: settings.placing.silent_s * 1000,
			sample: settings.placing.sample,
			capS: settings.climb.cap_s,
			quota:
				this.teamAdmission && this.leaderQuota
					? { admission: this.teamAdmission, leaderQuota: this.leaderQuota }
					: null,
			decided: (attempt) => this.reports.decided(attempt),
		});
		const inOrder = (jobs: Job[]) => this.placement.inOrder(jobs);
		this.preemption = new PreemptionCycle(clusterState, this.orders, inOrder, ports.random, log);
		this.fleet = new Fleet({
			clusterState,
			cloud: ports.cloud,
			time,
			settings,
			objectives: startTimeObjectives(cluster.objectives),
			listLagMs: cluster.cloud.list_lag_s * 1000,
			leaseMs,
			requestPrefix: options.requestPrefix,
			hooks: { post, authority: active, gone: (machine) => this.machineGone(machine) },
			log,
		});
		this.takeover = new Failover({
			clusterState,
			workers: ports.workers,
			beganAt: this.beganAt,
			log,
			post,
			active,
			ended: () => this.ended,
			reconcileHeartbeat: (heartbeat) => this.reports.apply(heartbeat),
			missingFromCloudList: (id) => this.fleet.unlisted(id),
		});
		this.featureRecord = new FeatureGate({
			leaderCondition: this.leaderCondition(),
			store: ports.store,
			clock: time,
			log,
			post,
		});
		const records = this.recordsEnvironment();
		this.machineRecords = new ChunkedRecords({
			...records,
			prefix: keys.machines,
			onConfirmed: (entries) => this.machinesDurable(entries.keys()),
			pace: {
				priority: "normal",
				minIntervalMs: machineRecordsEveryMs,
				cleanupIntervalMs: machineRecordsShrinkMs,
			},
		});
		this.completion = new JobCompletion({
			leaderCondition: this.leaderCondition(),
			store: ports.store,
			time,
			log,
			records,
			post,
			ended: () => this.ended,
			jobs: () => clusterState.jobs.values(),
			jobOf: (id) => clusterState.jobs.get(id),
			finished: (job, final, revision) => {
				this.storeCopy.applyOwnWrite(keys.final(job.id), encodeFinalRecord(final), revision);
				this.jobEnded(job.id);
			},
			lostKey: () => this.lostKey(),
		});
		this.reports = new HeartbeatService({
			term,
			reportS: cluster.workers.report_s,
			clusterState,
			fleet: this.fleet,
			orders: this.orders,
			outcomes,
			unwanted,
			finishIfDone: (job) => this.completion.finishIfDone(job),
			lateness: this.lateness,
			time,
			log,
			post,
			active,
			record: (machine) => this.record(machine),
		});
		this.rebuild();
	}

	private makeAdmission(): QuotaAdmission | null {
		const { options, leaderQuota, clusterState, peerMonitor, orders } = this;
		if (!options.teamQuota || !leaderQuota) return null;
		const { node, others } = this.platform;
		return new QuotaAdmission({
			quota: options.teamQuota,
			leaderQuota,
			clusterState,
			peerMonitor,
			orders,
			nodes: [node, ...others.map((other) => other.node)],
			preemptAfterMs: options.settings.team_quota.preempt_after_s * 1000,
			servedByAll: () => this.storeCopy.features.teamQuota === true || peerMonitor.allSupportTeamQuota,
			log: this.ports.log,
		});
	}

	private get active(): boolean {
		return !this.ended && this.options.authority();
	}

	end(): void {
		this.ended = true;
		this.leaderQuota?.end();
		this.reports.refuseAll();
	}

	private leaderCondition(): StoreCondition {
		return { key: keys.leader, revision: this.term };
	}

	private recordsEnvironment(): ChunkedRecordsEnvironment {
		const { store, clock: time, log, post } = this.ports;
		const { value_kb, txn_ops } = this.platform.cluster.state;
		return {
			leaderCondition: this.leaderCondition(),
			maxChunkBytes: Math.floor(value_kb * 1024 * valuePart),
			maxChangesPerWrite: txn_ops,
			store,
			post,
			now: () => time.now(),
			onLeaderKeyLost: () => this.lostKey(),
			onWriteFailed: (error) => log.debug({ err: String(error) }, "records not written"),
			onChunksRejected: (tooLarge, mostBytes) =>
				log.error({ keys: tooLarge, mostBytes }, "store rejected values: splitting them"),
		};
	}

	private lostKey(): void {
		if (!this.ended) this.options.resign("leader key changed");
	}

	// --- rebuilding ---

	/** Jobs come from the store; machines that may hold tasks are hidden until heard or waited out. */
	private rebuild(): void {
		const { clusterState, storeCopy, ports } = this;
		this.completion.load(storeCopy.progressChunks);
		for (const [id, record] of storeCopy.jobs) this.loadJob(id, record);
		this.machineRecords.load(storeCopy.machineChunks);
		for (const { value } of storeCopy.machineChunks.values()) {
			for (const [id, record] of Object.entries(value.entries))
				this.loadMachine(id, decodeMachineRecord(record));
		}
		if (storeCopy.machineRecordsMalformed) this.takeover.waitOutMalformedRecords();
		this.takeover.sendProbes(false);
		ports.log.info(
			{ term: this.term, jobs: clusterState.jobs.size, machines: clusterState.machines.size },
			"failover started",
		);
	}

	private loadMachine(id: string, record: MachineRecord): void {
		if (this.clusterState.machines.has(id)) return;
		const type =
			this.clusterState.machineTypes.get(record.machineType) ?? unknownMachineType(record.machineType);
		const machine = new Machine(
			{ id, type, zone: record.zone, spot: record.spot, origin: "record" },
			this.beganAt,
		);
		this.clusterState.machines.set(id, machine);
		machine.agent.endpointLearned(record.endpoint);
		this.takeover.markUnreconciled(machine, record.agentEpoch);
	}

	private loadJob(id: string, { value: { spec, acceptedAt: at }, revision }: Versioned<JobRecord>): void {
		const job = this.clusterState.addJob(id, spec, at, revision);
		for (const [page, bits] of this.storeCopy.donePagesOf(id)) {
			job.doneTasks.addPage(page, bits);
			job.durableDoneTasks.addPage(page, bits);
		}
		job.loadedAt = this.ports.clock.now();
		job.resetWaitingTasks();
		const { jobClass, team, taskCount: tasks, estimatedRunS, deadlineS } = spec;
		this.ports.log.debug({ job: id, jobClass, team, tasks, estimatedRunS, dueS: deadlineS }, "job loaded");
		this.completion.finishIfDone(job);
	}

	// --- reports ---

	/** null: this process may not answer for the controllers. */
	handleHeartbeat(report: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		return this.reports.handle(report);
	}

	/** Prices move, and types may come and go. */
	typesRefreshed(types: MachineType[]): void {
		for (const type of types) this.clusterState.machineTypes.set(type.name, type);
	}

	/** Who receives the machine's reports: another controller, or null for this one. */
	forwarderFor(id: string): string | null {
		return this.peerMonitor.forwarderFor(id, this.ports.clock.now());
	}

	// --- machines ---

	/** A machine's record is written before the first start is sent to it. */
	private record(machine: Machine): void {
		if (this.machineRecords.has(machine.id)) return;
		const { agent, type, zone, spot } = machine;
		this.machineRecords.set(
			machine.id,
			encodeMachineRecord({
				endpoint: agent.endpoint,
				machineType: type.name,
				zone,
				spot,
				agentEpoch: agent.epoch,
			}),
		);
		this.machineRecords.flush();
	}

	private machinesDurable(ids: Iterable<string>): void {
		for (const id of ids) {
			const machine = this.clusterState.machines.get(id);
			machine?.lifecycle.markRecorded();
		}
		this.clusterState.placementDue = true;
	}

	private machineGone(machine: Machine): void {
		const held = this.clusterState.removeMachine(machine);
		this.ports.log.info({ machine: machine.id, held }, "machine deleted");
		this.reports.machineGone(machine);
		// A record left behind only makes a later leader wait for a machine that is gone.
		this.machineRecords.delete(machine.id);
	}

	// --- jobs ---

	/**
	 * What is in the local copy and what this leader works on must be the same jobs. Should a
	 * change ever be missed, or the end of a job get stuck, it is mended here.
	 */
	private audit(now: number): void {
		if (now < this.nextAudit) return;
		this.nextAudit = now + auditEveryMs;
		const { jobs } = this.storeCopy;
		for (const id of jobs.keys()) if (!this.clusterState.jobs.has(id)) this.jobChanged(id);
		for (const [id, job] of [...this.clusterState.jobs]) {
			if (!jobs.has(id)) this.jobEnded(id);
			else if (job.finalizing && now - job.finalizingAt > auditEveryMs) this.completion.writeFinal(job);
		}
	}

	/** A job appeared in the local copy, or left it. */
	jobChanged(id: string): void {
		if (this.ended) return;
		const record = this.storeCopy.jobs.get(id);
		if (!record) this.jobEnded(id);
		else if (!this.clusterState.jobs.has(id)) this.loadJob(id, record);
	}

	private jobEnded(id: string): void {
		const job = this.clusterState.jobs.get(id);
		if (!job) return;
		this.completion.forget(job);
		const still = this.clusterState.removeJob(job);
		if (still.length > 0) this.ports.log.info({ job: id, running: still.length }, "job over: stopping tasks");
		if (this.active) this.orders.stop(still);
	}

	// --- time ---

	/** The process stood still; see `Controller.stalled`. */
	stalled(stalledMs: number): void {
		const now = this.ports.clock.now();
		this.lateness.onProcessPause(now);
		this.reports.refuseAll();
		this.takeover.onProcessPause(stalledMs);
		this.placement.stalled();
	}

	tick(): void {
		if (!this.active) return;
		const now = this.ports.clock.now();
		this.lateness.observe(now);
		this.takeover.tick(now, this.lateness.overloaded);
		this.watch.tick(now, this.lateness.overloaded);
		this.fleet.tick();
		this.machineRecords.flush();
		this.completion.tick(now);
		this.peerMonitor.tick(now, () => this.runningCounts());
		this.audit(now);
		this.teamAdmission?.tick(now);
		if (this.reports.anyWaiting(now)) this.clusterState.placementDue = true;
		this.preemption.tick(now);
		this.relocation.tick(now);
		this.maybePlace();
		if (this.clusterState.attemptNumbersExhausted) this.options.resign("attempt numbers exhausted");
	}

	/** Tasks running by job, for users to see at any node. */
	private runningCounts(): [string, number][] {
		const counts: [string, number][] = [];
		for (const job of this.clusterState.jobs.values())
			if (job.attempts.size > 0) counts.push([job.id, job.runningCount]);
		return counts;
	}

	runningCount(id: string): number {
		return this.clusterState.jobs.get(id)?.runningCount ?? 0;
	}

	// --- placing ---

	/** After each batch of commands. */
	maybePlace(): void {
		if (!this.active) return;
		const now = this.ports.clock.now();
		this.placement.run(now);
		for (const machine of this.clusterState.relocationTargets) this.reports.assign(machine);
		this.clusterState.relocationTargets.clear();
		if (this.placement.settled) {
			this.reports.sendAssigned(now);
			if (!this.clusterState.placementDue) this.reports.releaseWaiting();
		}
		this.reports.endBatch();
	}

	// --- other controllers ---

	peerMessage(from: string, message: PeerMessage): void {
		if (this.ended || message.term !== this.term) return;
		const now = this.ports.clock.now();
		this.peerMonitor.messageReceived(from, now);
		if (message.kind === "placement-proposal") this.placement.proposed(from, message, now);
		if (message.kind !== "leader-heartbeat-reply") return;
		this.peerMonitor.heartbeatReplyReceived(from, message, now);
		if (message.teamQuota !== undefined) this.leaderQuota?.heard(from, message.teamQuota);
		if (this.active) this.recordFeatures();
	}

	private recordFeatures(): void {
		const { allSupportServiceJobs: allServeStanding, allSupportTeamQuota: allServeQuota } = this.peerMonitor;
		this.featureRecord.recordSupport(this.storeCopy.features, {
			serviceJobs: allServeStanding,
			teamQuota: allServeQuota && this.leaderQuota !== null,
		});
	}
}
