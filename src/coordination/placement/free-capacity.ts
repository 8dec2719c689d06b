import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { zoneRoom } from "../../bookkeeping/zone-rules.js";
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

/** Simulates the placement of replicas: counts the capacity that they would leave on each machine. */
export class SimulatedCapacity {
	private readonly left = new Map<Machine, ResourceAmounts>();

	constructor(private readonly freeOn: (machine: Machine) => ResourceAmounts) {}

	/**
	 * Deducts `count` tasks of the job from the machines on which they fit.
	 *
	 * @param zones The job's tasks by zone. The tasks that fit are added to it.
	 * @returns How many of the tasks do not fit.
	 */
	placeTasks(spec: JobSpec, count: number, machines: Machine[], zones: Record<string, number>): number {
		let need = count;
		for (const machine of machines) {
			if (need === 0) break;
			if (!machineAllowed(spec, machine)) continue;
			const left = this.leftOn(machine);
			while (need > 0 && holds(left, spec) && zoneRoom(spec, zones, machine.zone) >= 1) {
				left.cpus -= spec.cpus;
				left.gpus -= spec.gpus;
				left.memory -= spec.memoryGb;
				zones[machine.zone] = (zones[machine.zone] ?? 0) + 1;
				need -= 1;
			}
		}
		return need;
	}

	private leftOn(machine: Machine): ResourceAmounts {
		let left = this.left.get(machine);
		if (!left) {
			left = this.freeOn(machine);
			this.left.set(machine, left);
		}
		return left;
	}
}

function holds(left: ResourceAmounts, spec: JobSpec): boolean {
	return left.cpus >= spec.cpus && left.gpus >= spec.gpus && left.memory >= spec.memoryGb;
}
