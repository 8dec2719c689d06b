/** The service-level objectives of the platform's settings that the service uses. */

import type { ServiceLevelObjective } from "./platform.js";

/** An objective for the time from the submission of a job of the class until its tasks start. */
export interface StartTimeObjective {
	jobClass: string;
	withinS: number;
}

/** Returns the objectives for start times (`kind = "wait"`). Objectives without a class or a time are ignored. */
export function startTimeObjectives(objectives: readonly ServiceLevelObjective[]): StartTimeObjective[] {
	const result: StartTimeObjective[] = [];
	for (const { kind, class: jobClass, within_s: withinS } of objectives) {
		if (kind !== "wait" || jobClass === undefined || withinS === undefined) continue;
		result.push({ jobClass, withinS });
	}
	return result;
}
