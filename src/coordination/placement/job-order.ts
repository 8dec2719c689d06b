import type { Job } from "../../bookkeeping/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";

/** The remaining time of a best-effort job is multiplied by this in the scheduling order. */
const bestEffortFactor = 1.2;

/**
 * Each second of a job's age is counted as this many seconds less of remaining time. A job that is n seconds longer
 * than others is therefore overtaken only by jobs that were accepted at most n / ageingWeight seconds after it.
 */
const ageingWeight = 0.5;
/** One task of a job that has waited this long without any task started is granted before all other work. */
const starvedS = 150;

/**
 * Returns the seconds that the job still takes if it runs on all cores of its team's limit, or on an equal share of
 * the fleet's cores if that is smaller.
 *
 * @param evenCpus The cores of that share.
 */
export function remainingSeconds(job: Job, team: TeamQuota | undefined, evenCpus: number): number {
	const { spec } = job;
	const tasks = spec.taskCount - job.doneTasks.count;
	const cpus = Math.min(team?.limit.cpus ?? spec.cpus, evenCpus);
	return Math.max(1, (tasks * spec.cpus) / Math.max(cpus, spec.cpus)) * job.estimatedRunS;
}

function ageS(job: Job, date: number): number {
	return Math.max(0, date - job.acceptedAt) / 1000;
}

/** True if the job has waited longer than the starvation threshold and none of its tasks has started. */
export function isStarved(job: Job, date: number): boolean {
	return job.attempts.size === 0 && job.doneTasks.count === 0 && ageS(job, date) > starvedS;
}

/** A late job is assumed to be of use to its user until this multiple of its deadline. */
const lateTimes = 1.5;

/**
 * Returns the time of day, in milliseconds, by which the job is ordered. Ordering by deadlines alone would cascade: a
 * job that is already late delays the next one past its deadline, and so on. So a job that can no longer meet its
 * deadline is ordered by the later time until which it is still of use, and once it cannot meet that either, after
 * all jobs that can meet theirs.
 */
function dueAt(job: Job, date: number): number {
	const { deadlineS } = job.spec;
	if (deadlineS === null) return Number.MAX_VALUE;
	const ready = date + job.estimatedRunS * 1000;
	const due = job.acceptedAt + deadlineS * 1000;
	if (ready <= due || job.attempts.size > 0) return due;
	const late = job.acceptedAt + lateTimes * deadlineS * 1000;
	return ready <= late ? late : late + beyondAnyDeadlineMs;
}

/** Exceeds any deadline: jobs that can meet no due time come last, and keep the order of their due times. */
const beyondAnyDeadlineMs = 1e12;

/**
 * Returns the jobs in scheduling order. Critical jobs come before urgent ones, and those before all others. Critical
 * and urgent jobs are ordered by due time, then, like all others, by shortest remaining time: a team's limit is fixed,
 * so this order lets the largest number of jobs end early. A best-effort job comes after normal jobs that are not much
 * longer than itself. It does not come after all normal jobs, since it would then wait for the longest array of its team.
 *
 * Shortest remaining time alone would starve the largest array as long as smaller jobs arrive, so a job's age is
 * deducted from its remaining time.
 *
 * @param date The time of day in milliseconds: a job's age must survive a change of leader, and monotonic time does not.
 */
export function schedulingOrder(
	jobs: Job[],
	teamOf: (name: string) => TeamQuota | undefined,
	date: number,
	evenCpus = Number.POSITIVE_INFINITY,
): Job[] {
	return jobs
		.map((job) => {
			const urgent = job.rank < 2;
			const seconds = remainingSeconds(job, teamOf(job.spec.team), evenCpus);
			return {
				job,
				tier: urgent ? job.rank : 2,
				due: urgent ? dueAt(job, date) : 0,
				seconds: (job.rank > 2 ? seconds * bestEffortFactor : seconds) - ageingWeight * ageS(job, date),
			};
		})
		.sort(
			(a, b) =>
				a.tier - b.tier ||
				(a.due === b.due ? 0 : a.due - b.due) ||
				a.seconds - b.seconds ||
				a.job.acceptedAt - b.job.acceptedAt,
		)
		.map((x) => x.job);
}
