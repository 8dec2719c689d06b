/** The service jobs for which capacity is kept before they are submitted. */

import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { StartTimeObjective } from "../../protocol/settings/objectives.js";

/** The cores kept for a class without a job so far, as a fraction of the schedulable cores. */
const reservedCpuFraction = 0.02;
const assumedReplicaMemoryGb = 3;

/**
 * Returns the classes whose tasks must start sooner than any machine boots. Capacity for their first job has to
 * be up before the job is submitted.
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
 * Returns an assumed spec for the first jobs of a class. All that is known of them is that they must start at
 * once, so small replicas on on-demand machines, spread over zones, are assumed.
 */
export function assumedServiceSpec(jobClass: string, schedulableCpus: number): JobSpec {
	return {
		id: `expected ${jobClass}`,
		form: "service",
		jobClass,
		team: "",
		priority: "critical",
		taskCount: Math.max(1, Math.ceil(schedulableCpus * reservedCpuFraction)),
		cpus: 1,
		gpus: 0,
		memoryGb: assumedReplicaMemoryGb,
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
