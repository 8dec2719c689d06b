/** Fleets of the sizes in operation, for tests that measure cost by fleet size. */

import { Machine } from "../../src/bookkeeping/machine.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { makeSchedulable } from "./machines.js";
import { mediumType } from "./specs.js";

/** Machines of the largest fleet in operation, and twice as many. */
export const largeFleetSizes = [4000, 8000] as const;

/** A link between controllers is closed when more than this many bytes are queued on it. */
export const maxLinkBytes = 2 * 1024 * 1024;

/** Returns the id of the machine at this index of the cloud's list. */
export function largeFleetMachineId(index: number): string {
	return `n-${String(index).padStart(6, "0")}`;
}

/** Returns the cluster state of a leader with `size` schedulable machines in three zones, every other one spot. */
export function largeFleet(size: number): ClusterState {
	const teams = [
		{ name: "red", guaranteed: { cpus: 10 * size, gpus: 0 }, limit: { cpus: 10 * size, gpus: 0 } },
	];
	const clusterState = new ClusterState({ term: 7, teams, machineTypes: [mediumType] });
	for (let i = 0; i < size; i++) {
		const machine = new Machine(
			{
				id: largeFleetMachineId(i),
				type: mediumType,
				zone: mediumType.zones[i % 3] as string,
				spot: i % 2 === 0,
				origin: "heartbeat",
			},
			0,
		);
		makeSchedulable(machine);
		clusterState.addMachine(machine);
	}
	return clusterState;
}
