import type { Job } from "../bookkeeping/jobs.js";
import type { TeamLimits } from "../bookkeeping/quotas.js";

/** Best effort work counts as this many times as long as it is. */
const bestEffortFactor = 1.2;

/** Seconds that the job still needs if it had its team's whole limit. */
export function remainingSeconds(job: Job, team: TeamLimits | undefined): number {
	const { spec } = job;
	const tasks = spec.tasks - job.done.count;
	const atOnce = Math.max(1, Math.floor((team?.cpus_max ?? spec.cpus) / spec.cpus));
	return Math.ceil(tasks / atOnce) * job.estimateS;
}

function dueAt(job: Job): number {
	return job.spec.deadlineS === null ? Number.POSITIVE_INFINITY : job.at + job.spec.deadlineS * 1000;
}

/**
 * The order in which jobs are served. Critical work comes before urgent work and
 * that before the rest; by due time among those with one, and else the shortest
 * remaining first: a team's limit is fixed, so this is what lets most jobs end
 * early. Best effort work yields to normal work of little more than its length, no more:
 * strictly behind, it would wait for the longest array of its team.
 */
export function servingOrder(jobs: Job[], teamOf: (name: string) => TeamLimits | undefined): Job[] {
	return jobs
		.map((job) => {
			const urgent = job.rank < 2;
			const seconds = remainingSeconds(job, teamOf(job.spec.team));
			return {
				job,
				tier: urgent ? job.rank : 2,
				due: urgent ? dueAt(job) : 0,
				seconds: job.rank > 2 ? seconds * bestEffortFactor : seconds,
			};
		})
		.sort(
			(a, b) =>
				a.tier - b.tier ||
				(a.due === b.due ? 0 : a.due - b.due) ||
				a.seconds - b.seconds ||
				a.job.at - b.job.at,
		)
		.map((x) => x.job);
}
