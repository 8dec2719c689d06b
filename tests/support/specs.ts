/** Job descriptions and machine types for tests. */

import type { JobSpec } from "../../src/protocol/model/job.js";
import type { MachineType } from "../../src/protocol/model/machine.js";

/** Returns an array job of team red, with the given fields replaced. */
export function specOf(id: string, more: Partial<JobSpec> = {}): JobSpec {
	return {
		id,
		form: "array",
		jobClass: "x",
		team: "red",
		priority: "normal",
		taskCount: 4,
		cpus: 2,
		gpus: 0,
		memoryGb: 1,
		machineTypes: null,
		zone: null,
		singleZone: false,
		spreadZones: false,
		allowSpot: true,
		image: "img",
		imageGb: 1,
		estimatedRunS: 10,
		checkpointIntervalS: 0,
		checkpointCostS: 0,
		deadlineS: null,
		...more,
	};
}

/** A machine type that is offered in three zones. */
export const mediumType: MachineType = {
	name: "medium",
	cpus: 8,
	gpus: 0,
	memoryGb: 64,
	cacheGb: 50,
	fetchGbPerS: 1,
	price: 0.4,
	spotPrice: 0.1,
	bootS: 30,
	zones: ["a", "b", "c"],
};
