/** The zone rules of jobs: all tasks in a single zone, or at most half of them in any zone. */

import type { JobSpec } from "../protocol/model/job.js";
import type { Attempt } from "./attempt.js";
import type { Job } from "./job.js";

/**
 * Returns the number of the job's attempts by zone. All attempts that may run count, including those to be stopped,
 * because the rules hold for all tasks that run at the same time (trace 16).
 */
export function tasksByZone(job: Job): Record<string, number> {
	const zones: Record<string, number> = {};
	for (const { machine } of job.attempts.values()) zones[machine.zone] = (zones[machine.zone] ?? 0) + 1;
	return zones;
}

/** Returns the number of the job's attempts by zone without the excluded ones, such as those to be relocated. */
export function tasksByZoneExcluding(job: Job, excluded: readonly Attempt[]): Record<string, number> {
	const zones = tasksByZone(job);
	for (const { machine } of excluded) zones[machine.zone] = (zones[machine.zone] ?? 1) - 1;
	return zones;
}

/** Returns the number of further tasks that the job's zone rules allow in the zone; Infinity: no bound. */
export function zoneTaskHeadroom(
	spec: JobSpec,
	tasksInZones: Readonly<Record<string, number>>,
	zone: string,
): number {
	if (spec.singleZone) {
		for (const [usedZone, tasks] of Object.entries(tasksInZones))
			if (usedZone !== zone && tasks > 0) return 0;
	}
	if (!spec.spreadZones) return Number.POSITIVE_INFINITY;
	return Math.max(0, Math.ceil(spec.taskCount / 2) - (tasksInZones[zone] ?? 0));
}
