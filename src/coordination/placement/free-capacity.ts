import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { JobSpec } from "../../protocol/model/job.js";

/** Amounts of a machine that tasks take. */
export interface Amounts {
	cpus: number;
	gpus: number;
	memory: number;
}

export function freeOn(machine: Machine): Amounts {
	return {
		cpus: machine.capacity.freeCpus,
		gpus: machine.capacity.freeGpus,
		memory: machine.capacity.freeMemoryGb,
	};
}

/** What is free, or taken by work that yields to replicas. */
export function freeBesideReplicas(machine: Machine): Amounts {
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

/** Free capacity of machines, used up as replicas are thought to be put there. */
export class FreeCapacity {
	private readonly left = new Map<Machine, Amounts>();

	constructor(private readonly freeOn: (machine: Machine) => Amounts) {}

	/**
	 * Puts so many tasks where they fit, and returns how many do not. `zones` counts the job's
	 * tasks by zone, and these are added to it.
	 */
	take(spec: JobSpec, count: number, machines: Machine[], zones: Record<string, number>): number {
		let need = count;
		for (const machine of machines) {
			if (need === 0) break;
			if (!machineAllowed(spec, machine)) continue;
			const left = this.leftOn(machine);
			while (need > 0 && holds(left, spec) && zoneTaskHeadroom(spec, zones, machine.zone) >= 1) {
				left.cpus -= spec.cpus;
				left.gpus -= spec.gpus;
				left.memory -= spec.memoryGb;
				zones[machine.zone] = (zones[machine.zone] ?? 0) + 1;
				need -= 1;
			}
		}
		return need;
	}

	private leftOn(machine: Machine): Amounts {
		let left = this.left.get(machine);
		if (!left) {
			left = this.freeOn(machine);
			this.left.set(machine, left);
		}
		return left;
	}
}

function holds(left: Amounts, spec: JobSpec): boolean {
	return left.cpus >= spec.cpus && left.gpus >= spec.gpus && left.memory >= spec.memoryGb;
}
