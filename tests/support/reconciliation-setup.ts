/** A cluster state with one job and one machine, and heartbeats of that machine's worker. */

import assert from "node:assert/strict";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { reconcileHeartbeat } from "../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../src/coordination/workers/worker-commands.js";
import type { MachineType } from "../../src/protocol/model/machine.js";
import type { TeamQuota } from "../../src/protocol/model/team-quota.js";
import type { TaskStatus, WorkerHeartbeat } from "../../src/protocol/model/worker.js";
import { specOf } from "./specs.js";

/** The type of the machine. */
export const machineType: MachineType = {
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

/** The quota of the job's team. */
export const teamRed: TeamQuota = {
	name: "red",
	guaranteed: { cpus: 8, gpus: 0 },
	limit: { cpus: 8, gpus: 0 },
};

/** The job `j-1`, with four tasks of one CPU each. */
export const spec = specOf("j-1", { cpus: 1 });

/** The term of the leader, and its fencing token. */
export const term = 41;

/** A worker's lease that was renewed longer ago than this has certainly expired. */
export const workerLeaseExpiryMs = 12_000;

/** A leader that knows the job and no machine. */
export function stateWithJob() {
	const clusterState = new ClusterState({
		term,
		teams: [teamRed],
		machineTypes: [machineType],
		workerLeaseExpiryMs,
	});
	const job = clusterState.addJob("j-1", spec, 0, 1);
	job.resetWaitingTasks();
	return { clusterState, job };
}

/** A heartbeat of `n-1` that shows the leader's fencing token, with what a test wants otherwise. */
export function heartbeat(
	sequence: number,
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
		sequence,
		fencingToken: term,
		reclaimInS: null,
		tasks,
		...more,
	};
}

/** An attempt at a task of `j-1`, as a heartbeat lists it. */
export function taskStatus(
	taskIndex: number,
	attempt: number,
	state: TaskStatus["state"],
	exitCause: TaskStatus["exitCause"] = null,
): TaskStatus {
	return { jobId: "j-1", taskIndex, attempt, state, exitCause, checkpointed: false };
}

/** The machine after its first heartbeat and the write of its record: new tasks may be assigned to it. */
export function stateWithMachine() {
	const { clusterState, job } = stateWithJob();
	reconcileHeartbeat(clusterState, heartbeat(1), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	return { clusterState, job, machine };
}

/** The same, with one start sent to the machine. */
export function stateWithSentStart() {
	const { clusterState, job, machine } = stateWithMachine();
	const attempt = clusterState.assignNextTask(job, machine);
	assert.ok(attempt);
	const commands = issueCommands(clusterState, machine);
	assert.deepEqual(commands, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt: attempt.number }]);
	return { clusterState, job, machine, attempt };
}
