/** Machines and heartbeats for tests that need no simulated worker. */

import type { Machine } from "../../src/bookkeeping/machine.js";
import type { WorkerHeartbeat } from "../../src/protocol/model/worker.js";

/** A heartbeat of the machine's worker without tasks, with what a test wants otherwise. */
export function heartbeatOf(machine: Machine, more: Partial<WorkerHeartbeat> = {}): WorkerHeartbeat {
	return {
		machineId: machine.id,
		endpoint: `${machine.id}:9000`,
		machineType: machine.type.name,
		zone: machine.zone,
		spot: machine.spot,
		agentEpoch: 1,
		sequence: machine.agent.sequence + 1,
		fencingToken: 0,
		reclaimInS: null,
		tasks: [],
		...more,
	};
}

/** The machine's worker has shown the leader's fencing token, and its record is in the store. */
export function makeSchedulable(machine: Machine, now = Number.NEGATIVE_INFINITY): void {
	machine.agent.heartbeatReceived(heartbeatOf(machine), now);
	machine.agent.fencingConfirmed();
	machine.lifecycle.markRecorded();
}
