/** Rules for which machines and machine types can run the tasks of a job, and how many of them at once. */

import { maxListedTasks } from "../protocol/http/worker-api.js";
import type { JobSpec } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Job } from "./job.js";
import type { Machine } from "./machine.js";

/** Number of the job's tasks that fit at once on an empty machine of the type. */
export function maxTasksPerMachine(spec: JobSpec, type: MachineType): number {
	let tasks = Math.min(maxListedTasks, Math.floor(type.cpus / spec.cpus));
	if (spec.gpus > 0) tasks = Math.min(tasks, Math.floor(type.gpus / spec.gpus));
	if (spec.memoryGb > 0) tasks = Math.min(tasks, Math.floor(type.memoryGb / spec.memoryGb));
	return tasks;
}

/** True if the job allows the machine and a task of the job would fit if the machine were empty. */
export function fitsEmptyMachine(machine: Machine, job: Job): boolean {
	return machineAllowed(job.spec, machine) && maxTasksPerMachine(job.spec, machine.type) > 0;
}

/** True if the job allows the machine's type and zone, and spot machines if it is one; ignores capacity. */
export function machineAllowed(spec: JobSpec, machine: Pick<Machine, "type" | "zone" | "spot">): boolean {
	return (
		(spec.machineTypes === null || spec.machineTypes.includes(machine.type.name)) &&
		(spec.zone === null || spec.zone === machine.zone) &&
		(spec.allowSpot || !machine.spot)
	);
}

/**
 * True if an empty machine of the type meets all demands of a task of the job together. A type that is offered in no
 * zone does not fit, because it cannot be rented.
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
