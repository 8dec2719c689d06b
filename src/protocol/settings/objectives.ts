/** Service-level objectives of the platform's settings that the service acts on. */

import type { ServiceLevelObjective } from "./platform.js";

/** Tasks of a class of jobs should start within a time of their submission. */
export interface StartTimeObjective {
	jobClass: string;
	withinS: number;
}

/** The objectives about start times (`kind = "wait"`). Those that lack a class or a time are left out. */
export function startTimeObjectives(objectives: readonly ServiceLevelObjective[]): StartTimeObjective[] {
	const result: StartTimeObjective[] = [];
	for (const { kind, class: jobClass, within_s: withinS } of objectives) {
		if (kind !== "wait" || jobClass === undefined || withinS === undefined) continue;
		result.push({ jobClass, withinS });
	}
	return result;
}
