/** Which machines and machine types the tasks of a job may run on, and how many of them at once. */

import type { JobSpec } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/** Tasks of the job that an empty machine of the type holds at once. */
export function maxTasksPerMachine(spec: JobSpec, type: MachineType): number {
	let tasks = Math.floor(type.cpus / spec.cpus);
	if (spec.gpus > 0) tasks = Math.min(tasks, Math.floor(type.gpus / spec.gpus));
	if (spec.memoryGb > 0) tasks = Math.min(tasks, Math.floor(type.memoryGb / spec.memoryGb));
	return tasks;
}

/** Whether the machine, were it empty, could hold a task of the job. */
export function fitsEmptyMachine(machine: Machine, job: Job): boolean {
	return machineAllowed(job.spec, machine) && maxTasksPerMachine(job.spec, machine.type) > 0;
}

/** Whether the job allows a machine of this type, zone and kind at all, whatever room it has. */
export function machineAllowed(spec: JobSpec, machine: Pick<Machine, "type" | "zone" | "spot">): boolean {
	return (
		(spec.machineTypes === null || spec.machineTypes.includes(machine.type.name)) &&
		(spec.zone === null || spec.zone === machine.zone) &&
		(spec.allowSpot || !machine.spot)
	);
}

/**
 * Whether a task of the job could ever run on this type, by all of the job's own demands together. A type that is
 * offered in no zone can't be rented.
 */
export function typeFits(spec: JobSpec, type: MachineType): boolean {
	return (
		(spec.machineTypes === null || spec.machineTypes.includes(type.name)) &&
		type.zones.some((zone) => spec.zone === null || spec.zone === zone) &&
		type.cpus >= spec.cpus &&
		type.gpus >= spec.gpus &&
		type.memoryGb >= spec.memoryGb
	);
}
