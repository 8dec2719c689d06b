import type { MachineType } from "../../src/protocol/model/machine.js";

/** A machine type with what matters to a test; the rest is of no account. */
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
