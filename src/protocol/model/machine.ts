/** Machine types that the cloud offers and machines that it lists, decoded from the names on the wire. */

import type { MachineId } from "./identifiers.js";

/** A type of machine that the cloud offers. The fields are stored under these names. */
export interface MachineType {
	name: string;
	cpus: number;
	gpus: number;
	memoryGb: number;
	/** Size of the image cache. */
	cacheGb: number;
	fetchGbPerS: number;
	/** Price per hour of an on-demand machine, and the current price per hour of a spot machine. */
	price: number;
	spotPrice: number;
	/** Usual boot time. */
	bootS: number;
	zones: string[];
}

/** A machine in the cloud's list, which may be outdated. */
export interface ListedMachine {
	id: MachineId;
	/** Address of its worker; empty: not known yet. */
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	/** A failed machine has stopped by itself and stays listed until it is deleted. */
	status: "booting" | "running" | "failed";
	/** Seconds since the request that created the machine. */
	ageS: number;
}
