import assert from "node:assert/strict";
import { test } from "node:test";
import { Attempt } from "../../../src/bookkeeping/attempt.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { Fleet } from "../../../src/coordination/fleet/fleet.js";
import { defaultOperator } from "../../../src/protocol/settings/operator.js";
import { FakeTime } from "../../support/fake-time.js";
import { silentLog } from "../../support/silent-log.js";
import { tablesWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("work that waits beside a marked machine with room has its mark taken back, in time", async () => {
	const time = new FakeTime();
	const clusterState = tablesWith(4, 16);
	const [first] = [...clusterState.machines.values()] as [Machine];
	const busy = clusterState.addJob("j-1", specOf("j-1", { taskCount: 3, cpus: 4, estimatedRunS: 300 }), 0, 1);
	busy.resetWaitingTasks();
	// What runs is nearly done, so that the load lies between the marks and the counters do nothing.
	for (const machine of [...clusterState.machines.values()].slice(1)) {
		const attempt = clusterState.assignNextTask(busy, machine);
		if (attempt) attempt.updatePhase("running", -1e6);
	}
	first.lifecycle.startDraining();
	const waits = clusterState.addJob(
		"j-2",
		specOf("j-2", { team: "blue", taskCount: 1, cpus: 4, estimatedRunS: 300 }),
		0,
		2,
	);
	waits.resetWaitingTasks();
	const fleet = new Fleet({
		clusterState,
		cloud: {
			machineTypes: async () => [],
			createMachines: async () => [],
			deleteMachines: async () => {},
			listMachines: async () => ({ machines: [], more: false }),
		},
		time,
		settings: defaultOperator(),
		objectives: [],
		listLagMs: 1000,
		leaseMs: 10_000,
		requestPrefix: "r",
		hooks: { post: (run) => run(), authority: () => true, gone() {} },
		log: silentLog,
	});
	// Held: its one task runs, so nothing returns it while it is marked.
	const running = new Attempt({ job: busy, taskIndex: 99, number: 1, machine: first, phase: "sent" });
	running.updatePhase("running", 0);
	first.addAttempt(running);
	first.capacity.releaseAll();
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 500) {
			fleet.tick();
			await time.advance(500);
		}
	};
	await run(18_000);
	assert.ok(first.lifecycle.draining, "it may still come in elsewhere");
	await run(4000);
	assert.ok(!first.lifecycle.draining);
});
