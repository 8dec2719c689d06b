import { Machine, unknownMachineType } from "../../src/bookkeeping/machine.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { heartbeatOf } from "./machines.js";

export function fleetOf(size: number): ClusterState {
	const clusterState = new ClusterState({ term: 1, teams: [], machineTypes: [] });
	for (let i = 0; i < size; i++) {
		const machine = new Machine(
			{ id: `n-${i}`, type: unknownMachineType("t"), zone: "a", spot: true, origin: "heartbeat" },
			0,
		);
		machine.agent.heartbeatReceived(heartbeatOf(machine), Number.NEGATIVE_INFINITY);
		clusterState.addMachine(machine);
	}
	return clusterState;
}
