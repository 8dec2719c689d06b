/** Free capacity of machines, and the simulated placement of replicas on it. */

import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec } from "../../protocol/model/job.js";

/** Amounts of the resources that tasks use; memory in GB. */
export interface ResourceAmounts {
	cpus: number;
	gpus: number;
	memory: number;
}

/** Returns the machine's free capacity. */
export function freeResources(machine: Machine): ResourceAmounts {
	return {
		cpus: machine.capacity.freeCpus,
		gpus: machine.capacity.freeGpus,
		memory: machine.capacity.freeMemoryGb,
	};
}

/** Returns the capacity that is free or used by work that replicas may preempt, which is all work but replicas. */
export function freeOrPreemptibleResources(machine: Machine): ResourceAmounts {
	const { cpus, gpus, memoryGb } = machine.type;
	const free = { cpus, gpus, memory: memoryGb };
	for (const { job } of machine.attempts.values()) {
		if (!job.isService) continue;
		free.cpus -= job.spec.cpus;
		free.gpus -= job.spec.gpus;
		free.memory -= job.spec.memoryGb;
	}
	return free;
}

/** Resources of a machine, and the number of further tasks that its worker can list. */
interface RemainingCapacity extends ResourceAmounts {
	tasks: number;
}

/** Simulates the placement of replicas: tracks the capacity that would remain on each machine. */
export class SimulatedCapacity {
	private readonly remainingByMachine = new Map<Machine, RemainingCapacity>();

	constructor(private readonly initialResources: (machine: Machine) => ResourceAmounts) {}

	/**
	 * Deducts `count` tasks of the job from the machines on which they fit.
	 *
	 * @param tasksByZone The job's tasks by zone. The tasks that fit are added to it.
	 * @returns How many of the tasks do not fit.
	 */
	placeTasks(spec: JobSpec, count: number, machines: Machine[], tasksByZone: Record<string, number>): number {
		let unplaced = count;
		for (const machine of machines) {
			if (unplaced === 0) break;
			if (!machineAllowed(spec, machine)) continue;
			const remaining = this.remainingOn(machine);
			while (
				unplaced > 0 &&
				taskFits(remaining, spec) &&
				zoneTaskHeadroom(spec, tasksByZone, machine.zone) >= 1
			) {
				remaining.cpus -= spec.cpus;
				remaining.gpus -= spec.gpus;
				remaining.memory -= spec.memoryGb;
				remaining.tasks -= 1;
				tasksByZone[machine.zone] = (tasksByZone[machine.zone] ?? 0) + 1;
				unplaced -= 1;
			}
		}
		return unplaced;
	}

	private remainingOn(machine: Machine): RemainingCapacity {
		let remaining = this.remainingByMachine.get(machine);
		if (!remaining) {
			remaining = { ...this.initialResources(machine), tasks: machine.taskHeadroom };
			this.remainingByMachine.set(machine, remaining);
		}
		return remaining;
	}
}

function taskFits({ cpus, gpus, memory, tasks }: RemainingCapacity, spec: JobSpec): boolean {
	return tasks >= 1 && cpus >= spec.cpus && gpus >= spec.gpus && memory >= spec.memoryGb;
}
