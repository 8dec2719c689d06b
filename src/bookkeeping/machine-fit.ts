import type { JobSpec } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/** Tasks of the job that a machine of the type holds at once. */
export function tasksHeld(spec: JobSpec, type: MachineType): number {
	let n = Math.floor(type.cpus / spec.cpus);
	if (spec.gpus > 0) n = Math.min(n, Math.floor(type.gpus / spec.gpus));
	if (spec.memoryGb > 0) n = Math.min(n, Math.floor(type.memoryGb / spec.memoryGb));
	return n;
}

/** Whether the machine, empty, could hold a task of the job. */
export function couldHold(machine: Machine, job: Job): boolean {
	return machineAllowed(job.spec, machine) && tasksHeld(job.spec, machine.type) > 0;
}

/** Whether the job allows this machine at all. */
export function machineAllowed(
	spec: JobSpec,
	machine: { type: MachineType; zone: string; spot: boolean },
): boolean {
	return (
		(spec.machineTypes === null || spec.machineTypes.includes(machine.type.name)) &&
		(spec.zone === null || spec.zone === machine.zone) &&
		(spec.allowSpot || !machine.spot)
	);
}

/** Whether a task of the job could ever run on this type, going by the job's own demands. */
export function typeFits(spec: JobSpec, type: MachineType): boolean {
	return (
		(spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
		type.zones.some((zone) => spec.zone === null || spec.zone === zone) &&
		type.cpus >= spec.cpus &&
		type.gpus >= spec.gpus &&
		type.memoryGb >= spec.memoryGb
	);
}
