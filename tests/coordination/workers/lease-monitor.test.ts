import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { LeaseMonitor } from "../../../src/coordination/workers/lease-monitor.js";
import {
	heartbeat,
	machineType,
	stateWithJob,
	stateWithSentStart,
	taskStatus,
	workerLeaseExpiryMs,
} from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";

describe("the leases of workers that send no heartbeats", () => {
	test("a machine's tasks restart elsewhere only once the whole lease expiry period has passed since the last response", () => {
		const { clusterState, job, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2, [taskStatus(0, attempt.number, "running")]), 1000);
		machine.agent.responseSent(1000);
		const monitor = new LeaseMonitor(clusterState, 0, silentLog);
		monitor.tick(1000 + workerLeaseExpiryMs, false);
		assert.equal(machine.agent.leaseExpired, false);
		assert.equal(job.attempts.size, 1);
		monitor.tick(1001 + workerLeaseExpiryMs, false);
		assert.equal(machine.agent.leaseExpired, true);
		assert.equal(job.attempts.size, 0);
		assert.ok([...job.waitingTasks].includes(0));
	});

	test("the lease of a machine without a heartbeat expires only if the machine may run tasks of an earlier leader", () => {
		const { clusterState } = stateWithJob();
		const [created, recorded] = (["created", "record"] as const).map((origin) => {
			const machine = new Machine({ id: origin, type: machineType, zone: "a", spot: true, origin }, 0);
			clusterState.addMachine(machine);
			return machine;
		}) as [Machine, Machine];
		clusterState.markUnreconciled(recorded);
		new LeaseMonitor(clusterState, 0, silentLog).tick(workerLeaseExpiryMs + 1, false);
		assert.equal(created.agent.leaseExpired, false);
		assert.equal(recorded.agent.leaseExpired, true);
		assert.ok(clusterState.reconciled);
	});
});

describe("many unreachable machines", () => {
	/** Creates a lease monitor for machines that all count as unreachable. */
	function unreachableMachines(count: number) {
		const { clusterState } = stateWithJob();
		for (let i = 0; i < count; i++) {
			const machineId = `n-${i}`;
			reconcileHeartbeat(clusterState, heartbeat(1, [], { machineId }), 0);
			const machine = clusterState.machines.get(machineId);
			const ineffective = { leaseExpired: false, startMissing: true, startListed: false };
			for (let n = 0; n < 2; n++) machine?.agent.updateReachability(ineffective, workerLeaseExpiryMs, 0);
		}
		const monitor = new LeaseMonitor(clusterState, 0, silentLog);
		const countUnreachable = () =>
			[...clusterState.machines.values()].filter(({ agent }) => agent.unreachableSince !== null).length;
		return { monitor, stillUnreachable: countUnreachable };
	}

	test("are assumed reachable while the process is overloaded, since its responses are late", () => {
		const { monitor, stillUnreachable } = unreachableMachines(3);
		monitor.tick(1, false);
		assert.equal(stillUnreachable(), 3);
		monitor.tick(2, true);
		assert.equal(stillUnreachable(), 0);
	});

	test("still count as unreachable while the process is overloaded if they are at most two", () => {
		const { monitor, stillUnreachable } = unreachableMachines(2);
		monitor.tick(1, true);
		assert.equal(stillUnreachable(), 2);
	});
});
