/** The leader of one term. */

import { Machine, unknownMachineType } from "../bookkeeping/machine.js";
import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { JobId, MachineId, NodeId } from "../protocol/model/identifiers.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { WorkerCommand, WorkerHeartbeat } from "../protocol/model/worker.js";
import type { PeerMessage, RunningTaskCount } from "../protocol/peer/messages.js";
import { decodeMachineRecord, type MachineRecord } from "../protocol/records/machine-record.js";
import type { Fleet } from "./fleet/fleet.js";
import type { ReplicaRelocation } from "./fleet/replica-relocation.js";
import type { LiveJobs } from "./jobs/live-jobs.js";
import type { AttemptRangeReservation } from "./leadership/attempt-range-reservation.js";
import type { Failover } from "./leadership/failover.js";
import type { FailureDetector } from "./leadership/failure-detector.js";
import type { FeatureGate } from "./leadership/feature-gate.js";
import { megabytes } from "./memory-report.js";
import type { PlacementCycle } from "./placement/placement-cycle.js";
import type { QuotaAdmission } from "./placement/quota-admission.js";
import type { Clock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import type { ProcessMemory } from "./ports/process-memory.js";
import type { LeaderQuotaPort } from "./ports/team-quota.js";
import type { PreemptionCycle } from "./preemption/preemption-cycle.js";
import type { TickDelay } from "./runtime/tick-delay.js";
import type { ClusterState } from "./state/cluster-state.js";
import type { TermAuthority } from "./state/term-authority.js";
import type { HeartbeatHandler } from "./workers/heartbeat-router.js";
import type { HeartbeatService } from "./workers/heartbeat-service.js";
import type { LeaseMonitor } from "./workers/lease-monitor.js";
import type { MachineRecords } from "./workers/machine-records.js";

/** The components of a leader; `leader-composition.ts` builds them. */
export interface LeaderComponents {
	authority: TermAuthority;
	/** Monotonic time at which the term began. */
	termStartedAt: number;
	clusterState: ClusterState;
	replica: StoreReplica;
	liveJobs: LiveJobs;
	machineRecords: MachineRecords;
	failover: Failover;
	failureDetector: FailureDetector;
	attemptRange: AttemptRangeReservation;
	featureGate: FeatureGate;
	heartbeats: HeartbeatService;
	leaseMonitor: LeaseMonitor;
	fleet: Fleet;
	placement: PlacementCycle;
	preemption: PreemptionCycle;
	relocation: ReplicaRelocation;
	/** null: team quota is off, and only the leader itself checks team limits. */
	leaderQuota: LeaderQuotaPort | null;
	quotaAdmission: QuotaAdmission | null;
	tickDelay: TickDelay;
	clock: Clock;
	memory: ProcessMemory;
	log: Log;
}

/**
 * The leader of one term. It reconciles the machines of the previous leader, responds to heartbeats, and drives
 * the components that decide about placement, preemption, relocation and the fleet. All of its methods run in the
 * process's serial executor.
 */
export class Leader implements HeartbeatHandler {
	constructor(private readonly components: LeaderComponents) {}

	/** This leader's state of jobs, machines and attempts. */
	get clusterState(): ClusterState {
		return this.components.clusterState;
	}

	/**
	 * Begins the term. Jobs are loaded from the store. Machines with a record may run tasks of an earlier leader: no
	 * task starts before each of them has sent a heartbeat or its lease has expired.
	 */
	begin(): void {
		const { authority, clusterState, replica, liveJobs, machineRecords, failover, clock, memory, log } =
			this.components;
		const loadStartedAt = clock.now();
		liveJobs.loadAll();
		machineRecords.load(replica.machineChunks);
		for (const { value } of replica.machineChunks.values())
			for (const [id, stored] of Object.entries(value.entries))
				this.loadMachine(id, decodeMachineRecord(stored));
		if (replica.machineRecordsMalformed) failover.blockStartsUntilLeasesExpire();
		failover.sendProbes(false);
		const { jobs, machines } = clusterState;
		const loadMs = Math.round(clock.now() - loadStartedAt);
		const heapUsedMb = megabytes(memory.heapUsedBytes());
		log.info(
			{ term: authority.term, jobs: jobs.size, machines: machines.size, loadMs, heapUsedMb },
			"failover started",
		);
	}

	private loadMachine(id: MachineId, record: MachineRecord): void {
		const { clusterState, failover, termStartedAt } = this.components;
		if (clusterState.machines.has(id)) return;
		const { machineType, zone, spot, endpoint, agentEpoch } = record;
		const type = clusterState.machineTypes.get(machineType) ?? unknownMachineType(machineType);
		const machine = new Machine({ id, type, zone, spot, origin: "record" }, termStartedAt);
		clusterState.addMachine(machine);
		machine.agent.setInitialEndpoint(endpoint);
		failover.markUnreconciled(machine, agentEpoch);
	}

	/** Ends the term: this leader makes no more decisions and sends no more responses. */
	end(): void {
		this.components.authority.end();
		this.components.leaderQuota?.end();
		this.components.heartbeats.refuseAll();
	}

	/** Called every `tickMs`. */
	tick(): void {
		const { components } = this;
		if (!components.authority.active) return;
		const now = components.clock.now();
		components.tickDelay.observe(now);
		components.attemptRange.tick();
		components.failover.tick(now, components.tickDelay.overloaded);
		components.leaseMonitor.tick(now, components.tickDelay.overloaded);
		components.fleet.tick();
		components.machineRecords.flush();
		components.liveJobs.writeProgress(now);
		components.failureDetector.tick(now, () => this.runningTaskCounts());
		components.liveJobs.audit(now);
		components.quotaAdmission?.tick(now);
		if (components.heartbeats.anyTaskReady(now)) components.clusterState.requestPlacement();
		components.preemption.tick(now);
		components.relocation.tick(now);
		this.runPlacement();
		if (components.clusterState.attemptNumbersExhausted)
			components.authority.resign("attempt numbers exhausted");
	}

	/** Runs placement, and sends the starts that it assigned. Called after each batch of actions. */
	runPlacement(): void {
		const { authority, clusterState, heartbeats, placement, clock } = this.components;
		if (!authority.active) return;
		const now = clock.now();
		placement.run(now);
		for (const machine of clusterState.consumeRelocationTargets()) heartbeats.onRelocationAssigned(machine);
		if (placement.idle) {
			heartbeats.sendStarts(now);
			if (!clusterState.placementRequested) heartbeats.releaseAwaitingPlacement();
		}
		heartbeats.onBatchEnd();
	}

	/**
	 * Handles a process pause; see `Controller.onProcessPause`.
	 *
	 * @param pausedMs Duration of the pause.
	 */
	onProcessPause(pausedMs: number): void {
		const { tickDelay, heartbeats, failover, placement, clock } = this.components;
		tickDelay.onProcessPause(clock.now());
		heartbeats.refuseAll();
		failover.onProcessPause(pausedMs);
		placement.onProcessPause();
	}

	// --- workers ---

	/** Returns the commands for a worker; null: this process may not respond as the leader. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		return this.components.heartbeats.handle(heartbeat);
	}

	/** Returns the controller that forwards the machine's heartbeats; null: the machine sends them to this one. */
	forwarderFor(machineId: MachineId): NodeId | null {
		return this.components.failureDetector.forwarderFor(machineId, this.components.clock.now());
	}

	/** Applies the cloud's current machine types, whose prices may have changed and which may be added or removed. */
	onMachineTypesRefreshed(types: MachineType[]): void {
		this.components.clusterState.updateMachineTypes(types);
	}

	// --- jobs ---

	/** Called when a job was added to the store replica or removed from it. */
	onJobChanged(id: JobId): void {
		this.components.liveJobs.onReplicaChange(id);
	}

	/** Returns the number of running tasks of the job. */
	runningCount(id: JobId): number {
		return this.components.clusterState.jobs.get(id)?.runningCount ?? 0;
	}

	/** Returns the running tasks by job, for status requests that users send to other controllers. */
	private runningTaskCounts(): RunningTaskCount[] {
		const counts: RunningTaskCount[] = [];
		for (const job of this.components.clusterState.jobs.values())
			if (job.attempts.size > 0) counts.push([job.id, job.runningCount]);
		return counts;
	}

	// --- other controllers ---

	/** Handles a message of another controller to the leader of the message's term. */
	handlePeerMessage(from: NodeId, message: PeerMessage): void {
		const { authority, failureDetector, placement, leaderQuota, clock } = this.components;
		if (authority.ended || message.term !== authority.term) return;
		const now = clock.now();
		failureDetector.messageReceived(from, now);
		if (message.kind === "placement-proposal") placement.onProposal(from, message, now);
		if (message.kind !== "leader-heartbeat-reply") return;
		failureDetector.heartbeatReplyReceived(from, message, now);
		if (message.teamQuota !== undefined) leaderQuota?.handleReply(from, message.teamQuota);
		if (authority.active) this.recordFeatures();
	}

	/** Permanently records the features that all controllers support. */
	private recordFeatures(): void {
		const { featureGate, failureDetector, leaderQuota, replica } = this.components;
		featureGate.recordSupport(replica.features, {
			serviceJobs: failureDetector.allSupportServiceJobs,
			teamQuota: failureDetector.allSupportTeamQuota && leaderQuota !== null,
		});
	}
}
