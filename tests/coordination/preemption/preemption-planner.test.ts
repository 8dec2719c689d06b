import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { chooseVictims } from "../../../src/coordination/preemption/preemption-planner.js";
import type { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { makeSchedulable } from "../../support/machines.js";
import { clusterStateWith, smallType } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("victims for a job with machine constraints are searched on the machines that it allows, whatever a sample of all contains", () => {
	const clusterState = clusterStateWith(30, 400);
	const onDemand = new Machine(
		{ id: "n-ordinary", type: smallType, zone: "a", spot: false, origin: "heartbeat" },
		0,
	);
	makeSchedulable(onDemand);
	clusterState.addMachine(onDemand);
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
	const firstFive = (machines: Machine[]) => machines.slice(0, 5);
	const victims = chooseVictims(clusterState, [live], 1000, firstFive);
	assert.deepEqual(
		victims.map((victim) => victim.machine.id),
		["n-ordinary"],
	);
});

/** Adds a job and starts its tasks on every machine until the machine is full or no task is left. */
function fillMachines(
	clusterState: ClusterState,
	id: string,
	specOverrides: Partial<JobSpec>,
	taskCount: number,
	runningSince: number,
) {
	const job = clusterState.addJob(id, specOf(id, { taskCount, ...specOverrides }), 0, 1);
	job.resetWaitingTasks();
	for (const machine of clusterState.machines.values()) {
		for (;;) {
			const attempt = clusterState.assignNextTask(job, machine);
			if (!attempt) break;
			attempt.updatePhase("running", runningSince);
		}
	}
	return job;
}

test("an urgent task preempts lower-priority tasks of its own team, and no more than it needs", () => {
	const clusterState = clusterStateWith(2);
	fillMachines(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
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
	assert.equal(
		chooseVictims(clusterState, [urgent], 1500).length,
		0,
		"tasks that were stopped earlier are counted as released",
	);
});

test("a task of the same priority is preempted only if its team exceeds its guarantee, and for a task within the guarantee of its team", () => {
	const clusterState = clusterStateWith(2);
	fillMachines(clusterState, "j-1", { team: "blue", estimatedRunS: 100 }, 4, 0);
	const other = clusterState.addJob("j-2", specOf("j-2", { taskCount: 4 }), 0, 1);
	other.resetWaitingTasks();
	const victims = chooseVictims(clusterState, [other], 1000);
	assert.equal(victims.length, 2, "blue uses 8 cores and is guaranteed 4, red uses none and is guaranteed 4");
	assert.ok(victims.every((v) => v.job.id === "j-1"));

	const withinGuarantee = clusterStateWith(1);
	fillMachines(withinGuarantee, "j-1", { team: "blue", estimatedRunS: 100 }, 2, 0);
	const waiting = withinGuarantee.addJob("j-2", specOf("j-2"), 0, 1);
	waiting.resetWaitingTasks();
	assert.deepEqual(chooseVictims(withinGuarantee, [waiting], 1000), [], "blue is within its guarantee");
});

test("a task that is more than half done is not preempted", () => {
	const clusterState = clusterStateWith(2);
	fillMachines(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 40_000).length, 2);
	assert.deepEqual(chooseVictims(clusterState, [urgent], 60_000), []);
});

test("nothing is preempted for tasks that can take the places of tasks about to end", () => {
	for (const [estimatedRunS, victimCount] of [
		[100, 2],
		[2, 0],
	] as const) {
		const clusterState = clusterStateWith(2);
		fillMachines(clusterState, "j-1", { cpus: 1, team: "blue", estimatedRunS }, 8, 0);
		const urgent = clusterState.addJob(
			"j-2",
			specOf("j-2", { priority: "urgent", taskCount: 1, cpus: 2 }),
			0,
			1,
		);
		urgent.resetWaitingTasks();
		assert.equal(
			chooseVictims(clusterState, [urgent], 1000).length,
			victimCount,
			`runs of ${estimatedRunS} s`,
		);
	}
	// For a team at its limit only the ends of its own tasks count.
	const clusterState = clusterStateWith(2);
	fillMachines(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	fillMachines(clusterState, "j-3", { cpus: 1, team: "blue", estimatedRunS: 1 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 1000).length, 2);
});
