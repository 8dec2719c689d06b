import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import {
	remainingCpuSecondsOfAttempt,
	remainingCpuSecondsOfWaiting,
} from "../../bookkeeping/remaining-work.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { HillClimbSettings } from "./hill-climb.js";

/** What the hill climb measures of the leader's tables. */

/**
 * Seconds of work that a busy core has left on the average: half an estimated
 * run of the present tasks. The marks are multiples of it, so that they mean the
 * same for tasks of seconds and of hours.
 */
export function meanSecondsLeft(clusterState: ClusterState, capS: number): number {
	let cpus = 0;
	let sum = 0;
	for (const job of clusterState.jobs.values()) {
		if (job.failures.failsEverywhere || job.isService) continue;
		const share = (job.waitingTasks.length + job.attempts.size) * job.spec.cpus;
		cpus += share;
		sum += share * Math.min(job.estimatedRunS, capS);
	}
	return cpus > 0 ? Math.max(1, sum / cpus / 2) : 1;
}

/**
 * Remaining work of all live jobs in core seconds. A team's limit bounds how fast its work can
 * be done, whatever is rented, so a team counts at most for as many cores as its
 * limit allows, each loaded to the high mark.
 */
export function remainingWork(
	clusterState: ClusterState,
	now: number,
	secondsLeft: number,
	climb: HillClimbSettings,
): number {
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		// Work that fails wherever it goes must not rent machines.
		if (job.failures.failsEverywhere) continue;
		const { team } = job.spec;
		byTeam.set(team, (byTeam.get(team) ?? 0) + remainingOfJob(job, now, secondsLeft, climb.cap_s));
	}
	let sum = 0;
	for (const [team, work] of byTeam) {
		const limit = clusterState.quotas.quotaOf(team)?.limit.cpus ?? 0;
		sum += Math.min(work, limit * climb.high * secondsLeft);
	}
	return sum;
}

/**
 * Replicas are not work that ends. A core that one takes counts as an ordinary busy core does
 * on the average, which lies between the marks: it neither rents nor returns machines.
 */
function remainingOfJob(job: Job, now: number, secondsLeft: number, capS: number): number {
	if (job.isService) return (job.waitingTasks.length + job.attempts.size) * job.spec.cpus * secondsLeft;
	let work = job.waitingTasks.length * remainingCpuSecondsOfWaiting(job.spec.cpus, job.estimatedRunS, capS);
	for (const attempt of job.attempts.values()) work += remainingCpuSecondsOfAttempt(attempt, now, capS);
	return work;
}

/** Cores that the teams' limits let the present work use at once. */
export function usableCpus(clusterState: ClusterState): number {
	const byTeam = new Map<string, number>();
	for (const job of clusterState.jobs.values()) {
		if (job.failures.failsEverywhere) continue;
		const tasks = job.waitingTasks.length + job.attempts.size;
		byTeam.set(job.spec.team, (byTeam.get(job.spec.team) ?? 0) + tasks * job.spec.cpus);
	}
	let sum = 0;
	for (const [team, cpus] of byTeam)
		sum += Math.min(cpus, clusterState.quotas.quotaOf(team)?.limit.cpus ?? 0);
	return sum;
}

/** One look at the fleet by the hill climb. */
export interface FleetSnapshot {
	now: number;
	/** Machines that count as capacity, there or on its way, and their cores. */
	machines: Machine[];
	cpus: number;
	secondsLeft: number;
	/** Remaining work in core seconds. */
	work: number;
}

export function fleetSnapshot(
	clusterState: ClusterState,
	now: number,
	climb: HillClimbSettings,
): FleetSnapshot {
	const machines = [...clusterState.machines.values()].filter((m) => m.countsAsCapacity);
	const secondsLeft = meanSecondsLeft(clusterState, climb.cap_s);
	return {
		now,
		machines,
		cpus: machines.reduce((sum, m) => sum + m.type.cpus, 0),
		secondsLeft,
		work: remainingWork(clusterState, now, secondsLeft, climb),
	};
}
