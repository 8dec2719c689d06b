import assert from "node:assert/strict";
import { test } from "node:test";
import { Attempt } from "../../../src/bookkeeping/attempt.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { Fleet } from "../../../src/coordination/fleet/fleet.js";
import { defaultOperatorSettings } from "../../../src/protocol/settings/operator.js";
import { FakeTime } from "../../support/fake-time.js";
import { silentLog } from "../../support/silent-log.js";
import { clusterStateWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("draining of a machine is cancelled for a job that fits on it and has waited for 20 s", async () => {
	const time = new FakeTime();
	const clusterState = clusterStateWith(4, 16);
	const [drainingMachine] = [...clusterState.machines.values()] as [Machine];
	const runningJob = clusterState.addJob(
		"j-1",
		specOf("j-1", { taskCount: 3, cpus: 4, estimatedRunS: 300 }),
		0,
		1,
	);
	runningJob.resetWaitingTasks();
	// The running tasks are nearly done, so the load lies between the thresholds and the counters trigger nothing.
	for (const machine of [...clusterState.machines.values()].slice(1)) {
		const attempt = clusterState.assignNextTask(runningJob, machine);
		if (attempt) attempt.updatePhase("running", -1e6);
	}
	drainingMachine.lifecycle.startDraining();
	const waitingJob = clusterState.addJob(
		"j-2",
		specOf("j-2", { team: "blue", taskCount: 1, cpus: 4, estimatedRunS: 300 }),
		0,
		2,
	);
	waitingJob.resetWaitingTasks();
	const fleet = new Fleet({
		clusterState,
		cloud: {
			machineTypes: async () => [],
			createMachines: async () => [],
			deleteMachines: async () => {},
			listMachines: async () => ({ machines: [], hasMore: false }),
		},
		clock: time,
		settings: defaultOperatorSettings(),
		objectives: [],
		listLagMs: 1000,
		leaseMs: 10_000,
		requestPrefix: "r",
		hooks: { post: (run) => run(), active: () => true, onMachineDeleted() {} },
		log: silentLog,
	});
	// A running task keeps the draining machine from being deleted. Its resources are released below, so that the
	// waiting job fits on the machine.
	const running = new Attempt({
		job: runningJob,
		taskIndex: 99,
		number: 1,
		machine: drainingMachine,
		phase: "sent",
	});
	running.updatePhase("running", 0);
	drainingMachine.addAttempt(running);
	drainingMachine.capacity.releaseAll();
	const tickFor = async (ms: number) => {
		for (let t = 0; t < ms; t += 500) {
			fleet.tick();
			await time.advance(500);
		}
	};
	await tickFor(18_000);
	assert.ok(drainingMachine.lifecycle.draining, "the job may still start elsewhere");
	await tickFor(4000);
	assert.ok(!drainingMachine.lifecycle.draining);
});
