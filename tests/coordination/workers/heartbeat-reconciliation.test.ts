import assert from "node:assert/strict";
import { test } from "node:test";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import {
	commandsFor,
	reconcileHeartbeat,
} from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import type { TaskDemand } from "../../../src/protocol/model/job.js";
import { epoch, fresh, report, spec, task, type, withOneSent } from "../../support/reconciliation-setup.js";

test("no start goes to a machine before its record is durable and it has seen the token", () => {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(1, [], { fencingToken: epoch - 1 }), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	assert.equal(
		clusterState.assignNextTask(job, machine),
		null,
		"its answers of an earlier leader may still be on the way",
	);
	reconcileHeartbeat(clusterState, report(2), 0);
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
});

test("no start goes to a machine that has seen the token before its record is durable", () => {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(1), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine?.agent.fenced);
	assert.equal(clusterState.assignNextTask(job, machine), null, "a later leader would not know of it");
	machine.lifecycle.markRecorded();
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
});

test("a machine marked to drain between a decision and its report still gets the start", () => {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(1), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	clusterState.assignNextTask(job, machine);
	machine.lifecycle.startDraining();
	assert.equal(commandsFor(clusterState, machine).length, 1);
	assert.equal(clusterState.assignNextTask(job, machine), null, "nothing new is decided for it");
	machine.lifecycle.cancelDraining();
	clusterState.assignNextTask(job, machine);
	machine.health.quarantine("failures", 0);
	assert.deepEqual(commandsFor(clusterState, machine), [], "on one set aside for failing nothing starts");
});

test("a start whose answer was lost is sent again with the same number", () => {
	const { clusterState, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2), 100);
	const orders = commandsFor(clusterState, machine);
	assert.deepEqual(orders, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt: attempt.number }]);
});

test("an old report changes nothing", () => {
	const { clusterState, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(5, [task(0, attempt.number, "running")]), 100);
	assert.equal(reconcileHeartbeat(clusterState, report(4), 200).kind, "old");
	assert.equal(machine.attempts.size, 1);
	assert.equal(attempt.phase, "running");
});

test("a task that a newer report lacks is over and waits again", () => {
	const { clusterState, job, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2, [task(0, attempt.number, "running")]), 100);
	const applied = reconcileHeartbeat(clusterState, report(3), 200);
	assert.equal(applied.kind === "applied" && applied.vanished.length, 1);
	assert.ok(job.waitingTasks.includes(0));
	assert.equal(clusterState.quotas.usage("red").cpus, 0);
});

test("a report with an earlier token adds tasks but proves no absence", () => {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(3, [task(2, 900, "running")], { fencingToken: 7 }), 0);
	assert.equal(job.attempts.get(2)?.number, 900);
	reconcileHeartbeat(clusterState, report(4, [], { fencingToken: 7 }), 10);
	assert.equal(job.attempts.get(2)?.number, 900, "an answer of the leader before may come after this report");
	assert.equal(clusterState.quotas.usage("red").cpus, 1);
	reconcileHeartbeat(clusterState, report(5), 20);
	assert.equal(job.attempts.has(2), false);
});

test("a later session ends all tasks of the one before; a report of an expired lease is refused", () => {
	const { clusterState, job, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2, [task(0, attempt.number, "running")]), 100);
	reconcileHeartbeat(clusterState, report(1, [], { agentEpoch: 2 }), 200);
	assert.equal(job.attempts.size, 0);
	clusterState.expireLease(machine);
	assert.equal(reconcileHeartbeat(clusterState, report(9, [], { agentEpoch: 2 }), 300).kind, "expired");
	assert.equal(reconcileHeartbeat(clusterState, report(1, [], { agentEpoch: 3 }), 300).kind, "applied");
});

test("a completed task is forgotten only when its completion is durable", () => {
	const { clusterState, job, machine, attempt } = withOneSent();
	reconcileHeartbeat(clusterState, report(2, [task(0, attempt.number, "exited", "done")]), 100);
	assert.ok(job.doneTasks.has(0));
	machine.lifecycle.startDraining();
	assert.deepEqual(commandsFor(clusterState, machine), [], "a takeover now would lose it");
	machine.lifecycle.cancelDraining();
	job.markPageDurable(0, job.doneTasks.page(0));
	assert.deepEqual(commandsFor(clusterState, machine), [], "the last one is kept as a handle");
	assert.equal(machine.exitedTasks.heartbeatTrigger?.attempt, attempt.number);
	machine.lifecycle.startDraining();
	const forget = { kind: "forget", jobId: "j-1", taskIndex: 0, attempt: attempt.number };
	assert.deepEqual(commandsFor(clusterState, machine), [forget]);
});

test("tasks that ended under an earlier leader are counted, and their job is named so that it can end", () => {
	const { clusterState, job } = fresh();
	const ended = Array.from({ length: job.spec.taskCount }, (_, i) => task(i, 7, "exited", "done"));
	const applied = reconcileHeartbeat(clusterState, report(1, ended), 0);
	assert.ok(applied.kind === "applied");
	assert.ok(job.doneTasks.full);
	assert.deepEqual([...applied.progressed], [job]);
});

test("tasks nobody wants are stopped: of unknown jobs, done already, or on another machine", () => {
	const { clusterState, job } = withOneSent();
	clusterState.markTaskDone(job, 1);
	const other = report(
		1,
		[task(0, 900, "running"), task(1, 901, "running"), { ...task(0, 902, "running"), jobId: "j-9" }],
		{
			machineId: "n-2",
		},
	);
	reconcileHeartbeat(clusterState, other, 0);
	const machine = clusterState.machines.get("n-2");
	assert.ok(machine);
	assert.deepEqual(
		commandsFor(clusterState, machine).map((o) => [o.kind, o.attempt]),
		[
			["stop", 900],
			["stop", 901],
			["stop", 902],
		],
	);
});

test("tasks of a job that is over take their team's cores until gone; of one unknown, nothing starts meanwhile", () => {
	const known = new Map<string, TaskDemand>();
	const teams = [{ name: "red", guaranteed: { cpus: 8, gpus: 0 }, limit: { cpus: 8, gpus: 0 } }];
	const clusterState = new ClusterState({
		term: epoch,
		teams,
		machineTypes: [type],
		workerLeaseExpiryMs: 12_000,
		demandOf: (id) => known.get(id) ?? null,
	});
	const job = clusterState.addJob("j-1", spec, 0, 1);
	job.resetWaitingTasks();
	const gone = (index: number) => ({ ...task(index, 7, "running"), jobId: "j-9" });
	reconcileHeartbeat(clusterState, report(1, [gone(0), gone(1)]), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	machine.lifecycle.markRecorded();
	assert.deepEqual([...clusterState.jobsWithUnknownDemand()], ["j-9"]);
	assert.equal(clusterState.assignNextTask(job, machine), null, "whose cores they take is not known");
	known.set("j-9", { team: "red", cpus: 4, gpus: 0 });
	clusterState.resolveDemand("j-9");
	assert.equal(clusterState.quotas.usage("red").cpus, 8);
	assert.equal(clusterState.assignNextTask(job, machine), null, "they fill the limit");
	reconcileHeartbeat(clusterState, report(2, [gone(1)]), 500);
	assert.equal(clusterState.quotas.usage("red").cpus, 4);
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
	clusterState.expireLease(machine);
	assert.equal(clusterState.quotas.usage("red").cpus, 0);
	assert.ok(clusterState.reconciled);
});

test("the end of a job withdraws what is not sent and stops the rest until it is over", () => {
	const { clusterState, job, machine, attempt } = withOneSent();
	const second = clusterState.assignNextTask(job, machine);
	assert.ok(second);
	const still = clusterState.removeJob(job);
	assert.deepEqual(still, [attempt]);
	assert.equal(clusterState.quotas.usage("red").cpus, 1, "what was sent still counts");
	reconcileHeartbeat(clusterState, report(2, [task(0, attempt.number, "running")]), 100);
	assert.equal(commandsFor(clusterState, machine)[0]?.kind, "stop");
	reconcileHeartbeat(clusterState, report(3, [task(0, attempt.number, "exited", "stopped")]), 200);
	assert.equal(clusterState.quotas.usage("red").cpus, 0);
});

test("answers to a machine that never takes up the token renew nothing", () => {
	const { clusterState, job } = fresh();
	const old = { fencingToken: epoch - 1 };
	reconcileHeartbeat(clusterState, report(1, [task(0, 900, "running")], old), 0);
	const machine = clusterState.machines.get("n-1");
	assert.ok(machine);
	clusterState.markUnreconciled(machine);
	for (let at = 3000; at < clusterState.workerLeaseExpiryMs; at += 3000) {
		machine.agent.responded(at);
		assert.equal(reconcileHeartbeat(clusterState, report(1 + at, [], old), at).kind, "applied");
		assert.equal(job.attempts.size, 1);
		assert.equal(clusterState.reconciled, false);
	}
	assert.equal(
		reconcileHeartbeat(clusterState, report(99_999, [], old), clusterState.workerLeaseExpiryMs + 1).kind,
		"expired",
	);
	assert.equal(job.attempts.size, 0);
	assert.equal(clusterState.reconciled, true);
});

test("a late copy that lists an earlier attempt yields to the later one", () => {
	const { clusterState, job } = fresh();
	reconcileHeartbeat(clusterState, report(7, [task(0, 900, "running")], { fencingToken: 7 }), 0);
	const real = report(1, [task(0, 905, "running")], { machineId: "n-2", fencingToken: 7 });
	reconcileHeartbeat(clusterState, real, 10);
	assert.equal(job.attempts.get(0)?.number, 905, "it was decided when the one before was proved over");
	assert.equal(clusterState.quotas.usage("red").cpus, 1);
	const n2 = clusterState.machines.get("n-2");
	assert.ok(n2);
	assert.deepEqual(commandsFor(clusterState, n2), []);
	reconcileHeartbeat(clusterState, report(9, [task(0, 900, "running")], { fencingToken: 7 }), 20);
	assert.equal(job.attempts.get(0)?.number, 905);
});
