/** Team quota in one term of the leader. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import { compareUint64 } from "../../protocol/model/uint64.js";
import type { FailureDetector } from "../leadership/failure-detector.js";
import type { Log } from "../ports/log.js";
import type { LeaderQuotaPort, TeamQuotaPort } from "../ports/team-quota.js";
import { ownerOf } from "../sharding/rendezvous-hash.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";

const limitCheckIntervalMs = 500;
const chargeVerificationIntervalMs = 10_000;

/** Dependencies of team quota in one term. */
export interface QuotaAdmissionOptions {
	quota: TeamQuotaPort;
	leaderQuota: LeaderQuotaPort;
	clusterState: ClusterState;
	failureDetector: FailureDetector;
	commandSender: DirectCommandSender;
	/** Every node of the cluster. */
	nodes: readonly string[];
	/** Tasks of a team that has exceeded a lowered limit for this long are stopped; 0: never. */
	preemptAfterMs: number;
	/** True if every controller has reported, to this or an earlier leader, that it supports team quota. */
	supportedByAllControllers(): boolean;
	log: Log;
}

/**
 * Applies team quota in one term of the leader: decides which controller admits a team's tasks and which tasks
 * the leader's own node admits, and stops tasks above a lowered limit. Until every controller supports team
 * quota, only the leader's own check of limits applies.
 */
export class QuotaAdmission {
	private admissionStarted = false;
	/** The live controllers, among which teams are divided. */
	private placers: readonly string[] = [];
	private nextLimitCheckAt = 0;
	private nextVerificationAt = 0;
	/** By team, the job for which the leader's own node has requested an allotment. */
	private leaderDemandJobs = new Map<string, Job>();
	/** Monotonic time since which each team has exceeded a lowered limit. */
	private readonly excessSince = new Map<string, number>();

	constructor(private readonly options: QuotaAdmissionOptions) {}

	/** True if the start of a task requires an allotment. */
	get enabled(): boolean {
		return this.admissionStarted;
	}

	/** Called in each tick of the leader, while it may act. */
	tick(now: number): void {
		if (!this.admissionStarted) this.startIfReady();
		if (!this.admissionStarted) return;
		this.updatePreferredHolders(now);
		this.options.leaderQuota.tick();
		this.verifyCharges(now);
		if (now < this.nextLimitCheckAt) return;
		this.nextLimitCheckAt = now + limitCheckIntervalMs;
		for (const team of [...this.options.clusterState.quotas.teams]) this.applyLimit(team, now);
	}

	/**
	 * Compares the leader's own usage counts with the charges. Each is kept separately and reveals faults of the
	 * other.
	 */
	private verifyCharges(now: number): void {
		if (now < this.nextVerificationAt) return;
		this.nextVerificationAt = now + chargeVerificationIntervalMs;
		const { quotas } = this.options.clusterState;
		this.options.leaderQuota.verifyCharges(
			[...quotas.teams].map((team) => ({ team, ...quotas.usage(team) })),
		);
	}

	/**
	 * Enables admission, once reconciliation has found all tasks that may be running, so that they can be
	 * charged.
	 */
	private startIfReady(): void {
		const { clusterState, leaderQuota, log } = this.options;
		if (!clusterState.reconciled || !this.options.supportedByAllControllers()) return;
		this.admissionStarted = true;
		clusterState.enableAdmissionControl(leaderQuota);
		leaderQuota.start();
		log.info({}, "team quota enabled");
	}

	/**
	 * Makes the placer of each team the preferred holder of its allotment. Placers change with the live
	 * controllers.
	 */
	private updatePreferredHolders(now: number): void {
		const { clusterState, failureDetector, leaderQuota, nodes } = this.options;
		const liveNodes = failureDetector.liveControllers(now);
		if (liveNodes.join() === this.placers.join()) return;
		this.placers = liveNodes;
		for (const team of clusterState.quotas.teams)
			leaderQuota.setPreferredHolder(team, ownerOf(team, liveNodes) ?? leaderQuota.node, nodes);
	}

	/**
	 * Returns the controller that can admit a task of the job now: its team's placer, or another holder; null:
	 * none.
	 */
	placerFor(job: Job, preferred: string, liveNodes: readonly string[]): string | null {
		const demand = taskDemandOf(job.spec);
		const { leaderQuota } = this.options;
		if (leaderQuota.canAdmit(demand, preferred)) return preferred;
		return liveNodes.find((node) => leaderQuota.canAdmit(demand, node)) ?? null;
	}

	/** True if the leader's own node can admit a task of the job now. */
	leaderCanAdmit(job: Job): boolean {
		return this.options.leaderQuota.canAdmit(taskDemandOf(job.spec), this.options.leaderQuota.node);
	}

	/**
	 * Requests allotments for tasks that only the leader's own node can place, for one job of each team, and
	 * withdraws the requests for teams that no longer have any.
	 */
	updateLeaderDemands(demands: Iterable<{ job: Job; tasks: number }>): void {
		const jobsByTeam = new Map<string, Job>();
		for (const { job, tasks } of demands) {
			if (jobsByTeam.has(job.spec.team)) continue;
			jobsByTeam.set(job.spec.team, job);
			this.setLeaderDemand(job, tasks);
		}
		for (const [team, job] of this.leaderDemandJobs) if (!jobsByTeam.has(team)) this.setLeaderDemand(job, 0);
		this.leaderDemandJobs = jobsByTeam;
	}

	/** Skips teams whose placer is the leader's own node: it is their preferred holder anyway. */
	private setLeaderDemand(job: Job, tasks: number): void {
		const { leaderQuota } = this.options;
		if (ownerOf(job.spec.team, this.placers) !== leaderQuota.node)
			leaderQuota.setLeaderDemand(taskDemandOf(job.spec), tasks);
	}

	// --- limits ---

	/**
	 * Applies the limit on which allotments are based to the leader's own check as well, and stops tasks of a
	 * team that has exceeded a lowered limit for too long.
	 */
	private applyLimit(team: string, now: number): void {
		const { quota, clusterState, leaderQuota } = this.options;
		const limits = quota.effectiveLimits(team);
		if (limits) clusterState.quotas.setQuota(limits);
		const excess = leaderQuota.excessOverPendingLimit(team);
		if (!excess) {
			this.excessSince.delete(team);
			return;
		}
		const excessStartedAt = this.excessSince.get(team) ?? now;
		this.excessSince.set(team, excessStartedAt);
		const { preemptAfterMs } = this.options;
		if (preemptAfterMs > 0 && now - excessStartedAt >= preemptAfterMs) this.stopExcessTasks(team, excess);
	}

	/** Stops tasks until the excess is covered: those of the lowest priority first, the latest first among equals. */
	private stopExcessTasks(team: string, excess: { cpus: number; gpus: number }): void {
		const { clusterState, commandSender, log } = this.options;
		const running = [...clusterState.jobs.values()]
			.filter((job) => job.spec.team === team)
			.flatMap((job) => [...job.attempts.values()])
			.sort((a, b) => b.job.priorityRank - a.job.priorityRank || compareUint64(b.number, a.number));
		const remainingExcess = { ...excess };
		const stopped: Attempt[] = [];
		for (const attempt of running) {
			if (remainingExcess.cpus <= 0 && remainingExcess.gpus <= 0) break;
			const { cpus, gpus, checkpointCostS } = attempt.job.spec;
			remainingExcess.cpus -= cpus;
			remainingExcess.gpus -= gpus;
			if (attempt.stopRequest !== null) continue;
			attempt.requestStop("team limit lowered", checkpointCostS);
			stopped.push(attempt);
		}
		if (stopped.length === 0) return;
		log.info({ team, tasks: stopped.length }, "stopping tasks above a lowered team limit");
		commandSender.sendStops(stopped);
	}
}
