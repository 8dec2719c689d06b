import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { FailureDetector } from "../leadership/failure-detector.js";
import type { Log } from "../ports/log.js";
import type { LeaderQuotaPort, TeamQuotaPort } from "../ports/team-quota.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";

const limitsEveryMs = 500;
const scrubEveryMs = 10_000;

export interface QuotaAdmissionOptions {
	quota: TeamQuotaPort;
	leaderQuota: LeaderQuotaPort;
	clusterState: ClusterState;
	peerMonitor: FailureDetector;
	orders: DirectCommandSender;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** What runs above a lowered limit is stopped after this; 0: never. */
	preemptAfterMs: number;
	/** Every controller has said that it takes part, now or under an earlier leader. */
	servedByAll(): boolean;
	log: Log;
}

/**
 * The leader's use of team quota in one term: which controller admits a team's work, what this one
 * admits itself, and what a lowered limit stops. Until every controller takes part the leader's own
 * check of limits stands alone.
 */
export class QuotaAdmission {
	private started = false;
	/** Controllers that place, as of the last change. */
	private placers: readonly string[] = [];
	private nextLimitsAt = 0;
	private nextScrubAt = 0;
	/** What this node has asked for itself, by team. */
	private needs = new Map<string, Job>();
	/** Steady time since which a team has run above a lower limit. */
	private readonly excessSince = new Map<string, number>();

	constructor(private readonly options: QuotaAdmissionOptions) {}

	/** Whether starts need an allotment. */
	get on(): boolean {
		return this.started;
	}

	/** Called often, with authority. */
	tick(now: number): void {
		if (!this.started) this.considerStart();
		if (!this.started) return;
		this.preferPlacers(now);
		this.options.leaderQuota.tick();
		this.scrub(now);
		if (now < this.nextLimitsAt) return;
		this.nextLimitsAt = now + limitsEveryMs;
		for (const team of [...this.options.clusterState.quotas.teams]) this.followLimit(team, now);
	}

	/** The leader's own count and the charges are kept apart, so each shows a fault of the other. */
	private scrub(now: number): void {
		if (now < this.nextScrubAt) return;
		this.nextScrubAt = now + scrubEveryMs;
		const { quotas } = this.options.clusterState;
		this.options.leaderQuota.verifyCharges(
			[...quotas.teams].map((team) => ({ team, ...quotas.usage(team) })),
		);
	}

	/** Only once all that may run is known, so that it can be charged. */
	private considerStart(): void {
		const { clusterState, leaderQuota, log } = this.options;
		if (!clusterState.reconciled || !this.options.servedByAll()) return;
		this.started = true;
		clusterState.enableAdmissionControl(leaderQuota);
		leaderQuota.start();
		log.info({}, "team quota enabled");
	}

	/** Allotments follow the placers, which change when controllers come and go. */
	private preferPlacers(now: number): void {
		const { clusterState, peerMonitor, leaderQuota, nodes } = this.options;
		const live = peerMonitor.liveControllers(now);
		if (live.join() === this.placers.join()) return;
		this.placers = live;
		for (const team of clusterState.quotas.teams)
			leaderQuota.setPreferredHolder(team, ownerOf(team, live) ?? leaderQuota.node, nodes);
	}

	/** Who can admit a task of the job now: its team's placer, or another that still holds an allotment. */
	placerFor(job: Job, preferred: string, live: readonly string[]): string | null {
		const demand = taskDemandOf(job.spec);
		const { leaderQuota } = this.options;
		if (leaderQuota.canAdmit(demand, preferred)) return preferred;
		return live.find((node) => leaderQuota.canAdmit(demand, node)) ?? null;
	}

	mayPlaceHere(job: Job): boolean {
		return this.options.leaderQuota.canAdmit(taskDemandOf(job.spec), this.options.leaderQuota.node);
	}

	/** Tasks that this node itself has to admit, since nobody else can place them: one job of each team. */
	admitHere(needed: Iterable<{ job: Job; tasks: number }>): void {
		const needs = new Map<string, Job>();
		for (const { job, tasks } of needed) {
			if (needs.has(job.spec.team)) continue;
			needs.set(job.spec.team, job);
			this.need(job, tasks);
		}
		for (const [team, job] of this.needs) if (!needs.has(team)) this.need(job, 0);
		this.needs = needs;
	}

	/** What this node places for a team anyway is not asked for apart. */
	private need(job: Job, tasks: number): void {
		const { leaderQuota } = this.options;
		if (ownerOf(job.spec.team, this.placers) !== leaderQuota.node)
			leaderQuota.setLeaderDemand(taskDemandOf(job.spec), tasks);
	}

	// --- limits ---

	/** The leader's own check goes by the limit that allotments go by. */
	private followLimit(team: string, now: number): void {
		const { quota, clusterState, leaderQuota } = this.options;
		const limits = quota.effectiveLimits(team);
		if (limits) clusterState.quotas.setQuota(limits);
		const excess = leaderQuota.excessOverPendingLimit(team);
		if (!excess) {
			this.excessSince.delete(team);
			return;
		}
		const since = this.excessSince.get(team) ?? now;
		this.excessSince.set(team, since);
		const { preemptAfterMs } = this.options;
		if (preemptAfterMs > 0 && now - since >= preemptAfterMs) this.stopExcess(team, excess);
	}

	/** The latest starts of the least rank end first. */
	private stopExcess(team: string, excess: { cpus: number; gpus: number }): void {
		const { clusterState, orders, log } = this.options;
		const running = [...clusterState.jobs.values()]
			.filter((job) => job.spec.team === team)
			.flatMap((job) => [...job.attempts.values()])
			.sort((a, b) => b.job.rank - a.job.rank || b.number - a.number);
		const left = { ...excess };
		const stopped: Attempt[] = [];
		for (const attempt of running) {
			if (left.cpus <= 0 && left.gpus <= 0) break;
			const { cpus, gpus, checkpointCostS } = attempt.job.spec;
			left.cpus -= cpus;
			left.gpus -= gpus;
			if (attempt.stop !== null) continue;
			attempt.requestStop("team limit lowered", checkpointCostS);
			stopped.push(attempt);
		}
		if (stopped.length === 0) return;
		log.info({ team, tasks: stopped.length }, "stopping tasks above a lowered limit");
		orders.stop(stopped);
	}
}
