/**
 * Starts as many attempts as a leader with this process's heap has at most, on a fleet of 4,000 machines, and prints their
 * number. Run by tests/bookkeeping/job-memory.test.ts, with the heap of deploy/service.toml.
 */

import { getHeapStatistics } from "node:v8";
import { maxAttempts } from "../../src/coordination/state/attempt-capacity.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { machineOf, makeSchedulable } from "./machines.js";
import { mediumType, specOf } from "./specs.js";

const machineCount = 4000;
const unlimitedCpus = { cpus: 1e9, gpus: 0 };
const heapLimitBytes = getHeapStatistics().heap_size_limit;

// The memory of accepted jobs.
const bytesPerElement = 8;
const jobs = new Array(Math.floor(heapLimitBytes / 3 / bytesPerElement)).fill(1.5);

// Attempt numbers above 2^53 take the most memory.
const clusterState = new ClusterState({
	term: 2 ** 40,
	teams: [{ name: "red", guaranteed: unlimitedCpus, limit: unlimitedCpus }],
	machineTypes: [mediumType],
	maxAttempts: maxAttempts(heapLimitBytes),
});
clusterState.enableAdmissionControl({
	node: "runner-0",
	mayStart: () => true,
	charge: ({ team, cpus, gpus }, node) => ({ team, node, amount: { cpus, gpus } }),
	chargeUnattributed: ({ team, cpus, gpus }) => ({ team, node: "runner-0", amount: { cpus, gpus } }),
	release() {},
});
for (let i = 0; i < machineCount; i++) {
	const machine = machineOf({ id: `n-${i}` });
	makeSchedulable(machine);
	clusterState.addMachine(machine);
}
let started = 0;
for (let round = 0; clusterState.attemptHeadroom > 0; round++) {
	const spec = specOf(`j-${round}`, { taskCount: 2 * machineCount, cpus: 0.01, memoryGb: 0.01 });
	const job = clusterState.addJob(spec.id, spec, 0, 1);
	for (const machine of clusterState.machines.values()) {
		const attempt = clusterState.assignNextTask(job, machine);
		if (!attempt) continue;
		attempt.markSent();
		attempt.updatePhase("running", 0);
		started += 1;
	}
}
if (jobs.length === 0) throw new Error("no jobs");
console.log(started);
