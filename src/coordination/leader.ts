/** One term of leadership, from its beginning to its end. */

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
import type { Failover } from "./leadership/failover.js";
import type { FailureDetector } from "./leadership/failure-detector.js";
import type { FeatureGate } from "./leadership/feature-gate.js";
import type { PlacementCycle } from "./placement/placement-cycle.js";
import type { QuotaAdmission } from "./placement/quota-admission.js";
import type { Clock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import type { LeaderQuotaPort } from "./ports/team-quota.js";
import type { PreemptionCycle } from "./preemption/preemption-cycle.js";
import type { TickDelay } from "./runtime/tick-delay.js";
import type { ClusterState } from "./state/cluster-state.js";
import type { TermAuthority } from "./state/term-authority.js";
import type { HeartbeatHandler } from "./workers/heartbeat-router.js";
import type { HeartbeatService } from "./workers/heartbeat-service.js";
import type { LeaseMonitor } from "./workers/lease-monitor.js";
import type { MachineRecords } from "./workers/machine-records.js";

/** The parts that work for a leader in its term; `leader-composition.ts` builds them. */
export interface LeaderParts {
	authority: TermAuthority;
	/** Steady time at which the term began. */
	beganAt: number;
	clusterState: ClusterState;
	replica: StoreReplica;
	liveJobs: LiveJobs;
	machineRecords: MachineRecords;
	failover: Failover;
	failureDetector: FailureDetector;
	featureGate: FeatureGate;
	heartbeats: HeartbeatService;
	leaseMonitor: LeaseMonitor;
	fleet: Fleet;
	placement: PlacementCycle;
	preemption: PreemptionCycle;
	relocation: ReplicaRelocation;
	/** Team quota; null: this leader's own check of limits stands alone. */
	leaderQuota: LeaderQuotaPort | null;
	quotaAdmission: QuotaAdmission | null;
	tickDelay: TickDelay;
	clock: Clock;
	log: Log;
}

/**
 * The leader of one term. It reconciles with the machines of the leader before, answers workers' heartbeats, and
 * lets its parts decide about placement, preemption, relocation and the fleet. All of it runs in the process's
 * serial executor.
 */
export class Leader implements HeartbeatHandler {
	constructor(private readonly parts: LeaderParts) {}

	/** What this leader knows of jobs, machines and attempts. */
	get clusterState(): ClusterState {
		return this.parts.clusterState;
	}

	/**
	 * Begins the term. Jobs come from the store. Machines with a record may run tasks of an earlier leader: nothing
	 * starts before each of them has sent a heartbeat or its lease has expired.
	 */
	begin(): void {
		const { authority, clusterState, replica, liveJobs, machineRecords, failover, log } = this.parts;
		liveJobs.loadAll();
		machineRecords.load(replica.machineChunks);
		for (const { value } of replica.machineChunks.values())
			for (const [id, stored] of Object.entries(value.entries))
				this.loadMachine(id, decodeMachineRecord(stored));
		if (replica.machineRecordsMalformed) failover.blockStartsUntilLeasesExpire();
		failover.sendProbes(false);
		const { jobs, machines } = clusterState;
		log.info({ term: authority.term, jobs: jobs.size, machines: machines.size }, "failover started");
	}

	private loadMachine(id: MachineId, record: MachineRecord): void {
		const { clusterState, failover, beganAt } = this.parts;
		if (clusterState.machines.has(id)) return;
		const { machineType, zone, spot, endpoint, agentEpoch } = record;
		const type = clusterState.machineTypes.get(machineType) ?? unknownMachineType(machineType);
		const machine = new Machine({ id, type, zone, spot, origin: "record" }, beganAt);
		clusterState.addMachine(machine);
		machine.agent.endpointLearned(endpoint);
		failover.markUnreconciled(machine, agentEpoch);
	}

	/** Ends the term: nothing is decided or answered any more. */
	end(): void {
		this.parts.authority.end();
		this.parts.leaderQuota?.end();
		this.parts.heartbeats.refuseAll();
	}

	/** Called every `tickMs`. */
	tick(): void {
		const { parts } = this;
		if (!parts.authority.active) return;
		const now = parts.clock.now();
		parts.tickDelay.observe(now);
		parts.failover.tick(now, parts.tickDelay.overloaded);
		parts.leaseMonitor.tick(now, parts.tickDelay.overloaded);
		parts.fleet.tick();
		parts.machineRecords.flush();
		parts.liveJobs.writeProgress(now);
		parts.failureDetector.tick(now, () => this.runningTaskCounts());
		parts.liveJobs.audit(now);
		parts.quotaAdmission?.tick(now);
		if (parts.heartbeats.anyTaskReady(now)) parts.clusterState.requestPlacement();
		parts.preemption.tick(now);
		parts.relocation.tick(now);
		this.place();
		if (parts.clusterState.attemptNumbersExhausted) parts.authority.resign("attempt numbers exhausted");
	}

	/** Places what waits, and sends what was decided. Called after each batch of actions. */
	place(): void {
		const { authority, clusterState, heartbeats, placement, clock } = this.parts;
		if (!authority.active) return;
		const now = clock.now();
		placement.run(now);
		for (const machine of clusterState.consumeRelocationTargets()) heartbeats.onRelocatedTo(machine);
		if (placement.settled) {
			heartbeats.sendAssigned(now);
			if (!clusterState.placementRequested) heartbeats.releaseForPlacement();
		}
		heartbeats.onBatchEnd();
	}

	/**
	 * The process stood still while its clocks ran on: see `Controller.onProcessPause`.
	 *
	 * @param pausedMs How long it stood still.
	 */
	onProcessPause(pausedMs: number): void {
		const { tickDelay, heartbeats, failover, placement, clock } = this.parts;
		tickDelay.onProcessPause(clock.now());
		heartbeats.refuseAll();
		failover.onProcessPause(pausedMs);
		placement.stalled();
	}

	// --- workers ---

	/** The commands for a worker; null: this process may not answer for the controllers. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		return this.parts.heartbeats.handle(heartbeat);
	}

	/** The controller that receives the machine's heartbeats, or null for this one. */
	forwarderFor(machine: MachineId): NodeId | null {
		return this.parts.failureDetector.forwarderFor(machine, this.parts.clock.now());
	}

	/** The cloud has named its machine types: prices change, and types come and go. */
	machineTypesRefreshed(types: MachineType[]): void {
		this.parts.clusterState.updateMachineTypes(types);
	}

	// --- jobs ---

	/** A job appeared in the replica, or left it. */
	jobChanged(id: JobId): void {
		this.parts.liveJobs.replicaChanged(id);
	}

	/** Tasks of the job that run. */
	runningCount(id: JobId): number {
		return this.parts.clusterState.jobs.get(id)?.runningCount ?? 0;
	}

	/** Running tasks by job, for users who ask other controllers. */
	private runningTaskCounts(): RunningTaskCount[] {
		const counts: RunningTaskCount[] = [];
		for (const job of this.parts.clusterState.jobs.values())
			if (job.attempts.size > 0) counts.push([job.id, job.runningCount]);
		return counts;
	}

	// --- other controllers ---

	/** A message of another controller to the leader of a term. */
	peerMessage(from: NodeId, message: PeerMessage): void {
		const { authority, failureDetector, placement, leaderQuota, clock } = this.parts;
		if (authority.ended || message.term !== authority.term) return;
		const now = clock.now();
		failureDetector.messageReceived(from, now);
		if (message.kind === "placement-proposal") placement.proposed(from, message, now);
		if (message.kind !== "leader-heartbeat-reply") return;
		failureDetector.heartbeatReplyReceived(from, message, now);
		if (message.teamQuota !== undefined) leaderQuota?.handleReply(from, message.teamQuota);
		if (authority.active) this.recordFeatures();
	}

	/** Records what every controller supports by now, for good. */
	private recordFeatures(): void {
		const { featureGate, failureDetector, leaderQuota, replica } = this.parts;
		featureGate.recordSupport(replica.features, {
			serviceJobs: failureDetector.allSupportServiceJobs,
			teamQuota: failureDetector.allSupportTeamQuota && leaderQuota !== null,
		});
	}
}
