import type { JobSpec } from "../../src/protocol/model.js";

/** A plain job of team red, with what a test wants otherwise. */
export function specOf(id: string, more: Partial<JobSpec> = {}): JobSpec {
	return {
		id,
		lane: "x",
		team: "red",
		priority: "normal",
		tasks: 4,
		cpus: 2,
		gpus: 0,
		memoryGb: 1,
		types: null,
		zone: null,
		oneZone: false,
		spread: false,
		spot: true,
		image: "img",
		imageGb: 1,
		estimateS: 10,
		checkpointS: 0,
		saveS: 0,
		deadlineS: null,
		...more,
	};
}
