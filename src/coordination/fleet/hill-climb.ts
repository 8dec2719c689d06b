import { maxTasksPerMachine, typeFits } from "../../bookkeeping/machine-fit.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";

/** The hill climb's decisions, without their effects. */

export interface HillClimbSettings {
	high: number;
	low: number;
	up_past: number;
	down_at: number;
	cap_s: number;
}

export interface ScalingCounters {
	up: number;
	down: number;
}

export type ScalingAction = "up" | "down" | "none";

/** Load is remaining work over machines less one half. */
export function loadOf(work: number, machines: number): number {
	return work / (machines - 0.5);
}

/** `unit` is what the marks are multiples of: mean cores of a machine times seconds. */
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

/** Machines of a type needed to bring the load down to the high mark. */
export function machinesToCut(
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
 * Machines that can go, of those given in order, before the load is above the low
 * mark: the counterpart of `machinesToCut`, so that a fleet of hundreds does not
 * shrink by one at a time. Never more than an eighth at once: load comes in waves,
 * and a machine that went too early takes a boot to replace.
 */
export function machinesToSpare(
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
		// The first is what the counter has asked for, whatever the load is without it.
		if (k > 0 && (n < 1 || loadOf(work, n) > lowPerCpu * (left / n))) return k;
	}
	return leaving.length;
}

export interface MachineOffer {
	type: MachineType;
	zone: string;
	spot: boolean;
	price: number;
}

export function offerKey(offer: Pick<MachineOffer, "type" | "zone" | "spot">): string {
	return `${offer.type.name}|${offer.zone}|${offer.spot ? "spot" : "ordinary"}`;
}

/** Every type, zone and kind that could hold a task of the job. */
export function offersFor(spec: JobSpec, types: MachineType[]): MachineOffer[] {
	const offers: MachineOffer[] = [];
	for (const type of types) {
		if (!typeFits(spec, type)) continue;
		for (const zone of type.zones) {
			if (spec.zone !== null && spec.zone !== zone) continue;
			if (spec.allowSpot) offers.push({ type, zone, spot: true, price: type.spotPrice });
			offers.push({ type, zone, spot: false, price: type.price });
		}
	}
	return offers;
}

/** Seconds of use that a rental is expected to bring, over which its boot time is spread. */
const expectedUseS = 120;

/**
 * Offers by what a core that the work would use costs: a machine larger than the
 * need is charged to the cores needed, and boot time, which is paid for and waited
 * for, to the use that follows.
 */
export function rankOffers(offers: MachineOffer[], spec: JobSpec, neededCpus: number): MachineOffer[] {
	const cost = (offer: MachineOffer) => {
		const usable = Math.min(
			maxTasksPerMachine(spec, offer.type) * spec.cpus,
			Math.max(neededCpus, spec.cpus),
		);
		return (offer.price * (offer.type.bootS + expectedUseS)) / expectedUseS / usable;
	};
	return offers
		.map((offer) => ({ offer, cost: cost(offer) }))
		.sort((a, b) => a.cost - b.cost || b.offer.type.cpus - a.offer.type.cpus)
		.map((x) => x.offer);
}
