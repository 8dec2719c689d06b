/** First-fit placement of granted tasks on machines, as pure functions. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import { isService, type JobSpec } from "../../protocol/model/job.js";
import type { Grant, MachineCapacity, Placement } from "../../protocol/peer/messages.js";

/** Amounts that differ by less are equal: sums of decimal fractions accumulate rounding errors. */
const tolerance = 1e-6;

/**
 * Returns how many tasks of the job fit in the machine's free capacity; 0 if the job does not allow the
 * machine.
 */
function tasksThatFit(spec: JobSpec, machine: MachineCapacity): number {
	if (spec.machineTypes !== null && !spec.machineTypes.includes(machine.type)) return 0;
	if (spec.zone !== null && spec.zone !== machine.zone) return 0;
	if (machine.spot && !spec.allowSpot) return 0;
	let tasks = machine.slots;
	if (spec.cpus > 0) tasks = Math.min(tasks, Math.floor((machine.cpus + tolerance) / spec.cpus));
	if (spec.gpus > 0) tasks = Math.min(tasks, Math.floor((machine.gpus + tolerance) / spec.gpus));
	if (spec.memoryGb > 0) tasks = Math.min(tasks, Math.floor((machine.memory + tolerance) / spec.memoryGb));
	return Math.max(0, tasks);
}

/**
 * Returns how many tasks of the job fit on the machines, regardless of other jobs that compete for the same
 * capacity.
 *
 * @param tasksByZone Tasks of the job that may already be running, by zone.
 */
export function placeableTasks(
	spec: JobSpec,
	tasksByZone: Record<string, number>,
	machines: MachineCapacity[],
): number {
	const fittingByZone = new Map<string, number>();
	for (const m of machines) {
		const n = tasksThatFit(spec, m);
		if (n > 0) fittingByZone.set(m.zone, (fittingByZone.get(m.zone) ?? 0) + n);
	}
	let total = 0;
	let maxInOneZone = 0;
	for (const [zone, n] of fittingByZone) {
		const placeable = Math.min(n, zoneTaskHeadroom(spec, tasksByZone, zone));
		total += placeable;
		maxInOneZone = Math.max(maxInOneZone, placeable);
	}
	return spec.singleZone ? maxInOneZone : total;
}

/**
 * Returns a uniform random sample of at most `maxSize` items; all of them, in their order, if there are no more.
 */
export function randomSample<T>(items: T[], maxSize: number, random: RandomGenerator): T[] {
	if (items.length <= maxSize) return items;
	const pool = items.slice();
	for (let i = 0; i < maxSize; i++) {
		const j = uniformInt(random, i, pool.length - 1);
		const swapped = pool[i] as T;
		pool[i] = pool[j] as T;
		pool[j] = swapped;
	}
	return pool.slice(0, maxSize);
}

/**
 * Places one placer's grants by first fit, in their order. Machines that have the image cached come first, then
 * the others, each in the given order, starting at `startIndex` and wrapping around. Deducts the placed tasks from
 * the free amounts of `machines`.
 */
export function placeFirstFit(
	machines: MachineCapacity[],
	grants: Grant[],
	specOf: (jobId: string) => JobSpec | undefined,
	startIndex = 0,
): Placement[] {
	const placements: Placement[] = [];
	const rotated =
		startIndex === 0 ? machines : [...machines.slice(startIndex), ...machines.slice(0, startIndex)];
	for (const grant of grants) {
		const spec = specOf(grant.jobId);
		if (spec) placements.push(...placeGrant(rotated, grant, spec));
	}
	return placements;
}

/** One pass over the machines. */
interface FirstFitPass {
	/** True: only machines that have the image cached; false: only the others. */
	withImage: boolean;
	maxPerMachine: number;
	/** True: skips machines that run a replica of the job. */
	skipMachinesWithTask: boolean;
}

function passesFor(spec: JobSpec, count: number): FirstFitPass[] {
	const packingPasses = [true, false].map((withImage) => ({
		withImage,
		maxPerMachine: count,
		skipMachinesWithTask: false,
	}));
	if (!isService(spec)) return packingPasses;
	// Replicas are spread over as many machines as possible, so that losing a machine costs one replica.
	return [
		...[true, false].map((withImage) => ({ withImage, maxPerMachine: 1, skipMachinesWithTask: true })),
		...packingPasses,
	];
}

function placeGrant(machines: MachineCapacity[], grant: Grant, spec: JobSpec): Placement[] {
	const placements: Placement[] = [];
	const tasksByZone = { ...grant.tasksByZone };
	const machinesWithTask = new Set(grant.replicaMachines ?? []);
	let remaining = grant.count;
	for (const { withImage, maxPerMachine, skipMachinesWithTask } of passesFor(spec, grant.count)) {
		for (const machine of machines) {
			if (remaining <= 0) return placements;
			if (machine.images.includes(spec.image) !== withImage || grant.avoidedMachines.includes(machine.id))
				continue;
			if (skipMachinesWithTask && machinesWithTask.has(machine.id)) continue;
			const count = Math.min(
				remaining,
				maxPerMachine,
				tasksThatFit(spec, machine),
				zoneTaskHeadroom(spec, tasksByZone, machine.zone),
			);
			if (count <= 0) continue;
			machinesWithTask.add(machine.id);
			deductResources(machine, spec, count);
			tasksByZone[machine.zone] = (tasksByZone[machine.zone] ?? 0) + count;
			remaining -= count;
			placements.push({ jobId: grant.jobId, machineId: machine.id, count });
		}
	}
	return placements;
}

function deductResources(machine: MachineCapacity, spec: JobSpec, count: number): void {
	machine.cpus -= count * spec.cpus;
	machine.gpus -= count * spec.gpus;
	machine.memory -= count * spec.memoryGb;
	machine.slots -= count;
}
