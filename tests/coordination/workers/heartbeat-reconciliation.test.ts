import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../../src/coordination/workers/worker-commands.js";
import type { TaskDemand } from "../../../src/protocol/model/job.js";
import {
	heartbeat,
	machineType,
	spec,
	stateWithJob,
	stateWithSentStart,
	taskStatus,
	teamRed,
	term,
	workerLeaseExpiryMs,
} from "../../support/reconciliation-setup.js";

describe("the conditions for the first start on a machine", () => {
	test("no task is assigned to a machine before its worker has shown the leader's fencing token", () => {
		const { clusterState, job } = stateWithJob();
		reconcileHeartbeat(clusterState, heartbeat(1, [], { fencingToken: term - 1 }), 0);
		const machine = clusterState.machines.get("n-1");
		assert.ok(machine);
		machine.lifecycle.markRecorded();
		assert.equal(
			clusterState.assignNextTask(job, machine),
			null,
			"responses of an earlier leader may still be in flight",
		);
		reconcileHeartbeat(clusterState, heartbeat(2), 0);
		assert.notEqual(clusterState.assignNextTask(job, machine), null);
	});

	test("no task is assigned to a machine before its record is stored", () => {
		const { clusterState, job } = stateWithJob();
		reconcileHeartbeat(clusterState, heartbeat(1), 0);
		const machine = clusterState.machines.get("n-1");
		assert.ok(machine?.agent.fenced);
		assert.equal(
			clusterState.assignNextTask(job, machine),
			null,
			"a later leader would find no record of the machine",
		);
		machine.lifecycle.markRecorded();
		assert.notEqual(clusterState.assignNextTask(job, machine), null);
	});
});

describe("tasks that a heartbeat lists or does not list", () => {
	test("a heartbeat older than the latest one is ignored as outdated", () => {
		const { clusterState, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(5, [taskStatus(0, attempt.number, "running")]), 100);
		assert.equal(reconcileHeartbeat(clusterState, heartbeat(4), 200).kind, "outdated");
		assert.equal(machine.attempts.size, 1);
		assert.equal(attempt.phase, "running");
	});

	test("the attempt of a task that a newer heartbeat does not list has ended, and the task waits for placement again", () => {
		const { clusterState, job, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2, [taskStatus(0, attempt.number, "running")]), 100);
		const result = reconcileHeartbeat(clusterState, heartbeat(3), 200);
		assert.equal(result.kind === "reconciled" && result.lostAttempts.length, 1);
		assert.ok([...job.waitingTasks].includes(0));
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
	});

	test("a heartbeat with an earlier fencing token adds the tasks that it lists but does not prove others absent", () => {
		const { clusterState, job } = stateWithJob();
		const earlierToken = { fencingToken: 7 };
		reconcileHeartbeat(clusterState, heartbeat(3, [taskStatus(2, 900, "running")], earlierToken), 0);
		assert.equal(job.attempts.get(2)?.number, 900);
		reconcileHeartbeat(clusterState, heartbeat(4, [], earlierToken), 10);
		assert.equal(
			job.attempts.get(2)?.number,
			900,
			"a response of the previous leader may arrive after this heartbeat",
		);
		assert.equal(clusterState.quotas.usage("red").cpus, 1);
		reconcileHeartbeat(clusterState, heartbeat(5), 20);
		assert.equal(job.attempts.has(2), false);
	});

	test("a late copy that lists an earlier attempt does not replace the later attempt of the task", () => {
		const { clusterState, job } = stateWithJob();
		const earlierToken = { fencingToken: 7 };
		reconcileHeartbeat(clusterState, heartbeat(7, [taskStatus(0, 900, "running")], earlierToken), 0);
		const laterHeartbeat = heartbeat(1, [taskStatus(0, 905, "running")], {
			...earlierToken,
			machineId: "n-2",
		});
		reconcileHeartbeat(clusterState, laterHeartbeat, 10);
		assert.equal(
			job.attempts.get(0)?.number,
			905,
			"it was assigned after the earlier attempt was confirmed to have ended",
		);
		assert.equal(clusterState.quotas.usage("red").cpus, 1);
		const otherMachine = clusterState.machines.get("n-2");
		assert.ok(otherMachine);
		assert.deepEqual(issueCommands(clusterState, otherMachine), []);
		reconcileHeartbeat(clusterState, heartbeat(9, [taskStatus(0, 900, "running")], earlierToken), 20);
		assert.equal(job.attempts.get(0)?.number, 905);
	});

	test("tasks that completed under an earlier leader count as done, and their job is returned so that it can end", () => {
		const { clusterState, job } = stateWithJob();
		const done = Array.from({ length: job.spec.taskCount }, (_, i) => taskStatus(i, 7, "exited", "done"));
		const result = reconcileHeartbeat(clusterState, heartbeat(1, done), 0);
		assert.ok(result.kind === "reconciled");
		assert.ok(job.doneTasks.full);
		assert.deepEqual([...result.jobsWithDoneTasks], [job]);
	});
});

describe("agent epochs and leases", () => {
	test("a later agent epoch ends all attempts of the previous one; a heartbeat of an expired lease is refused", () => {
		const { clusterState, job, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2, [taskStatus(0, attempt.number, "running")]), 100);
		reconcileHeartbeat(clusterState, heartbeat(1, [], { agentEpoch: 2 }), 200);
		assert.equal(job.attempts.size, 0);
		clusterState.expireLease(machine);
		const resultKindOf = (sequence: number, agentEpoch: number) =>
			reconcileHeartbeat(clusterState, heartbeat(sequence, [], { agentEpoch }), 300).kind;
		assert.equal(resultKindOf(9, 2), "lease expired");
		assert.equal(resultKindOf(1, 3), "reconciled");
	});

	test("responses to a worker that never shows the leader's token do not renew its lease", () => {
		const { clusterState, job } = stateWithJob();
		const earlierToken = { fencingToken: term - 1 };
		reconcileHeartbeat(clusterState, heartbeat(1, [taskStatus(0, 900, "running")], earlierToken), 0);
		const machine = clusterState.machines.get("n-1");
		assert.ok(machine);
		clusterState.markUnreconciled(machine);
		for (let receivedAt = 3000; receivedAt < workerLeaseExpiryMs; receivedAt += 3000) {
			machine.agent.responseSent(receivedAt);
			const { kind } = reconcileHeartbeat(
				clusterState,
				heartbeat(1 + receivedAt, [], earlierToken),
				receivedAt,
			);
			assert.equal(kind, "reconciled");
			assert.equal(job.attempts.size, 1);
			assert.equal(clusterState.reconciled, false);
		}
		const result = reconcileHeartbeat(
			clusterState,
			heartbeat(99_999, [], earlierToken),
			workerLeaseExpiryMs + 1,
		);
		assert.equal(result.kind, "lease expired");
		assert.equal(job.attempts.size, 0);
		assert.equal(clusterState.reconciled, true);
	});
});

describe("orphaned tasks", () => {
	test("are stopped if their job is unknown, the task is done, or a later attempt of it is on another machine", () => {
		const { clusterState, job } = stateWithSentStart();
		clusterState.markTaskDone(job, 1);
		const tasks = [
			taskStatus(0, 900, "running"),
			taskStatus(1, 901, "running"),
			{ ...taskStatus(0, 902, "running"), jobId: "j-9" },
		];
		reconcileHeartbeat(clusterState, heartbeat(1, tasks, { machineId: "n-2" }), 0);
		const machine = clusterState.machines.get("n-2");
		assert.ok(machine);
		assert.deepEqual(
			issueCommands(clusterState, machine).map(({ kind, attempt }) => [kind, attempt]),
			[
				["stop", 900],
				["stop", 901],
				["stop", 902],
			],
		);
	});

	test("use their team's quota until they disappear, and block all starts while the demand of their job is unknown", () => {
		const demands = new Map<string, TaskDemand>();
		const clusterState = new ClusterState({
			term,
			teams: [teamRed],
			machineTypes: [machineType],
			workerLeaseExpiryMs,
			demandOf: (jobId) => demands.get(jobId) ?? null,
		});
		const job = clusterState.addJob("j-1", spec, 0, 1);
		job.resetWaitingTasks();
		const orphan = (taskIndex: number) => ({ ...taskStatus(taskIndex, 7, "running"), jobId: "j-9" });
		reconcileHeartbeat(clusterState, heartbeat(1, [orphan(0), orphan(1)]), 0);
		const machine = clusterState.machines.get("n-1");
		assert.ok(machine);
		machine.lifecycle.markRecorded();
		assert.deepEqual([...clusterState.jobsWithUnknownDemand()], ["j-9"]);
		assert.equal(clusterState.assignNextTask(job, machine), null, "the team whose quota they use is unknown");
		demands.set("j-9", { team: "red", cpus: 4, gpus: 0 });
		clusterState.resolveDemand("j-9");
		assert.equal(clusterState.quotas.usage("red").cpus, 8);
		assert.equal(clusterState.assignNextTask(job, machine), null, "they use the whole team limit");
		reconcileHeartbeat(clusterState, heartbeat(2, [orphan(1)]), 500);
		assert.equal(clusterState.quotas.usage("red").cpus, 4);
		assert.notEqual(clusterState.assignNextTask(job, machine), null);
		clusterState.expireLease(machine);
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
		assert.ok(clusterState.reconciled);
	});
});
