import type { Job } from "../../bookkeeping/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";

/** Best effort work counts as this many times as long as it is. */
const bestEffortFactor = 1.2;

/**
 * Each second of waiting counts as so many seconds less to do. A job that is longer by n
 * seconds is thus overtaken only by those that came at most n over this later.
 */
const ageingWeight = 0.5;
/** Of a job of which nothing has begun for this long, one task goes before everything. */
const starvedS = 150;

/**
 * Seconds that the job still needs if it had its team's whole limit, or an even part
 * of the machines if that is less.
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

/** Nothing of it has begun for so long that it would be counted as starved. */
export function starved(job: Job, date: number): boolean {
	return job.attempts.size === 0 && job.doneTasks.count === 0 && ageS(job, date) > starvedS;
}

/** So many times its deadline a job is still worth something to its user. */
const lateTimes = 1.5;

/**
 * The time of day by which the job should be done. Work that cannot make its deadline any
 * more has no claim to go before work that still can: by due time alone, one job that is
 * late already makes the next one late, and so on. It then goes by half as long again, and
 * behind the others once that is past as well.
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

/** Longer than any deadline, so that the order among those past hope stays that of their due times. */
const beyondAnyDeadlineMs = 1e12;

/**
 * The order in which jobs are served. Critical work comes before urgent work and
 * that before the rest; by due time among those with one that can be met, and else the shortest
 * remaining first: a team's limit is fixed, so this is what lets most jobs end
 * early. Best effort work yields to normal work of little more than its length, no more:
 * strictly behind, it would wait for the longest array of its team.
 *
 * Shortest first alone would starve the largest array as long as smaller ones come.
 * So waiting counts.
 *
 * `date` is the time of day, since a job's age must outlast a change of leader.
 */
export function servingOrder(
	jobs: Job[],
	teamOf: (name: string) => TeamQuota | undefined,
	date: number,
	evenCpus = Number.POSITIVE_INFINITY,
): Job[] {
	return jobs
		.map((job) => {
			const urgent = job.priorityRank < 2;
			const seconds = remainingSeconds(job, teamOf(job.spec.team), evenCpus);
			return {
				job,
				tier: urgent ? job.priorityRank : 2,
				due: urgent ? dueAt(job, date) : 0,
				seconds:
					(job.priorityRank > 2 ? seconds * bestEffortFactor : seconds) - ageingWeight * ageS(job, date),
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
