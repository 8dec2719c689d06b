import type { JobSpec } from "../protocol/model/job.js";

/** How many more tasks of the job its own zone rules allow in a zone. */
export function zoneRoom(spec: JobSpec, zones: Record<string, number>, zone: string): number {
	let room = Number.POSITIVE_INFINITY;
	if (spec.singleZone) {
		for (const [other, n] of Object.entries(zones)) if (other !== zone && n > 0) return 0;
	}
	if (spec.spreadZones) room = Math.min(room, Math.ceil(spec.taskCount / 2) - (zones[zone] ?? 0));
	return Math.max(0, room);
}
