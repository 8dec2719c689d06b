import { uniformInt } from "pure-rand/distribution/uniformInt";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import { zoneRoom } from "../../bookkeeping/zone-rules.js";
import { isService, type JobSpec } from "../../protocol/model/job.js";
import type { Grant, MachineCapacity, Placement } from "../../protocol/peer/messages.js";

/** Sums of decimals drift; amounts that differ by less are equal. */
const slack = 1e-6;

/** Returns how many tasks of the job fit in the machine's free capacity; 0 if the job does not allow the machine. */
function fits(spec: JobSpec, m: MachineCapacity): number {
	if (spec.machineTypes !== null && !spec.machineTypes.includes(m.type)) return 0;
	if (spec.zone !== null && spec.zone !== m.zone) return 0;
	if (m.spot && !spec.allowSpot) return 0;
	let n = m.slots;
	if (spec.cpus > 0) n = Math.min(n, Math.floor((m.cpus + slack) / spec.cpus));
	if (spec.gpus > 0) n = Math.min(n, Math.floor((m.gpus + slack) / spec.gpus));
	if (spec.memoryGb > 0) n = Math.min(n, Math.floor((m.memory + slack) / spec.memoryGb));
	return Math.max(0, n);
}

/**
 * Returns how many tasks of the job fit on the machines, regardless of other jobs that compete for the same capacity.
 *
 * @param zones Tasks of the job that may already be running, by zone.
 */
export function placeableTasks(
	spec: JobSpec,
	zones: Record<string, number>,
	machines: MachineCapacity[],
): number {
	const byZone = new Map<string, number>();
	for (const m of machines) {
		const n = fits(spec, m);
		if (n > 0) byZone.set(m.zone, (byZone.get(m.zone) ?? 0) + n);
	}
	let sum = 0;
	let most = 0;
	for (const [zone, n] of byZone) {
		const room = Math.min(n, zoneRoom(spec, zones, zone));
		sum += room;
		most = Math.max(most, room);
	}
	return spec.singleZone ? most : sum;
}

/** Returns a uniform random sample of at most `most` items; all of them, in their order, if there are no more. */
export function randomSample<T>(all: T[], most: number, random: RandomGenerator): T[] {
	if (all.length <= most) return all;
	const pool = all.slice();
	for (let i = 0; i < most; i++) {
		const j = uniformInt(random, i, pool.length - 1);
		const held = pool[i] as T;
		pool[i] = pool[j] as T;
		pool[j] = held;
	}
	return pool.slice(0, most);
}

/**
 * Places one placer's grants by first fit, in their order. Machines that have the image cached come first, then the
 * others, each in the given order, starting at `start` and wrapping around. Deducts the placed tasks from the free
 * amounts of `machines`.
 */
export function placeFirstFit(
	machines: MachineCapacity[],
	grants: Grant[],
	specOf: (job: string) => JobSpec | undefined,
	start = 0,
): Placement[] {
	const placements: Placement[] = [];
	const order = start === 0 ? machines : [...machines.slice(start), ...machines.slice(0, start)];
	for (const grant of grants) {
		const spec = specOf(grant.jobId);
		if (spec) placements.push(...placeGrant(order, grant, spec));
	}
	return placements;
}

/** One pass over the machines. */
interface PlacingPass {
	/** True: only machines that have the image cached; false: only the others. */
	withImage: boolean;
	most: number;
	/** Skips machines that run a replica of the job. */
	apart: boolean;
}

function passesFor(spec: JobSpec, count: number): PlacingPass[] {
	const anywhere = [true, false].map((withImage) => ({ withImage, most: count, apart: false }));
	if (!isService(spec)) return anywhere;
	// Replicas are spread over as many machines as possible, so that losing a machine costs one replica.
	return [...[true, false].map((withImage) => ({ withImage, most: 1, apart: true })), ...anywhere];
}

function placeGrant(machines: MachineCapacity[], grant: Grant, spec: JobSpec): Placement[] {
	const placements: Placement[] = [];
	const zones = { ...grant.tasksByZone };
	const taken = new Set(grant.replicaMachines ?? []);
	let left = grant.count;
	for (const { withImage, most, apart } of passesFor(spec, grant.count)) {
		for (const machine of machines) {
			if (left <= 0) return placements;
			if (machine.images.includes(spec.image) !== withImage || grant.avoidedMachines.includes(machine.id))
				continue;
			if (apart && taken.has(machine.id)) continue;
			const count = Math.min(left, most, fits(spec, machine), zoneRoom(spec, zones, machine.zone));
			if (count <= 0) continue;
			taken.add(machine.id);
			takeFrom(machine, spec, count);
			zones[machine.zone] = (zones[machine.zone] ?? 0) + count;
			left -= count;
			placements.push({ jobId: grant.jobId, machineId: machine.id, count });
		}
	}
	return placements;
}

function takeFrom(machine: MachineCapacity, spec: JobSpec, count: number): void {
	machine.cpus -= count * spec.cpus;
	machine.gpus -= count * spec.gpus;
	machine.memory -= count * spec.memoryGb;
	machine.slots -= count;
}
