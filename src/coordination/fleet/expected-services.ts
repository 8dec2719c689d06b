import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";

/** Part of the cores in use that is kept for a class of which no job has come yet. */
const reservedPart = 0.02;
const assumedMemoryGb = 3;

/**
 * Classes whose tasks are to start sooner than any machine boots. Room for their first job has to
 * be up before it comes.
 */
export function classesWithFastStart(
	objectives: readonly StartTimeObjective[],
	types: Iterable<MachineType>,
): string[] {
	const fastestBootS = Math.min(...[...types].map((type) => type.bootS));
	const fast = objectives.filter(({ withinS }) => withinS <= fastestBootS);
	return [...new Set(fast.map(({ jobClass }) => jobClass))];
}

/**
 * Stands for the first jobs of a class: nothing is known of them but that they must start at once,
 * so small replicas on ordinary machines of two zones are assumed.
 */
export function assumedReplicas(name: string, cpusInUse: number): JobSpec {
	return {
		id: `expected ${name}`,
		form: "service",
		jobClass: name,
		team: "",
		priority: "critical",
		taskCount: Math.max(1, Math.ceil(cpusInUse * reservedPart)),
		cpus: 1,
		gpus: 0,
		memoryGb: assumedMemoryGb,
		machineTypes: null,
		zone: null,
		singleZone: false,
		spreadZones: true,
		allowSpot: false,
		image: "",
		imageGb: 0,
		estimatedRunS: 0,
		checkpointIntervalS: 0,
		checkpointCostS: 0,
		deadlineS: null,
	};
}
