/** The decisions of the hill climb as pure functions. */

import { maxTasksPerMachine, typeFits } from "../../bookkeeping/machine-fit.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";

/** The operators' settings of the hill climb, under their names in the settings file. */
export interface HillClimbSettings {
	/** The load thresholds, as multiples of the mean work of a busy machine. */
	high: number;
	low: number;
	/** The up counter triggers a scale-out when it exceeds this. */
	up_past: number;
	/** The down counter triggers draining when it reaches this. */
	down_at: number;
	/** The maximum remaining seconds that are counted for a task. */
	cap_s: number;
}

/** Counts rounds with a load beyond a threshold; one that is far above the high threshold counts several times. */
export interface ScalingCounters {
	up: number;
	down: number;
}

/** What a round of the hill climb does: add a machine, drain one, or nothing. */
export type ScalingAction = "up" | "down" | "none";

/** Returns the load: remaining work divided by the number of machines minus one half. */
export function loadOf(remainingWork: number, machineCount: number): number {
	return remainingWork / (machineCount - 0.5);
}

/**
 * Returns the counters after a round, and what to do.
 *
 * @param thresholdUnit The load of which the thresholds are multiples: the mean cores of a machine times the
 *   mean remaining seconds of a running task.
 */
export function nextScalingDecision(
	counters: ScalingCounters,
	load: number,
	machineCount: number,
	thresholdUnit: number,
	settings: HillClimbSettings,
): { counters: ScalingCounters; action: ScalingAction } {
	const high = settings.high * thresholdUnit;
	const low = settings.low * thresholdUnit;
	if (load > high) {
		const up = counters.up + Math.floor(load / high);
		return up > settings.up_past
			? { counters: { up: 0, down: 0 }, action: "up" }
			: { counters: { up, down: 0 }, action: "none" };
	}
	if (load <= low) {
		if (machineCount <= 1) return { counters: { up: 0, down: counters.down }, action: "none" };
		const down = counters.down + 1;
		return down >= settings.down_at
			? { counters: { up: 0, down: 0 }, action: "down" }
			: { counters: { up: 0, down }, action: "none" };
	}
	return { counters: { up: 0, down: 0 }, action: "none" };
}

/** Returns how many machines of a type bring the load down to the high threshold, at most `maxAdded`. */
export function machinesToAdd(
	remainingWork: number,
	machineCount: number,
	cpus: number,
	typeCpus: number,
	highThresholdPerCpu: number,
	maxAdded: number,
): number {
	let added = 0;
	while (added < maxAdded) {
		const machinesAfter = machineCount + added;
		if (machinesAfter > 0) {
			const meanCpus = (cpus + added * typeCpus) / machinesAfter;
			if (loadOf(remainingWork, machinesAfter) <= highThresholdPerCpu * meanCpus) break;
		}
		added += 1;
	}
	return added;
}

/**
 * Returns how many of the candidates can be removed, in their order, until the load would exceed the low
 * threshold. This is the counterpart of `machinesToAdd`, so that a fleet of hundreds does not shrink by one
 * machine at a time. At most an eighth of the fleet is removed at once: load comes in waves, and replacing a
 * machine that was removed too early takes as long as a boot.
 *
 * @param cpusOfCandidates The cores of each candidate.
 */
export function machinesToRemove(
	remainingWork: number,
	machineCount: number,
	cpus: number,
	cpusOfCandidates: readonly number[],
	lowThresholdPerCpu: number,
): number {
	const maxRemoved = Math.max(1, Math.floor(machineCount / 8));
	let remainingCpus = cpus;
	for (let removed = 0; removed < cpusOfCandidates.length; removed++) {
		if (removed === maxRemoved) return removed;
		remainingCpus -= cpusOfCandidates[removed] as number;
		const machinesAfter = machineCount - removed - 1;
		// The first removal was decided by the down counter, and does not depend on the load after it.
		if (
			removed > 0 &&
			(machinesAfter < 1 ||
				loadOf(remainingWork, machinesAfter) > lowThresholdPerCpu * (remainingCpus / machinesAfter))
		)
			return removed;
	}
	return cpusOfCandidates.length;
}

/** A kind of machine that the cloud offers: a type in a zone, as a spot or on-demand machine. */
export interface MachineOffer {
	type: MachineType;
	zone: string;
	spot: boolean;
	hourlyPrice: number;
}

/** Returns a key that identifies the offer. */
export function offerKey(offer: Pick<MachineOffer, "type" | "zone" | "spot">): string {
	return `${offer.type.name}|${offer.zone}|${offer.spot ? "spot" : "on-demand"}`;
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
 * Returns the offers by the cost of a core that would be used, cheapest first. The cost of a machine that is
 * larger than needed is spread over the needed cores, and the cost of its boot time over the use that follows.
 */
export function rankOffers(offers: MachineOffer[], spec: JobSpec, neededCpus: number): MachineOffer[] {
	const cost = (offer: MachineOffer) => {
		const usedCpus = Math.min(
			maxTasksPerMachine(spec, offer.type) * spec.cpus,
			Math.max(neededCpus, spec.cpus),
		);
		return (offer.hourlyPrice * (offer.type.bootS + expectedUseS)) / expectedUseS / usedCpus;
	};
	return offers
		.map((offer) => ({ offer, cost: cost(offer) }))
		.sort((a, b) => a.cost - b.cost || b.offer.type.cpus - a.offer.type.cpus)
		.map((ranked) => ranked.offer);
}
