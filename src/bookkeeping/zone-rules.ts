/** The zone rules of jobs: all tasks in a single zone, or at most half of them in any one. */

import type { JobSpec } from "../protocol/model/job.js";
import type { Attempt } from "./attempt.js";
import type { Job } from "./job.js";

/**
 * The job's attempts by zone. Attempts that may be anywhere count as well, also those that are to end, since a rule
 * holds for all that run at the same time (trace 16).
 */
export function tasksByZone(job: Job): Record<string, number> {
	const zones: Record<string, number> = {};
	for (const { machine } of job.attempts.values()) zones[machine.zone] = (zones[machine.zone] ?? 0) + 1;
	return zones;
}

/** The same, without attempts that are to leave their machines. */
export function tasksByZoneExcluding(job: Job, leaving: readonly Attempt[]): Record<string, number> {
	const zones = tasksByZone(job);
	for (const { machine } of leaving) zones[machine.zone] = (zones[machine.zone] ?? 1) - 1;
	return zones;
}

/** How many more tasks of the job its own zone rules allow in a zone; Infinity: they set no bound. */
export function zoneTaskHeadroom(
	spec: JobSpec,
	tasksInZones: Readonly<Record<string, number>>,
	zone: string,
): number {
	if (spec.singleZone) {
		for (const [other, tasks] of Object.entries(tasksInZones)) if (other !== zone && tasks > 0) return 0;
	}
	if (!spec.spreadZones) return Number.POSITIVE_INFINITY;
	return Math.max(0, Math.ceil(spec.taskCount / 2) - (tasksInZones[zone] ?? 0));
}
