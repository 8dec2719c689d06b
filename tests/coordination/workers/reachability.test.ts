import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../../src/coordination/workers/worker-commands.js";
import { heartbeat, stateWithSentStart, taskStatus } from "../../support/reconciliation-setup.js";

describe("a machine whose heartbeats arrive while responses to it may be lost", () => {
	test("stays reachable after one lost response, and gets no starts for more than a lease period after two in a row", () => {
		const { clusterState, job, machine, attempt } = stateWithSentStart();
		const leaseMs = clusterState.workerLeaseExpiryMs;
		reconcileHeartbeat(clusterState, heartbeat(2), 1000);
		assert.equal(machine.agent.unreachableSince, null);
		assert.equal(issueCommands(clusterState, machine).length, 1);
		reconcileHeartbeat(clusterState, heartbeat(3), 2000);
		assert.equal(machine.agent.unreachableSince, 2000);
		assert.equal(job.attempts.has(0), false, "a start that no heartbeat lists can no longer be carried out");
		assert.ok([...job.waitingTasks].includes(attempt.taskIndex));
		assert.equal(clusterState.assignNextTask(job, machine), null);
		reconcileHeartbeat(clusterState, heartbeat(4), 2000 + leaseMs);
		assert.notEqual(machine.agent.unreachableSince, null);
		reconcileHeartbeat(clusterState, heartbeat(5), 2000 + 1.6 * leaseMs);
		assert.equal(machine.agent.unreachableSince, null);
		assert.notEqual(clusterState.assignNextTask(job, machine), null);
	});

	test("has its count of ineffective responses reset when it lists a start that was sent again, since a response has arrived", () => {
		const { clusterState, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2), 1000);
		issueCommands(clusterState, machine);
		reconcileHeartbeat(clusterState, heartbeat(3, [taskStatus(0, attempt.number, "running")]), 2000);
		assert.equal(machine.agent.ineffectiveResponses, 0);
	});

	test("becomes unreachable when its lease expires twice although responses were sent shortly before", () => {
		const { clusterState, machine } = stateWithSentStart();
		machine.agent.responseSent(20_000);
		reconcileHeartbeat(clusterState, heartbeat(1, [], { agentEpoch: 2 }), 21_000);
		assert.equal(machine.agent.unreachableSince, null, "the last response may have arrived too late");
		machine.agent.responseSent(33_000);
		reconcileHeartbeat(clusterState, heartbeat(1, [], { agentEpoch: 3 }), 34_000);
		assert.equal(machine.agent.unreachableSince, 34_000);
		const disconnected = stateWithSentStart();
		disconnected.machine.agent.responseSent(0);
		reconcileHeartbeat(disconnected.clusterState, heartbeat(1, [], { agentEpoch: 2 }), 21_000);
		assert.equal(disconnected.machine.agent.ineffectiveResponses, 0, "its heartbeats did not arrive either");
	});
});
