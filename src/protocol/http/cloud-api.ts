import * as v from "valibot";
import { amount, checkShape, name, orNull, positive } from "../checks.js";
import type { ListedMachine, MachineType } from "../model/machine.js";
import { paths } from "./paths.js";

/** The cloud's API: machine types, rentals, returns and the machine list. */

/** Assumed where the cloud does not say how long a type takes to boot. */
const usualBootS = 60;
const slowestFetchGbPerS = 0.1;

const MachineTypes = v.object({
	shapes: v.array(
		v.object({
			sku: name,
			cores: positive,
			accelerators: orNull(amount),
			ram_gb: positive,
			local_gb: orNull(amount),
			fetch_gb_per_s: orNull(amount),
			rate: amount,
			market_price: orNull(amount),
			boot_s: orNull(amount),
			halls: v.array(name),
		}),
	),
});

export function machineTypesFrom(raw: unknown): MachineType[] {
	return checkShape(MachineTypes, raw).shapes.map((type) => ({
		name: type.sku,
		cpus: type.cores,
		gpus: type.accelerators ?? 0,
		memoryGb: type.ram_gb,
		cacheGb: type.local_gb ?? 0,
		fetchGbPerS: type.fetch_gb_per_s ?? slowestFetchGbPerS,
		price: type.rate,
		spotPrice: type.market_price ?? type.rate,
		bootS: type.boot_s ?? usualBootS,
		zones: type.halls,
	}));
}

/** A request to rent machines of one type, zone and kind. A name is used for one request only. */
export interface ScaleOutRequest {
	name: string;
	machineType: string;
	zone: string;
	spot: boolean;
	count: number;
}

export function createMachinesBody(request: ScaleOutRequest) {
	return {
		hire: request.name,
		shape: request.machineType,
		hall: request.zone,
		loaners: request.spot,
		count: request.count,
	};
}

const Rented = v.object({ hosts: v.array(name) });

export function createdMachinesFrom(raw: unknown): string[] {
	return checkShape(Rented, raw).hosts;
}

export function isNoCapacity(raw: unknown): boolean {
	return (raw as { error?: unknown } | null)?.error === "no capacity";
}

export function deleteMachinesBody(machines: string[]) {
	return { hosts: machines };
}

export function machineListPath(after: string, limit: number): string {
	return `${paths.machines}?${after ? `from=${encodeURIComponent(after)}&` : ""}limit=${limit}`;
}

const Listed = v.object({
	hosts: v.array(
		v.object({
			id: name,
			endpoint: orNull(v.string()),
			shape: name,
			hall: name,
			loaners: orNull(v.boolean()),
			status: orNull(v.string()),
			age_s: orNull(v.number()),
		}),
	),
	truncated: orNull(v.boolean()),
});

/** One page of the machine list. */
export interface MachineListPage {
	machines: ListedMachine[];
	more: boolean;
}

export function machineListFrom(raw: unknown): MachineListPage {
	const page = checkShape(Listed, raw);
	return {
		machines: page.hosts.map((host) => ({
			id: host.id,
			endpoint: host.endpoint ?? "",
			machineType: host.shape,
			zone: host.hall,
			spot: host.loaners === true,
			// Any other state is one of a machine that may hold tasks.
			status: host.status === "booting" || host.status === "failed" ? host.status : "running",
			ageS: host.age_s ?? 0,
		})),
		more: page.truncated === true,
	};
}
