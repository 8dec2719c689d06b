/** The quantities of the cluster state on which the hill climb is based. */

import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import {
	remainingCpuSecondsOfAttempt,
	remainingCpuSecondsOfWaiting,
} from "../../bookkeeping/remaining-work.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { HillClimbSettings } from "./hill-climb.js";

/**
 * Returns the mean remaining seconds of a running task: half the mean estimated run time of the present tasks,
 * weighted by cores. The load thresholds are multiples of it, so that they have the same meaning for tasks of
 * seconds and of hours.
 */
export function meanRemainingSeconds(clusterState: ClusterState, maxRemainingS: number): number {
	let cpus = 0;
	let sum = 0;
	for (const job of clusterState.jobs.values()) {
		if (job.failures.failsEverywhere || job.isService) continue;
		const jobCpus = (job.waitingTasks.count + job.attempts.size) * job.spec.cpus;
		cpus += jobCpus;
		sum += jobCpus * Math.min(job.estimatedRunS, maxRemainingS);
	}
	return cpus > 0 ? Math.max(1, sum / cpus / 2) : 1;
}

/**
 * Returns the remaining work of all live jobs in CPU seconds. A team's limit bounds how fast its work can be
 * done, regardless of the fleet's size, so a team counts for at most as many cores as its limit allows, each
 * loaded to the high threshold.
 */
export function remainingWork(
	clusterState: ClusterState,
	now: number,
	meanRemainingS: number,
	climb: HillClimbSettings,
): number {
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		// Machines must not be created for a job that fails on every machine.
		if (job.failures.failsEverywhere) continue;
		const { team } = job.spec;
		byTeam.set(team, (byTeam.get(team) ?? 0) + remainingWorkOfJob(job, now, meanRemainingS, climb.cap_s));
	}
	let sum = 0;
	for (const [team, work] of byTeam) {
		const limit = clusterState.quotas.quotaOf(team)?.limit.cpus ?? 0;
		sum += Math.min(work, limit * climb.high * meanRemainingS);
	}
	return sum;
}

/**
 * Returns the job's remaining work in CPU seconds. Replicas do not end, so each of their cores counts for the
 * mean of a busy core. That lies between the thresholds and causes neither scale-out nor scale-in.
 */
function remainingWorkOfJob(job: Job, now: number, meanRemainingS: number, maxRemainingS: number): number {
	if (job.isService) return (job.waitingTasks.count + job.attempts.size) * job.spec.cpus * meanRemainingS;
	let work =
		job.waitingTasks.count * remainingCpuSecondsOfWaiting(job.spec.cpus, job.estimatedRunS, maxRemainingS);
	for (const attempt of job.attempts.values())
		work += remainingCpuSecondsOfAttempt(attempt, now, maxRemainingS);
	return work;
}

/** Returns the cores that the present tasks can use at the same time within the teams' limits. */
export function usableCpus(clusterState: ClusterState): number {
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		if (job.failures.failsEverywhere) continue;
		const tasks = job.waitingTasks.count + job.attempts.size;
		byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + tasks * job.spec.cpus);
	}
	let sum = 0;
	for (const [team, cpus] of byTeam)
		sum += Math.min(cpus, clusterState.quotas.quotaOf(team)?.limit.cpus ?? 0);
	return sum;
}

/** The state of the fleet in one round of the hill climb. */
export interface FleetSnapshot {
	now: number;
	/** Machines that count as capacity, running or being provisioned. */
	machines: Machine[];
	/** The cores of these machines. */
	cpus: number;
	/** Mean remaining seconds of a running task. */
	meanRemainingS: number;
	/** Remaining work of all live jobs, in CPU seconds. */
	remainingWork: number;
}

/** Returns the state of the fleet for one round of the hill climb. */
export function takeFleetSnapshot(
	clusterState: ClusterState,
	now: number,
	climb: HillClimbSettings,
): FleetSnapshot {
	const machines = [...clusterState.machines.values()].filter((m) => m.countsAsCapacity);
	const meanRemainingS = meanRemainingSeconds(clusterState, climb.cap_s);
	return {
		now,
		machines,
		cpus: machines.reduce((sum, m) => sum + m.type.cpus, 0),
		meanRemainingS,
		remainingWork: remainingWork(clusterState, now, meanRemainingS, climb),
	};
}
