import assert from "node:assert/strict";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { commandsFor, reconcileHeartbeat } from "../../src/coordination/workers/heartbeat-reconciliation.js";
import type { TaskStatus, WorkerHeartbeat } from "../../src/protocol/model/worker.js";
import { specOf } from "./specs.js";

export const type = {
	name: "small",
	cpus: 8,
	gpus: 0,
	memoryGb: 32,
	cacheGb: 50,
	fetchGbPerS: 1,
	price: 1,
	spotPrice: 1,
	bootS: 30,
	zones: ["a"],
};

export const spec = specOf("j-1", { cpus: 1 });

export const epoch = 41;

export function fresh() {
	const clusterState = new ClusterState({
		term: epoch,
		teams: [{ name: "red", guaranteed: { cpus: 8, gpus: 0 }, limit: { cpus: 8, gpus: 0 } }],
		machineTypes: [type],
		workerLeaseExpiryMs: 12_000,
	});
	const job = clusterState.addJob("j-1", spec, 0, 1);
	job.resetWaitingTasks();
	return { clusterState, job };
}

export function report(
	seq: number,
	tasks: TaskStatus[] = [],
	more: Partial<WorkerHeartbeat> = {},
): WorkerHeartbeat {
	return {
		machineId: "n-1",
		endpoint: "n-1:9000",
		machineType: "small",
		zone: "a",
		spot: true,
		agentEpoch: 1,
		sequence: seq,
		fencingToken: epoch,
		reclaimInS: null,
		tasks,
		...more,
	};
}

export function task(
	taskIndex: number,
	attempt: number,
	state: TaskStatus["state"],
	exitCause: TaskStatus["exitCause"] = null,
): TaskStatus {
	return { jobId: "j-1", taskIndex, attempt, state, exitCause, checkpointed: false };
}

/** A machine that has reported, with one start sent to it. */
export function withOneSent() {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(1), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	const attempt = clusterState.assignNextTask(job, machine);
	assert.ok(attempt);
	const orders = commandsFor(clusterState, machine);
	assert.deepEqual(orders, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt: attempt.number }]);
	return { clusterState, job, machine, attempt };
}
