/**
 * The cloud's API: machine types, creation and deletion of machines, and the machine list. `xBody` and `xPath`
 * make requests, `xFrom` reads responses and throws a MalformedMessageError for one that lacks the published
 * form.
 *
 * | on the wire | here |
 * | --- | --- |
 * | `shapes`, `sku`, `shape` | machine types, the name of one, the type of a machine |
 * | `cores`, `accelerators`, `ram_gb` | `cpus`, `gpus`, `memoryGb` |
 * | `local_gb` | `cacheGb`, the size of the image cache |
 * | `fetch_gb_per_s` | `fetchGbPerS` |
 * | `rate`, `market_price` | `price`, `spotPrice`, per hour |
 * | `boot_s` | `bootS` |
 * | `halls`, `hall` | zones |
 * | `loaners` | spot machines |
 * | `hosts` | machines |
 * | `hire` | the name of a scale-out request |
 * | `age_s` | `ageS` |
 * | `truncated` | `more` machines follow |
 * | `from` | the machine after which a page of the list begins |
 */

import * as v from "valibot";
import type { MachineId } from "../model/identifiers.js";
import type { ListedMachine, MachineType } from "../model/machine.js";
import { checkShape, name, nonNegative, orNull, positive } from "../schema-checks.js";
import { paths } from "./paths.js";

/** Assumed where the cloud does not say how long a type takes to boot. */
const defaultBootS = 60;

/** Assumed where the cloud does not say how fast a type fetches images. */
const defaultFetchGbPerS = 0.1;

const MachineTypeBody = v.object({
	sku: name,
	cores: positive,
	accelerators: orNull(nonNegative),
	ram_gb: positive,
	local_gb: orNull(nonNegative),
	fetch_gb_per_s: orNull(nonNegative),
	rate: nonNegative,
	market_price: orNull(nonNegative),
	boot_s: orNull(nonNegative),
	halls: v.array(name),
});

const MachineTypesBody = v.object({ shapes: v.array(MachineTypeBody) });

/** Reads the machine types on offer. */
export function parseMachineTypes(raw: unknown): MachineType[] {
	return checkShape(MachineTypesBody, raw).shapes.map((type) => ({
		name: type.sku,
		cpus: type.cores,
		gpus: type.accelerators ?? 0,
		memoryGb: type.ram_gb,
		cacheGb: type.local_gb ?? 0,
		fetchGbPerS: type.fetch_gb_per_s ?? defaultFetchGbPerS,
		price: type.rate,
		spotPrice: type.market_price ?? type.rate,
		bootS: type.boot_s ?? defaultBootS,
		zones: type.halls,
	}));
}

/** A request to create machines of one type, zone and kind. */
export interface ScaleOutRequest {
	/** Never used for another request: the cloud answers a repeated name as it did the first time. */
	name: string;
	machineType: string;
	zone: string;
	spot: boolean;
	count: number;
}

/** The request that creates machines. */
export function createMachinesBody(request: ScaleOutRequest) {
	return {
		hire: request.name,
		shape: request.machineType,
		hall: request.zone,
		loaners: request.spot,
		count: request.count,
	};
}

const CreatedMachinesBody = v.object({ hosts: v.array(name) });

/** Reads which machines were created. */
export function parseCreatedMachines(raw: unknown): MachineId[] {
	return checkShape(CreatedMachinesBody, raw).hosts;
}

const NoCapacityBody = v.object({ error: v.literal("no capacity") });

/** Whether the body of a 503 says that there is no capacity for the request, rather than an outage. */
export function isNoCapacity(raw: unknown): boolean {
	return v.is(NoCapacityBody, raw);
}

/** The request that deletes machines. */
export function deleteMachinesBody(machines: MachineId[]) {
	return { hosts: machines };
}

/**
 * Path of a page of the machine list, in the order of the machines' names.
 *
 * @param afterMachine The page begins after this machine; empty: with the first one.
 */
export function machineListPath(afterMachine: MachineId, limit: number): string {
	const from = afterMachine === "" ? "" : `from=${encodeURIComponent(afterMachine)}&`;
	return `${paths.machines}?${from}limit=${limit}`;
}

const ListedMachineBody = v.object({
	id: name,
	endpoint: orNull(v.string()),
	shape: name,
	hall: name,
	loaners: orNull(v.boolean()),
	status: orNull(v.string()),
	age_s: orNull(v.number()),
});

const MachineListBody = v.object({ hosts: v.array(ListedMachineBody), truncated: orNull(v.boolean()) });

/** One page of the machine list. */
export interface MachineListPage {
	machines: ListedMachine[];
	/** Whether further pages follow. */
	hasMore: boolean;
}

/** Reads a page of the machine list. */
export function parseMachineList(raw: unknown): MachineListPage {
	const { hosts, truncated } = checkShape(MachineListBody, raw);
	return { machines: hosts.map(toListedMachine), hasMore: truncated === true };
}

function toListedMachine(host: v.InferOutput<typeof ListedMachineBody>): ListedMachine {
	return {
		id: host.id,
		endpoint: host.endpoint ?? "",
		machineType: host.shape,
		zone: host.hall,
		spot: host.loaners === true,
		// A machine in any other state may hold tasks.
		status: host.status === "booting" || host.status === "failed" ? host.status : "running",
		ageS: host.age_s ?? 0,
	};
}
