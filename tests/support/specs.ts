import type { JobSpec, MachineType } from "../../src/protocol/model.js";

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
