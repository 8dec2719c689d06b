/** The leader's placement cycles, and its placement requests to other controllers. */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { Grant, MachineCapacity, Placement, PlacementProposal } from "../../protocol/peer/messages.js";
import type { FailureDetector } from "../leadership/failure-detector.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger } from "../ports/peers.js";
import type { LeaderQuotaPort } from "../ports/team-quota.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import { placeFirstFit, randomSample } from "./first-fit.js";
import { computeGrants, type TeamGrant } from "./grants.js";
import { schedulingOrder } from "./job-order.js";
import { MachineReservations } from "./machine-reservations.js";
import type { QuotaAdmission } from "./quota-admission.js";

/** The leader itself places a job for this long after its placer reported the job as unknown. */
const leaderPlacementMs = 5000;
/**
 * With team quota, a job that a placer reports as unknown within this time after the leader loaded it stays
 * with the placer, whose store replica may lag this far behind.
 */
const replicaLagMs = 1000;

/** A placement request whose proposal has not been received. */
interface OutstandingRequest {
	cycle: number;
	sentAt: number;
}

/** Dependencies and settings of placement. */
export interface PlacementOptions {
	/** This node. */
	node: string;
	clusterState: ClusterState;
	failureDetector: FailureDetector;
	peers: PeerMessenger;
	clock: Clock;
	random: RandomGenerator;
	log: Log;
	/** The minimum time between two cycles. */
	cycleIntervalMs: number;
	/** A placer that has not responded to a request within this time is marked unresponsive. */
	placerTimeoutMs: number;
	/** Maximum number of machines whose capacity is offered in one cycle: a random sample if there are more. */
	maxMachinesPerCycle: number;
	/** The maximum remaining seconds that are counted for a task. */
	maxRemainingS: number;
	/** null: team quota is off. */
	quota: { admission: QuotaAdmission; leaderQuota: LeaderQuotaPort } | null;
	/** Called with each attempt that was assigned to a machine, whose start command has yet to be sent. */
	onAttemptAssigned(attempt: Attempt): void;
}

/**
 * Places waiting tasks. The leader decides how many tasks of each job may start, each team's placer proposes
 * machines for them, and the leader checks every single start against its own state.
 */
export class PlacementCycle {
	private readonly clusterState: ClusterState;
	private readonly outstandingRequests = new Map<string, OutstandingRequest>();
	private readonly reservations: MachineReservations;
	private cycle = 0;
	private nextCycleAt = 0;

	constructor(private readonly options: PlacementOptions) {
		this.clusterState = options.clusterState;
		this.reservations = new MachineReservations(
			options.clusterState,
			options.maxRemainingS,
			(machines, maxSize) => randomSample(machines, maxSize, options.random),
			options.log,
		);
	}

	/** True if no placement request is outstanding. */
	get idle(): boolean {
		return this.outstandingRequests.size === 0;
	}

	/** Runs a cycle if one is requested and due. Called after each batch of actions. */
	run(now: number): void {
		if (!this.clusterState.placementRequested || now < this.nextCycleAt) return;
		this.clusterState.clearPlacementRequest();
		this.nextCycleAt = now + this.options.cycleIntervalMs;
		if (this.clusterState.reconciled) this.runCycle(now);
	}

	/**
	 * Discards the outstanding requests after a process pause: their proposals would be for the state before the
	 * pause, and placers that seem to have exceeded the timeout may have responded.
	 */
	onProcessPause(): void {
		this.outstandingRequests.clear();
		this.clusterState.requestPlacement();
	}

	/** Returns the jobs in scheduling order. */
	inSchedulingOrder(jobs: Job[]): Job[] {
		const { quotas, schedulableCpus } = this.clusterState;
		const teamCount = new Set(jobs.map((job) => job.spec.team)).size;
		return schedulingOrder(
			jobs,
			(team) => quotas.quotaOf(team),
			this.options.clock.date().getTime(),
			schedulableCpus > 0 ? schedulableCpus / Math.max(1, teamCount) : Number.POSITIVE_INFINITY,
		);
	}

	private runCycle(now: number): void {
		this.dropUnresponsivePlacers(now);
		for (const attempt of this.reservations.update(now, this.options.clock.date().getTime()))
			this.options.onAttemptAssigned(attempt);
		this.updateLeaderDemands(now);
		const capacities = this.sampledCapacities();
		if (capacities.length === 0) return;
		const grantsByPlacer = this.groupByPlacer(this.grantsForWaitingJobs(capacities, now), now);
		if (grantsByPlacer.size === 0) return;
		this.cycle += 1;
		const placers = [...grantsByPlacer.keys()].sort();
		for (const [placer, grants] of grantsByPlacer) {
			// Placers start at different machines, so that they seldom propose the same capacity.
			const startIndex = Math.floor((placers.indexOf(placer) * capacities.length) / placers.length);
			if (placer === this.options.node) this.placeLocally(capacities, grants, startIndex);
			else this.sendRequest(placer, capacities, grants, startIndex, now);
		}
	}

	/**
	 * Requests allotments for the tasks that the leader's own node admits: those that fit on reserved machines,
	 * and those of jobs that their placers have reported as unknown.
	 */
	private updateLeaderDemands(now: number): void {
		const { quota } = this.options;
		if (!quota?.admission.enabled) return;
		const demands = this.reservations.startableJobs().map((job) => ({ job, tasks: 1 }));
		for (const job of this.clusterState.jobs.values())
			if (job.placedByLeaderUntil > now && job.waitingTasks.count > 0)
				demands.push({ job, tasks: job.waitingTasks.count });
		quota.admission.updateLeaderDemands(demands);
	}

	/** Returns the controller that places the job in this cycle; null: none can admit a task of it now. */
	private placerFor(job: Job, liveNodes: readonly string[], now: number): string | null {
		const { node, quota } = this.options;
		const placedByLeader = job.placedByLeaderUntil > now;
		if (placedByLeader && (!quota?.admission.enabled || quota.admission.leaderCanAdmit(job))) return node;
		const preferred = ownerOf(job.spec.team, liveNodes) ?? node;
		return quota?.admission.enabled ? quota.admission.placerFor(job, preferred, liveNodes) : preferred;
	}

	/** Drops outstanding requests that have timed out, and marks their placers unresponsive. */
	private dropUnresponsivePlacers(now: number): void {
		for (const [node, { sentAt }] of this.outstandingRequests) {
			if (now - sentAt <= this.options.placerTimeoutMs) continue;
			this.outstandingRequests.delete(node);
			this.options.failureDetector.markUnresponsive(node);
		}
	}

	/**
	 * Returns the free capacity of the schedulable machines, or of a sample of them. Machines with cheap cores
	 * come first and so are filled first, so that expensive machines run empty and can be deleted.
	 */
	private sampledCapacities(): MachineCapacity[] {
		const schedulable = [...this.clusterState.machines.values()].filter(
			(m) =>
				m.schedulable && m.capacity.freeCpus > 0 && m.taskHeadroom > 0 && m.capacity.reservedForJob === null,
		);
		return randomSample(schedulable, this.options.maxMachinesPerCycle, this.options.random)
			.sort(
				(a, b) => hourlyPricePerCpu(a) - hourlyPricePerCpu(b) || b.capacity.freeCpus - a.capacity.freeCpus,
			)
			.map(capacityOf);
	}

	private grantsForWaitingJobs(capacities: MachineCapacity[], now: number): TeamGrant[] {
		const waiting = [...this.clusterState.jobs.values()].filter(
			(job) => job.hasReadyTask(now) && !job.finalizing,
		);
		return computeGrants(this.clusterState, this.inSchedulingOrder(waiting), capacities, {
			monotonicMs: now,
			wallClockMs: this.options.clock.date().getTime(),
		});
	}

	private groupByPlacer(grants: TeamGrant[], now: number): Map<string, Grant[]> {
		const liveNodes = this.options.failureDetector.liveControllers(now);
		const grantsByPlacer = new Map<string, Grant[]>();
		for (const { grant } of grants) {
			const job = this.clusterState.jobs.get(grant.jobId);
			const placer = job ? this.placerFor(job, liveNodes, now) : null;
			if (placer === null) continue;
			// A placer with an outstanding request may already be proposing tasks within the same quota.
			if (this.outstandingRequests.has(placer)) continue;
			const grantsOfPlacer = grantsByPlacer.get(placer);
			if (grantsOfPlacer) grantsOfPlacer.push(grant);
			else grantsByPlacer.set(placer, [grant]);
		}
		return grantsByPlacer;
	}

	private placeLocally(capacities: MachineCapacity[], grants: Grant[], startIndex: number): void {
		const copy = capacities.map((capacity) => ({ ...capacity }));
		const placements = placeFirstFit(copy, grants, (id) => this.clusterState.jobs.get(id)?.spec, startIndex);
		this.assignPlacements(placements, this.options.node);
	}

	private sendRequest(
		placer: string,
		machines: MachineCapacity[],
		grants: Grant[],
		startIndex: number,
		now: number,
	): void {
		this.outstandingRequests.set(placer, { cycle: this.cycle, sentAt: now });
		const { cycle, clusterState, options } = this;
		const quota = options.quota?.admission.enabled ? options.quota.leaderQuota.nextUpdate(placer) : undefined;
		options.peers.send(placer, {
			kind: "placement-request",
			term: clusterState.term,
			cycle,
			startIndex,
			machines,
			grants,
			...(quota !== undefined && { teamQuota: quota }),
		});
	}

	/** Handles a placer's proposal. One that does not belong to the placer's outstanding request is out of date. */
	onProposal(from: string, proposal: PlacementProposal, now: number): void {
		const { quota } = this.options;
		// Handled even if the proposal is out of date: admissions for tasks that do not start are settled by it.
		const admissionsValid = quota?.leaderQuota.handleReply(from, proposal.teamQuota) ?? false;
		if (this.outstandingRequests.get(from)?.cycle !== proposal.cycle) return;
		this.outstandingRequests.delete(from);
		if (admissionsValid || !quota?.admission.enabled) this.assignPlacements(proposal.placements, from);
		// A job must not be prevented from starting by a placer whose store replica lags behind or lacks it.
		for (const id of proposal.unknownJobs) {
			const job = this.clusterState.jobs.get(id);
			this.clusterState.requestPlacement();
			// The leader would need an allotment of its own first, so a replica that may only lag is given time.
			const replicaMayLag =
				job !== undefined && quota?.admission.enabled === true && now - job.loadedAt < replicaLagMs;
			if (job && !replicaMayLag) job.placeByLeaderUntil(now + leaderPlacementMs);
		}
	}

	/** Assigns the proposed tasks, each of which is checked against the leader's own state. */
	private assignPlacements(placements: Placement[], placer: string): void {
		for (const { jobId, machineId, count } of placements) {
			const job = this.clusterState.jobs.get(jobId);
			const machine = this.clusterState.machines.get(machineId);
			if (!job || !machine) continue;
			for (let i = 0; i < count; i++) {
				const attempt = this.clusterState.assignNextTask(job, machine, placer);
				if (!attempt) break;
				this.options.onAttemptAssigned(attempt);
			}
		}
	}
}

function hourlyPricePerCpu(machine: Machine): number {
	return machine.hourlyPrice / machine.type.cpus;
}

/** Returns the machine's free capacity as a placement request contains it. */
export function capacityOf(machine: Machine): MachineCapacity {
	return {
		id: machine.id,
		type: machine.type.name,
		zone: machine.zone,
		spot: machine.spot,
		cpus: machine.capacity.freeCpus,
		gpus: machine.capacity.freeGpus,
		memory: machine.capacity.freeMemoryGb,
		slots: machine.health.onProbation ? Math.max(0, 1 - machine.attempts.size) : machine.taskHeadroom,
		images: [...machine.capacity.cachedImages],
	};
}
