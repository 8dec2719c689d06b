import assert from "node:assert/strict";
import { test } from "node:test";
import {
	commandsFor,
	reconcileHeartbeat,
} from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { report, task, withOneSent } from "../../support/reconciliation-setup.js";

test("one lost answer changes nothing; after two in a row nothing more is sent until its lease has held", () => {
	const { clusterState, job, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2), 1000);
	assert.equal(machine.agent.unreachableSince, null);
	assert.equal(commandsFor(clusterState, machine).length, 1);
	reconcileHeartbeat(clusterState, report(3), 2000);
	assert.equal(machine.agent.unreachableSince, 2000);
	assert.equal(job.attempts.has(0), false, "a start that no report lists can no longer be carried out");
	assert.ok(job.waitingTasks.includes(attempt.taskIndex));
	assert.equal(clusterState.assignNextTask(job, machine), null);
	reconcileHeartbeat(clusterState, report(4), 2000 + clusterState.workerLeaseExpiryMs);
	assert.notEqual(machine.agent.unreachableSince, null);
	reconcileHeartbeat(clusterState, report(5), 2000 + 1.6 * clusterState.workerLeaseExpiryMs);
	assert.equal(machine.agent.unreachableSince, null);
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
});

test("a start that is listed after one lost answer counts as heard", () => {
	const { clusterState, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2), 1000);
	commandsFor(clusterState, machine);
	reconcileHeartbeat(clusterState, report(3, [task(0, attempt.number, "running")]), 2000);
	assert.equal(machine.agent.ineffectiveResponses, 0);
});

test("a lease that runs out although it was answered all the time shows a machine that hears nothing", () => {
	const { clusterState, machine } = withOneSent();
	machine.agent.responded(20_000);
	reconcileHeartbeat(clusterState, report(1, [], { agentEpoch: 2 }), 21_000);
	assert.equal(machine.agent.unreachableSince, null, "the last answer may have come too late");
	machine.agent.responded(33_000);
	reconcileHeartbeat(clusterState, report(1, [], { agentEpoch: 3 }), 34_000);
	assert.equal(machine.agent.unreachableSince, 34_000);
	const silent = withOneSent();
	silent.machine.agent.responded(0);
	reconcileHeartbeat(silent.clusterState, report(1, [], { agentEpoch: 2 }), 21_000);
	assert.equal(silent.machine.agent.ineffectiveResponses, 0, "it was cut off both ways");
});
