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
const placedHereMs = 5000;
/**
 * With team quota, a job that a placer reports as unknown within this time after the leader loaded it stays with the
 * placer, whose store replica may lag this far behind.
 */
const copyLagMs = 1000;
/** The value of `MachineCapacity.slots` for machines that are not on probation: no limit on the number of tasks. */
const manySlots = 100_000;

/** A placement request whose proposal has not been received. */
interface Outstanding {
	cycle: number;
	sentAt: number;
}

export interface PlacementOptions {
	/** This node. */
	node: string;
	clusterState: ClusterState;
	failureDetector: FailureDetector;
	peers: PeerMessenger;
	clock: Clock;
	random: RandomGenerator;
	log: Log;
	/** Least time between two cycles. */
	cycleIntervalMs: number;
	/** A placer that has not answered a request within this time is marked unresponsive. */
	placerTimeoutMs: number;
	/** Limits the machines whose capacity is offered in one cycle; a random sample of more. */
	maxMachinesPerCycle: number;
	/** Limits the remaining seconds that are counted for a task. */
	capS: number;
	/** null: team quota is off. */
	quota: { admission: QuotaAdmission; leaderQuota: LeaderQuotaPort } | null;
	/** Called with each attempt that was assigned to a machine, whose start command has yet to be sent. */
	onAttemptAssigned(attempt: Attempt): void;
}

/**
 * Places waiting tasks. The leader decides how many tasks of each job may start, each team's placer proposes machines
 * for them, and the leader checks every single start against its own state.
 */
export class PlacementCycle {
	private readonly clusterState: ClusterState;
	private readonly outstanding = new Map<string, Outstanding>();
	private readonly reserved: MachineReservations;
	private cycle = 0;
	private nextAt = 0;

	constructor(private readonly options: PlacementOptions) {
		this.clusterState = options.clusterState;
		this.reserved = new MachineReservations(
			options.clusterState,
			options.capS,
			(machines, most) => randomSample(machines, most, options.random),
			options.log,
		);
	}

	/** True if no placement request is outstanding. */
	get idle(): boolean {
		return this.outstanding.size === 0;
	}

	/** Runs a cycle if one is requested and due. Called after each batch of actions. */
	run(now: number): void {
		if (!this.clusterState.placementRequested || now < this.nextAt) return;
		this.clusterState.clearPlacementRequest();
		this.nextAt = now + this.options.cycleIntervalMs;
		if (this.clusterState.reconciled) this.place(now);
	}

	/**
	 * Discards the outstanding requests after a process pause: their proposals would be for the state before the pause,
	 * and placers that seem to have exceeded the timeout may have answered.
	 */
	onProcessPause(): void {
		this.outstanding.clear();
		this.clusterState.requestPlacement();
	}

	/** Returns the jobs in scheduling order. */
	inSchedulingOrder(jobs: Job[]): Job[] {
		const { quotas, schedulableCpus: cpus } = this.clusterState;
		const teams = new Set(jobs.map((job) => job.spec.team)).size;
		return schedulingOrder(
			jobs,
			(team) => quotas.quotaOf(team),
			this.options.clock.date().getTime(),
			cpus > 0 ? cpus / Math.max(1, teams) : Number.POSITIVE_INFINITY,
		);
	}

	private place(now: number): void {
		this.giveUpSilent(now);
		for (const attempt of this.reserved.update(now, this.options.clock.date().getTime()))
			this.options.onAttemptAssigned(attempt);
		this.admitHere(now);
		const views = this.views();
		if (views.length === 0) return;
		const shares = this.shares(this.grants(views, now), now);
		if (shares.size === 0) return;
		this.cycle += 1;
		const order = [...shares.keys()].sort();
		for (const [placer, grants] of shares) {
			// Placers start at different machines, so that they seldom propose the same capacity.
			const start = Math.floor((order.indexOf(placer) * views.length) / order.length);
			if (placer === this.options.node) this.placeHere(views, grants, start);
			else this.request(placer, views, grants, start, now);
		}
	}

	/**
	 * Requests allotments for the tasks that the leader's own node admits: those that fit on reserved machines, and those
	 * of jobs that their placers do not know.
	 */
	private admitHere(now: number): void {
		const { quota } = this.options;
		if (!quota?.admission.enabled) return;
		const needs = this.reserved.startableJobs().map((job) => ({ job, tasks: 1 }));
		for (const job of this.clusterState.jobs.values())
			if (job.placedByLeaderUntil > now && job.waitingTasks.length > 0)
				needs.push({ job, tasks: job.waitingTasks.length });
		quota.admission.updateLeaderDemands(needs);
	}

	/** Returns the controller that places the job in this cycle; null: none can admit a task of it now. */
	private placer(job: Job, live: readonly string[], now: number): string | null {
		const { node: self, quota } = this.options;
		const here = job.placedByLeaderUntil > now;
		if (here && (!quota?.admission.enabled || quota.admission.leaderCanAdmit(job))) return self;
		const preferred = ownerOf(job.spec.team, live) ?? self;
		return quota?.admission.enabled ? quota.admission.placerFor(job, preferred, live) : preferred;
	}

	/** Drops outstanding requests that have timed out, and marks their placers unresponsive. */
	private giveUpSilent(now: number): void {
		for (const [node, { sentAt }] of this.outstanding) {
			if (now - sentAt <= this.options.placerTimeoutMs) continue;
			this.outstanding.delete(node);
			this.options.failureDetector.markUnresponsive(node);
		}
	}

	/**
	 * Returns the free capacity of the schedulable machines, or of a sample of them. Machines with cheap cores come first
	 * and so are filled first, so that expensive machines run empty and can be deleted.
	 */
	private views(): MachineCapacity[] {
		const open = [...this.clusterState.machines.values()].filter(
			(m) => m.schedulable && m.capacity.freeCpus > 0 && m.capacity.reservedFor === null,
		);
		return randomSample(open, this.options.maxMachinesPerCycle, this.options.random)
			.sort((a, b) => pricePerCpu(a) - pricePerCpu(b) || b.capacity.freeCpus - a.capacity.freeCpus)
			.map(capacityOf);
	}

	private grants(views: MachineCapacity[], now: number): TeamGrant[] {
		const waiting = [...this.clusterState.jobs.values()].filter(
			(job) => job.hasReadyTask(now) && !job.finalizing,
		);
		return computeGrants(this.clusterState, this.inSchedulingOrder(waiting), views, {
			monotonicMs: now,
			wallClockMs: this.options.clock.date().getTime(),
		});
	}

	private shares(grants: TeamGrant[], now: number): Map<string, Grant[]> {
		const live = this.options.failureDetector.liveControllers(now);
		const shares = new Map<string, Grant[]>();
		for (const { grant } of grants) {
			const job = this.clusterState.jobs.get(grant.jobId);
			const placer = job ? this.placer(job, live, now) : null;
			if (placer === null) continue;
			// A placer with an outstanding request may already be proposing tasks within the same quota.
			if (this.outstanding.has(placer)) continue;
			const share = shares.get(placer);
			if (share) share.push(grant);
			else shares.set(placer, [grant]);
		}
		return shares;
	}

	private placeHere(views: MachineCapacity[], grants: Grant[], start: number): void {
		const copy = views.map((view) => ({ ...view }));
		const placements = placeFirstFit(copy, grants, (id) => this.clusterState.jobs.get(id)?.spec, start);
		this.issue(placements, this.options.node);
	}

	private request(
		placer: string,
		machines: MachineCapacity[],
		grants: Grant[],
		start: number,
		now: number,
	): void {
		this.outstanding.set(placer, { cycle: this.cycle, sentAt: now });
		const { cycle, clusterState, options } = this;
		const quota = options.quota?.admission.enabled ? options.quota.leaderQuota.termsFor(placer) : undefined;
		options.peers.send(placer, {
			kind: "placement-request",
			term: clusterState.term,
			cycle,
			startIndex: start,
			machines,
			grants,
			...(quota !== undefined && { teamQuota: quota }),
		});
	}

	/** Handles a placer's proposal. One that does not belong to the placer's outstanding request is out of date. */
	onProposal(from: string, proposal: PlacementProposal, now: number): void {
		const { quota } = this.options;
		// Handled even if the proposal is out of date: admissions for tasks that do not start are settled by it.
		const admitted = quota?.leaderQuota.heard(from, proposal.teamQuota) ?? false;
		if (this.outstanding.get(from)?.cycle !== proposal.cycle) return;
		this.outstanding.delete(from);
		if (admitted || !quota?.admission.enabled) this.issue(proposal.placements, from);
		// A job must not be prevented from starting by a placer whose store replica lags behind or lacks it.
		for (const id of proposal.unknownJobs) {
			const job = this.clusterState.jobs.get(id);
			this.clusterState.requestPlacement();
			// The leader would need an allotment of its own first, so a replica that may only lag is given time.
			const lags = job !== undefined && quota?.admission.enabled === true && now - job.loadedAt < copyLagMs;
			if (job && !lags) job.placeByLeaderUntil(now + placedHereMs);
		}
	}

	/** Assigns the proposed tasks, each of which is checked against the leader's own state. */
	private issue(placements: Placement[], placer: string): void {
		for (const { jobId: id, machineId, count } of placements) {
			const job = this.clusterState.jobs.get(id);
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

function pricePerCpu(machine: Machine): number {
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
		slots: machine.health.onProbation ? Math.max(0, 1 - machine.attempts.size) : manySlots,
		images: [...machine.capacity.images],
	};
}
