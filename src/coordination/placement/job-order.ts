/** The order in which jobs are served, as pure functions. */

import type { Job } from "../../bookkeeping/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";

/** The remaining time of a best-effort job is multiplied by this in the scheduling order. */
const bestEffortLengthFactor = 1.2;

/**
 * Each second of a job's age is counted as this many seconds less of remaining time. A job that is n seconds
 * longer than others is therefore overtaken only by jobs that were accepted at most n / ageingWeight seconds
 * after it.
 */
const ageingWeight = 0.5;
/** One task of a job that has waited this long without any task started is granted before all other work. */
const starvedAfterS = 150;

/**
 * Returns the seconds that the job still takes if it runs on all cores of its team's limit, or on an equal
 * share of the fleet's cores if that is smaller.
 *
 * @param fairShareCpus The cores of that share.
 */
export function remainingSeconds(job: Job, quota: TeamQuota | undefined, fairShareCpus: number): number {
	const { spec } = job;
	const unfinishedTasks = spec.taskCount - job.doneTasks.count;
	const availableCpus = Math.min(quota?.limit.cpus ?? spec.cpus, fairShareCpus);
	return Math.max(1, (unfinishedTasks * spec.cpus) / Math.max(availableCpus, spec.cpus)) * job.estimatedRunS;
}

function ageS(job: Job, wallClockMs: number): number {
	return Math.max(0, wallClockMs - job.acceptedAt) / 1000;
}

/** True if the job has waited longer than the starvation threshold and none of its tasks has started. */
export function isStarved(job: Job, wallClockMs: number): boolean {
	return job.attempts.size === 0 && job.doneTasks.count === 0 && ageS(job, wallClockMs) > starvedAfterS;
}

/** A late job is assumed to be of use to its user until this multiple of its deadline. */
const lateDeadlineFactor = 1.5;

/**
 * Returns the wall-clock time, in milliseconds, by which the job is ordered. Ordering by deadlines alone would
 * cascade: a job that is already late delays the next one past its deadline, and so on. So a job that can no
 * longer meet its deadline is ordered by the later time until which it is still of use, and once it cannot meet
 * that either, after all jobs that can meet theirs.
 */
function effectiveDueAt(job: Job, wallClockMs: number): number {
	const { deadlineS } = job.spec;
	if (deadlineS === null) return Number.MAX_VALUE;
	const expectedEndAt = wallClockMs + job.estimatedRunS * 1000;
	const dueAt = job.acceptedAt + deadlineS * 1000;
	if (expectedEndAt <= dueAt || job.attempts.size > 0) return dueAt;
	const lateDueAt = job.acceptedAt + lateDeadlineFactor * deadlineS * 1000;
	return expectedEndAt <= lateDueAt ? lateDueAt : lateDueAt + beyondAnyDeadlineMs;
}

/** Exceeds any deadline: jobs that can meet no due time come last, and keep the order of their due times. */
const beyondAnyDeadlineMs = 1e12;

/**
 * Returns the jobs in scheduling order. Critical jobs come before urgent ones, and those before all others.
 * Critical and urgent jobs are ordered by due time, then, like all others, by shortest remaining time: a team's
 * limit is fixed, so this order lets the largest number of jobs end early. A best-effort job comes after normal
 * jobs that are not much longer than itself. It does not come after all normal jobs: it would wait for the
 * longest array of its team.
 *
 * Shortest remaining time alone would starve the largest array as long as smaller jobs arrive, so a job's age
 * is deducted from its remaining time.
 *
 * @param wallClockMs Wall-clock time in milliseconds. Monotonic time differs from process to process, and a job's
 *   age must not depend on which process leads.
 */
export function schedulingOrder(
	jobs: Job[],
	quotaOf: (name: string) => TeamQuota | undefined,
	wallClockMs: number,
	fairShareCpus = Number.POSITIVE_INFINITY,
): Job[] {
	return jobs
		.map((job) => {
			const urgent = job.priorityRank < 2;
			const remainingS = remainingSeconds(job, quotaOf(job.spec.team), fairShareCpus);
			return {
				job,
				tier: urgent ? job.priorityRank : 2,
				dueAt: urgent ? effectiveDueAt(job, wallClockMs) : 0,
				weightedRemainingS:
					(job.priorityRank > 2 ? remainingS * bestEffortLengthFactor : remainingS) -
					ageingWeight * ageS(job, wallClockMs),
			};
		})
		.sort(
			(a, b) =>
				a.tier - b.tier ||
				(a.dueAt === b.dueAt ? 0 : a.dueAt - b.dueAt) ||
				a.weightedRemainingS - b.weightedRemainingS ||
				a.job.acceptedAt - b.job.acceptedAt,
		)
		.map((entry) => entry.job);
}
