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
import { placeFirstFit, sampleOf } from "./first-fit.js";
import { grantsFor, type TeamGrant } from "./grants.js";
import { servingOrder } from "./job-order.js";
import { MachineReservations } from "./machine-reservations.js";
import type { QuotaAdmission } from "./quota-admission.js";

/** A job that its placer does not know is placed by the leader for so long. */
const placedHereMs = 5000;
/** So long after the leader a placer may come to know a job, where team quota is in use. */
const copyLagMs = 1000;
/** Stands for no bound on tasks where a machine is not on trial. */
const manySlots = 100_000;

interface Outstanding {
	cycle: number;
	sentAt: number;
}

export interface PlacementOptions {
	/** This node. */
	self: string;
	clusterState: ClusterState;
	peerMonitor: FailureDetector;
	peers: PeerMessenger;
	time: Clock;
	random: RandomGenerator;
	log: Log;
	/** Least time between cycles, silence after which a placer is given up, machines in a view. */
	cycleMs: number;
	silentMs: number;
	sample: number;
	/** Most remaining seconds that a task is counted for. */
	capS: number;
	/** Team quota, where it is in use. */
	quota: { admission: QuotaAdmission; leaderQuota: LeaderQuotaPort } | null;
	/** A start was decided; it goes out with the answer to the machine's report. */
	decided(attempt: Attempt): void;
}

/**
 * Shares out what waits: the leader decides how much of each job may start, each team's placer
 * proposes where, and every single start is checked against the leader's own tables.
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
			(machines, most) => sampleOf(machines, most, options.random),
			options.log,
		);
	}

	/** No placer is being waited for. */
	get settled(): boolean {
		return this.outstanding.size === 0;
	}

	/** After each batch of commands. */
	run(now: number): void {
		if (!this.clusterState.placementRequested || now < this.nextAt) return;
		this.clusterState.clearPlacementRequest();
		this.nextAt = now + this.options.cycleMs;
		if (this.clusterState.reconciled) this.place(now);
	}

	/** The process stood still: proposals for tables of before are not waited for, and nobody was silent. */
	stalled(): void {
		this.outstanding.clear();
		this.clusterState.requestPlacement();
	}

	inOrder(jobs: Job[]): Job[] {
		const { quotas, schedulableCpus: cpus } = this.clusterState;
		const teams = new Set(jobs.map((job) => job.spec.team)).size;
		return servingOrder(
			jobs,
			(team) => quotas.quotaOf(team),
			this.options.time.date().getTime(),
			cpus > 0 ? cpus / Math.max(1, teams) : Number.POSITIVE_INFINITY,
		);
	}

	private place(now: number): void {
		this.giveUpSilent(now);
		for (const attempt of this.reserved.update(now, this.options.time.date().getTime()))
			this.options.decided(attempt);
		this.admitHere(now);
		const views = this.views();
		if (views.length === 0) return;
		const shares = this.shares(this.grants(views, now), now);
		if (shares.size === 0) return;
		this.cycle += 1;
		const order = [...shares.keys()].sort();
		for (const [placer, grants] of shares) {
			// Placers begin at different machines so that they seldom want the same place.
			const start = Math.floor((order.indexOf(placer) * views.length) / order.length);
			if (placer === this.options.self) this.placeHere(views, grants, start);
			else this.request(placer, views, grants, start, now);
		}
	}

	/** This node itself starts what waits on reserved machines and what its placer does not know. */
	private admitHere(now: number): void {
		const { quota } = this.options;
		if (!quota?.admission.on) return;
		const needs = this.reserved.startable().map((job) => ({ job, tasks: 1 }));
		for (const job of this.clusterState.jobs.values())
			if (job.placedByLeaderUntil > now && job.waitingTasks.length > 0)
				needs.push({ job, tasks: job.waitingTasks.length });
		quota.admission.admitHere(needs);
	}

	private placer(job: Job, live: readonly string[], now: number): string | null {
		const { self, quota } = this.options;
		const here = job.placedByLeaderUntil > now;
		if (here && (!quota?.admission.on || quota.admission.mayPlaceHere(job))) return self;
		const preferred = ownerOf(job.spec.team, live) ?? self;
		return quota?.admission.on ? quota.admission.placerFor(job, preferred, live) : preferred;
	}

	private giveUpSilent(now: number): void {
		for (const [node, { sentAt }] of this.outstanding) {
			if (now - sentAt <= this.options.silentMs) continue;
			this.outstanding.delete(node);
			this.options.peerMonitor.markUnresponsive(node);
		}
	}

	/** Cheap cores fill first, so that dear machines are the ones to run empty and go back. */
	private views(): MachineCapacity[] {
		const open = [...this.clusterState.machines.values()].filter(
			(m) => m.schedulable && m.capacity.freeCpus > 0 && m.capacity.reservedFor === null,
		);
		return sampleOf(open, this.options.sample, this.options.random)
			.sort((a, b) => pricePerCpu(a) - pricePerCpu(b) || b.capacity.freeCpus - a.capacity.freeCpus)
			.map(capacityOf);
	}

	private grants(views: MachineCapacity[], now: number): TeamGrant[] {
		const waiting = [...this.clusterState.jobs.values()].filter(
			(job) => job.hasReadyTask(now) && !job.finalizing,
		);
		return grantsFor(this.clusterState, this.inOrder(waiting), views, {
			now,
			date: this.options.time.date().getTime(),
		});
	}

	private shares(grants: TeamGrant[], now: number): Map<string, Grant[]> {
		const live = this.options.peerMonitor.liveControllers(now);
		const shares = new Map<string, Grant[]>();
		for (const { grant } of grants) {
			const job = this.clusterState.jobs.get(grant.jobId);
			const placer = job ? this.placer(job, live, now) : null;
			if (placer === null) continue;
			// A placer still at work on the last view may be using its teams' room already.
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
		this.issue(placements, this.options.self);
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
		const quota = options.quota?.admission.on ? options.quota.leaderQuota.nextUpdate(placer) : undefined;
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

	/** Of an older cycle than the one asked for, a proposal is out of date. */
	proposed(from: string, proposal: PlacementProposal, now: number): void {
		const { quota } = this.options;
		// Heard in any case: what was admitted and does not start is settled by that.
		const admitted = quota?.leaderQuota.handleReply(from, proposal.teamQuota) ?? false;
		if (this.outstanding.get(from)?.cycle !== proposal.cycle) return;
		this.outstanding.delete(from);
		if (admitted || !quota?.admission.on) this.issue(proposal.placements, from);
		// A placer that lags behind, or has missed a job, must not keep it from starting.
		for (const id of proposal.unknownJobs) {
			const job = this.clusterState.jobs.get(id);
			this.clusterState.requestPlacement();
			// What the placer may admit would have to come here first: a copy that only lags is given time.
			const lags = job !== undefined && quota?.admission.on === true && now - job.loadedAt < copyLagMs;
			if (job && !lags) job.placeByLeaderUntil(now + placedHereMs);
		}
	}

	/** Checks every proposal against the leader's own tables. */
	private issue(placements: Placement[], placer: string): void {
		for (const { jobId: id, machineId, count } of placements) {
			const job = this.clusterState.jobs.get(id);
			const machine = this.clusterState.machines.get(machineId);
			if (!job || !machine) continue;
			for (let i = 0; i < count; i++) {
				const attempt = this.clusterState.assignNextTask(job, machine, placer);
				if (!attempt) break;
				this.options.decided(attempt);
			}
		}
	}
}

function pricePerCpu(machine: Machine): number {
	return machine.hourlyPrice / machine.type.cpus;
}

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
