/** A cluster state with one job and one machine, and heartbeats of that machine's worker. */

import assert from "node:assert/strict";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { reconcileHeartbeat } from "../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../src/coordination/workers/worker-commands.js";
import type { AttemptNumber } from "../../src/protocol/model/identifiers.js";
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

/** A worker's lease that was last renewed longer ago than this has expired. */
export const workerLeaseExpiryMs = 12_000;

/** Returns the cluster state of a leader with the job and no machine. */
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

/** Returns a heartbeat of `n-1` that shows the leader's fencing token, with the given fields replaced. */
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

/** Returns an attempt at a task of `j-1`, as a heartbeat lists it. */
export function taskStatus(
	taskIndex: number,
	attempt: AttemptNumber,
	state: TaskStatus["state"],
	exitCause: TaskStatus["exitCause"] = null,
): TaskStatus {
	return { jobId: "j-1", taskIndex, attempt, state, exitCause, checkpointed: false };
}

/** Returns the state with a machine to which tasks may be assigned: it has sent a heartbeat, and its record is stored. */
export function stateWithMachine() {
	const { clusterState, job } = stateWithJob();
	reconcileHeartbeat(clusterState, heartbeat(1), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	return { clusterState, job, machine };
}

/** Returns the state with that machine and one start command sent to it. */
export function stateWithSentStart() {
	const { clusterState, job, machine } = stateWithMachine();
	const attempt = clusterState.assignNextTask(job, machine);
	assert.ok(attempt);
	const commands = issueCommands(clusterState, machine);
	assert.deepEqual(commands, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt: attempt.number }]);
	return { clusterState, job, machine, attempt };
}
