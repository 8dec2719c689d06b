import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../../src/coordination/workers/worker-commands.js";
import {
	heartbeat,
	stateWithMachine,
	stateWithSentStart,
	taskStatus,
} from "../../support/reconciliation-setup.js";

describe("start commands", () => {
	test("a machine that starts draining after an assignment still gets the start; a quarantined machine does not", () => {
		const { clusterState, job, machine } = stateWithMachine();
		clusterState.assignNextTask(job, machine);
		machine.lifecycle.startDraining();
		assert.equal(issueCommands(clusterState, machine).length, 1);
		assert.equal(clusterState.assignNextTask(job, machine), null, "nothing new is assigned to it");
		machine.lifecycle.cancelDraining();
		clusterState.assignNextTask(job, machine);
		machine.health.quarantine("failures", 0);
		assert.deepEqual(issueCommands(clusterState, machine), [], "nothing starts on a quarantined machine");
	});

	test("an assigned attempt ends without a start if its stop was requested or its job has ended", () => {
		const { clusterState, job, machine } = stateWithMachine();
		const attempt = clusterState.assignNextTask(job, machine);
		attempt?.requestStop("team limit lowered", 0);
		assert.deepEqual(issueCommands(clusterState, machine), []);
		assert.equal(job.attempts.size, 0, "the attempt has ended");
		assert.notEqual(clusterState.assignNextTask(job, machine), null);
		job.end();
		assert.deepEqual(issueCommands(clusterState, machine), []);
		assert.equal(job.attempts.size, 0);
	});

	test("a start whose response was lost is sent again with the same attempt number", () => {
		const { clusterState, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2), 100);
		const commands = issueCommands(clusterState, machine);
		assert.deepEqual(commands, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt: attempt.number }]);
	});
});

describe("stop and forget commands", () => {
	test("a completed task is forgotten only after its completion is stored", () => {
		const { clusterState, job, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(2, [taskStatus(0, attempt.number, "exited", "done")]), 100);
		assert.ok(job.doneTasks.has(0));
		machine.lifecycle.startDraining();
		assert.deepEqual(issueCommands(clusterState, machine), [], "a failover now would lose the completion");
		machine.lifecycle.cancelDraining();
		job.markPageDurable(0, job.doneTasks.encodePage(0));
		assert.deepEqual(
			issueCommands(clusterState, machine),
			[],
			"the last exited attempt is kept as heartbeat trigger",
		);
		assert.equal(machine.exitedTasks.heartbeatTrigger?.attempt, attempt.number);
		machine.lifecycle.startDraining();
		const forget = { kind: "forget", jobId: "j-1", taskIndex: 0, attempt: attempt.number };
		assert.deepEqual(issueCommands(clusterState, machine), [forget]);
	});

	test("the end of a job ends its assigned attempts and stops the others until they have exited", () => {
		const { clusterState, job, machine, attempt } = stateWithSentStart();
		const second = clusterState.assignNextTask(job, machine);
		assert.ok(second);
		const remaining = clusterState.removeJob(job);
		assert.deepEqual(remaining, [attempt]);
		assert.equal(clusterState.quotas.usage("red").cpus, 1, "the sent attempt still counts");
		reconcileHeartbeat(clusterState, heartbeat(2, [taskStatus(0, attempt.number, "running")]), 100);
		assert.equal(issueCommands(clusterState, machine)[0]?.kind, "stop");
		const stopped = taskStatus(0, attempt.number, "exited", "stopped");
		reconcileHeartbeat(clusterState, heartbeat(3, [stopped]), 200);
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
	});
});
