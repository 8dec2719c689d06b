import { Machine } from "../../src/bookkeeping/machine.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import type { Term } from "../../src/protocol/model/identifiers.js";
import type { MachineType } from "../../src/protocol/model/machine.js";
import { makeSchedulable } from "./machines.js";

export const smallType: MachineType = {
	name: "small",
	cpus: 4,
	gpus: 0,
	memoryGb: 16,
	cacheGb: 50,
	fetchGbPerS: 1,
	price: 0.4,
	spotPrice: 0.1,
	bootS: 30,
	zones: ["a", "b"],
};

/** Returns a cluster state with schedulable spot machines in two zones, and two teams limited to `cpusMax`. */
export function clusterStateWith(machines: number, cpusMax = 8, term: Term = 7): ClusterState {
	const clusterState = new ClusterState({
		term,
		teams: ["red", "blue"].map((name) => ({
			name,
			guaranteed: { cpus: 4, gpus: 0 },
			limit: { cpus: cpusMax, gpus: 0 },
		})),
		machineTypes: [smallType],
	});
	for (let i = 0; i < machines; i++) {
		const m = new Machine(
			{ id: `n-${i}`, type: smallType, zone: i % 2 ? "b" : "a", spot: true, origin: "heartbeat" },
			0,
		);
		makeSchedulable(m);
		clusterState.addMachine(m);
	}
	return clusterState;
}
