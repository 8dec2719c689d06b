/**
 * The cloud's API: machine types, creation and deletion of machines, and the machine list. Functions named `xBody`
 * and `xPath` build requests; functions named `parseX` read responses and throw a MalformedMessageError if a
 * response does not have the published form.
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
 * | `truncated` | `hasMore`: further machines follow |
 * | `from` | the machine after which a page of the list begins |
 */

import * as v from "valibot";
import type { MachineId } from "../model/identifiers.js";
import type { ListedMachine, MachineType } from "../model/machine.js";
import { checkShape, name, nonNegative, orNull, positive } from "../schema-checks.js";
import { paths } from "./paths.js";

/** The boot time of a machine type for which the cloud states none. */
const defaultBootS = 60;

/** The image fetch rate of a machine type for which the cloud states none. */
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

/** Parses the machine types that the cloud offers. */
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

/** A request to create machines of one type in one zone, either all spot or all on-demand. */
export interface ScaleOutRequest {
	/**
	 * Unique to the request: the cloud answers a repeated name with the response to the first request of that name.
	 */
	name: string;
	machineType: string;
	zone: string;
	spot: boolean;
	count: number;
}

/** Returns the body of a request that creates machines. */
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

/** Parses the ids of the created machines. */
export function parseCreatedMachines(raw: unknown): MachineId[] {
	return checkShape(CreatedMachinesBody, raw).hosts;
}

const NoCapacityBody = v.object({ error: v.literal("no capacity") });

/** True if the body of a 503 response reports a lack of capacity rather than an outage. */
export function isNoCapacity(raw: unknown): boolean {
	return v.is(NoCapacityBody, raw);
}

/** Returns the body of a request that deletes machines. */
export function deleteMachinesBody(machines: MachineId[]) {
	return { hosts: machines };
}

/**
 * Returns the path of one page of the machine list, which is ordered by machine id.
 *
 * @param afterMachine The page begins after this machine; empty: with the first machine.
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
	/** Further pages follow. */
	hasMore: boolean;
}

/** Parses a page of the machine list. */
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
		// A machine with any other status may run tasks, so it counts as running.
		status: host.status === "booting" || host.status === "failed" ? host.status : "running",
		ageS: host.age_s ?? 0,
	};
}
