import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { chooseVictims } from "../../../src/coordination/preemption/preemption-planner.js";
import type { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { makeSchedulable } from "../../support/machines.js";
import { small, tablesWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("room for work that few machines may hold is sought on those, whatever the sample of all holds", () => {
	const clusterState = tablesWith(30, 400);
	const ordinary = new Machine(
		{ id: "n-ordinary", type: small, zone: "a", spot: false, origin: "heartbeat" },
		0,
	);
	makeSchedulable(ordinary);
	clusterState.addMachine(ordinary);
	const batch = clusterState.addJob(
		"j-1",
		specOf("j-1", { taskCount: 40, cpus: 4, estimatedRunS: 100 }),
		0,
		1,
	);
	batch.resetWaitingTasks();
	for (const machine of clusterState.machines.values()) {
		const attempt = clusterState.assignNextTask(batch, machine);
		if (attempt) attempt.updatePhase("running", 0);
	}
	const live = clusterState.addJob(
		"j-2",
		specOf("j-2", {
			form: "service",
			priority: "critical",
			taskCount: 1,
			cpus: 1,
			allowSpot: false,
			estimatedRunS: 0,
		}),
		0,
		2,
	);
	live.resetWaitingTasks();
	const few = (machines: Machine[]) => machines.slice(0, 5);
	const victims = chooseVictims(clusterState, [live], 1000, few);
	assert.deepEqual(
		victims.map((victim) => victim.machine.id),
		["n-ordinary"],
	);
});

function running(clusterState: ClusterState, id: string, more: Partial<JobSpec>, n: number, since: number) {
	const job = clusterState.addJob(id, specOf(id, { taskCount: n, ...more }), 0, 1);
	job.resetWaitingTasks();
	for (const machine of clusterState.machines.values()) {
		for (;;) {
			const attempt = clusterState.assignNextTask(job, machine);
			if (!attempt) break;
			attempt.updatePhase("running", since);
		}
	}
	return job;
}

test("an urgent task takes the place of its own team's youngest lower work, no more than needed", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	const urgent = clusterState.addJob(
		"j-2",
		specOf("j-2", { priority: "urgent", taskCount: 1, cpus: 2 }),
		0,
		1,
	);
	urgent.resetWaitingTasks();
	const victims = chooseVictims(clusterState, [urgent], 1000);
	assert.equal(victims.length, 2);
	for (const victim of victims) victim.requestStop("preempted", 0);
	assert.equal(chooseVictims(clusterState, [urgent], 1500).length, 0, "what was stopped already is counted");
});

test("work of the same priority is stopped only beyond a guarantee and for one", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { team: "blue", estimatedRunS: 100 }, 4, 0);
	const other = clusterState.addJob("j-2", specOf("j-2", { taskCount: 4 }), 0, 1);
	other.resetWaitingTasks();
	const victims = chooseVictims(clusterState, [other], 1000);
	assert.equal(victims.length, 2, "blue runs 8 of 4 guaranteed cores, red has a right to 4");
	assert.ok(victims.every((v) => v.job.id === "j-1"));

	const fair = tablesWith(1);
	running(fair, "j-1", { team: "blue", estimatedRunS: 100 }, 2, 0);
	const late = fair.addJob("j-2", specOf("j-2"), 0, 1);
	late.resetWaitingTasks();
	assert.deepEqual(chooseVictims(fair, [late], 1000), [], "blue is within its guarantee");
});

test("a task more than half done is not thrown away", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 40_000).length, 2);
	assert.deepEqual(chooseVictims(clusterState, [urgent], 60_000), []);
});

test("nothing is stopped for tasks that places coming free by themselves will hold", () => {
	for (const [estimatedRunS, stopped] of [
		[100, 2],
		[2, 0],
	] as const) {
		const clusterState = tablesWith(2);
		running(clusterState, "j-1", { cpus: 1, team: "blue", estimatedRunS }, 8, 0);
		const urgent = clusterState.addJob(
			"j-2",
			specOf("j-2", { priority: "urgent", taskCount: 1, cpus: 2 }),
			0,
			1,
		);
		urgent.resetWaitingTasks();
		assert.equal(chooseVictims(clusterState, [urgent], 1000).length, stopped, `runs of ${estimatedRunS} s`);
	}
	// A team at its limit is helped by none but its own.
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	running(clusterState, "j-3", { cpus: 1, team: "blue", estimatedRunS: 1 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 1000).length, 2);
});
