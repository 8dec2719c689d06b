import type { MachineType } from "../../src/protocol/model/machine.js";

/** Returns a machine type with the given fields and arbitrary values for the rest. */
export function machineType(fields: Pick<MachineType, "name"> & Partial<MachineType>): MachineType {
	return {
		cpus: 4,
		gpus: 0,
		memoryGb: 32,
		cacheGb: 50,
		fetchGbPerS: 1,
		price: 1,
		spotPrice: 1,
		bootS: 30,
		zones: ["a"],
		...fields,
	};
}
