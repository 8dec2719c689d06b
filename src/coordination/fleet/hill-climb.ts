import { tasksHeld, typeFits } from "../../bookkeeping/machine-fit.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";

/** The decisions of the hill climb as pure functions. */

/** The operators' settings of the hill climb, under their names in the settings file. */
export interface HillClimbSettings {
	/** The load thresholds, as multiples of the mean work of a busy machine. */
	high: number;
	low: number;
	/** The up counter triggers a scale-out when it exceeds this. */
	up_past: number;
	/** The down counter triggers draining when it reaches this. */
	down_at: number;
	/** Limits the remaining seconds that are counted for a task. */
	cap_s: number;
}

/** Counts rounds with a load beyond a threshold; one that is far above the high threshold counts several times. */
export interface ScalingCounters {
	up: number;
	down: number;
}

export type ScalingAction = "up" | "down" | "none";

/** Returns the load: remaining work divided by the number of machines minus one half. */
export function loadOf(work: number, machines: number): number {
	return work / (machines - 0.5);
}

/**
 * Returns the counters after a round, and what to do.
 *
 * @param unit What the thresholds are multiples of: the mean cores of a machine times the mean remaining seconds of a
 *   running task.
 */
export function nextScalingDecision(
	counters: ScalingCounters,
	load: number,
	machines: number,
	unit: number,
	settings: HillClimbSettings,
): { counters: ScalingCounters; action: ScalingAction } {
	const high = settings.high * unit;
	const low = settings.low * unit;
	if (load > high) {
		const up = counters.up + Math.floor(load / high);
		return up > settings.up_past
			? { counters: { up: 0, down: 0 }, action: "up" }
			: { counters: { up, down: 0 }, action: "none" };
	}
	if (load <= low) {
		if (machines <= 1) return { counters: { up: 0, down: counters.down }, action: "none" };
		const down = counters.down + 1;
		return down >= settings.down_at
			? { counters: { up: 0, down: 0 }, action: "down" }
			: { counters: { up: 0, down }, action: "none" };
	}
	return { counters: { up: 0, down: 0 }, action: "none" };
}

/** Returns how many machines of a type bring the load down to the high threshold, at most `most`. */
export function machinesToAdd(
	work: number,
	machines: number,
	cpus: number,
	typeCpus: number,
	highPerCpu: number,
	most: number,
): number {
	let k = 0;
	while (k < most) {
		const n = machines + k;
		if (n > 0) {
			const mean = (cpus + k * typeCpus) / n;
			if (loadOf(work, n) <= highPerCpu * mean) break;
		}
		k += 1;
	}
	return k;
}

/**
 * Returns how many of the candidates can be removed, in their order, until the load would exceed the low threshold. This
 * is the counterpart of `machinesToCut`, so that a fleet of hundreds does not shrink by one machine at a time. At most an
 * eighth of the fleet is removed at once: load comes in waves, and replacing a machine that was removed too early takes a
 * boot.
 *
 * @param leaving The cores of each candidate.
 */
export function machinesToRemove(
	work: number,
	machines: number,
	cpus: number,
	leaving: readonly number[],
	lowPerCpu: number,
): number {
	const most = Math.max(1, Math.floor(machines / 8));
	let left = cpus;
	for (let k = 0; k < leaving.length; k++) {
		if (k === most) return k;
		left -= leaving[k] as number;
		const n = machines - k - 1;
		// The first removal was decided by the down counter, and does not depend on the load after it.
		if (k > 0 && (n < 1 || loadOf(work, n) > lowPerCpu * (left / n))) return k;
	}
	return leaving.length;
}

/** A kind of machine that the cloud offers: a type in a zone, as a spot machine or not. */
export interface MachineOffer {
	type: MachineType;
	zone: string;
	spot: boolean;
	hourlyPrice: number;
}

/** Returns a key that identifies the offer. */
export function offerKey(offer: Pick<MachineOffer, "type" | "zone" | "spot">): string {
	return `${offer.type.name}|${offer.zone}|${offer.spot ? "spot" : "ordinary"}`;
}

/** Returns all offers whose machines could hold a task of the job. */
export function offersFor(spec: JobSpec, types: MachineType[]): MachineOffer[] {
	const offers: MachineOffer[] = [];
	for (const type of types) {
		if (!typeFits(spec, type)) continue;
		for (const zone of type.zones) {
			if (spec.zone !== null && spec.zone !== zone) continue;
			if (spec.allowSpot) offers.push({ type, zone, spot: true, hourlyPrice: type.spotPrice });
			offers.push({ type, zone, spot: false, hourlyPrice: type.price });
		}
	}
	return offers;
}

/** The time for which a created machine is expected to be used; the cost of its boot is spread over it. */
const expectedUseS = 120;

/**
 * Returns the offers by the cost of a core that would be used, cheapest first. The cost of a machine that is larger than
 * needed is spread over the needed cores, and the cost of its boot time over the use that follows.
 */
export function rankOffers(offers: MachineOffer[], spec: JobSpec, neededCpus: number): MachineOffer[] {
	const cost = (offer: MachineOffer) => {
		const usable = Math.min(tasksHeld(spec, offer.type) * spec.cpus, Math.max(neededCpus, spec.cpus));
		return (offer.hourlyPrice * (offer.type.bootS + expectedUseS)) / expectedUseS / usable;
	};
	return offers
		.map((offer) => ({ offer, cost: cost(offer) }))
		.sort((a, b) => a.cost - b.cost || b.offer.type.cpus - a.offer.type.cpus)
		.map((x) => x.offer);
}
