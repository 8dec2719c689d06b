import assert from "node:assert/strict";
import { test } from "node:test";
import { type Amount, limitAmount } from "../src/amount.js";
import { setQuota } from "../src/commands.js";
import { duplicateIds, findViolations } from "./support/history.js";
import { SimulatedCluster } from "./support/simulated-cluster.js";

const nodes = ["a", "b", "c", "d"];
const teams = new Map([
	["red", { limit: limitAmount(4, 2), guarantee: limitAmount(2, 1) }],
	["blue", { limit: limitAmount(6, Number.POSITIVE_INFINITY), guarantee: limitAmount(6, 0) }],
]);
const sizes: Amount[] = [
	{ cpus: 1000, gpus: 0 },
	{ cpus: 500, gpus: 1000 },
	{ cpus: 2000, gpus: 500 },
];

function createCluster(seed: number): SimulatedCluster {
	let turn = seed;
	const cluster = new SimulatedCluster(seed, nodes, teams, () => {
		turn += 1;
		const size = sizes[turn % 7 === 0 ? 2 : turn % 3 === 0 ? 1 : 0] as Amount;
		return { team: turn % 5 < 3 ? "red" : "blue", size, runMs: 5 + ((turn * 37) % 90) };
	});
	cluster.elect("a");
	return cluster;
}

function assertHistoryValid(cluster: SimulatedCluster, seed: number): void {
	const history = cluster.buildHistory();
	assert.deepEqual(
		findViolations(history).slice(0, 3),
		[],
		`seed ${seed}\n${cluster.logs.slice(-10).join("\n")}`,
	);
	assert.deepEqual(duplicateIds(history.tasks), []);
}

test("controllers that admit continuously stay within limits, and none waits 5 s for a slot", async () => {
	const cluster = createCluster(1);
	await cluster.run(20_000);
	assertHistoryValid(cluster, 1);
	assert.ok(cluster.startedTaskCount > 1000, `${cluster.startedTaskCount} admissions`);
	assert.ok(cluster.longestWaitMs < 5000, `${cluster.longestWaitMs} ms until a slot was available`);
});

/** Injects one random fault of the kinds that the package must tolerate, or a new limit. */
async function injectFault(cluster: SimulatedCluster): Promise<void> {
	const node = nodes[cluster.randomInt(0, nodes.length - 1)] as string;
	const kind = cluster.randomInt(0, 6);
	if (kind === 0) {
		cluster.end(node);
		cluster.schedule(cluster.randomInt(1, 1500), () => {
			if (!cluster.processes.has(node)) cluster.start(node);
		});
	} else if (kind === 1) {
		cluster.pause(node);
		cluster.schedule(cluster.randomInt(10, 2500), () => cluster.resume(node));
	} else if (kind === 2) cluster.faults = { messageLossRate: 0.3, writeFailureRate: 0.3, maxDelayMs: 200 };
	else if (kind === 3) {
		cluster.outage = true;
		cluster.schedule(cluster.randomInt(10, 1500), () => {
			cluster.outage = false;
		});
	} else if (kind === 4) cluster.faults = { messageLossRate: 0.02, writeFailureRate: 0.1, maxDelayMs: 5 };
	else if (kind === 5) cluster.elect(node);
	else {
		const cpus = cluster.randomInt(1, 8);
		const request = { cpus, guaranteedCpus: Math.min(cpus, 1) };
		await setQuota(cluster.operatorStore, "quota/", "red", request, cluster.now).catch(() => {});
	}
}

/** The README has the command that runs more seeds. */
const seeds = Number(process.env.QUOTA_SEEDS ?? 24);

for (let seed = 1; seed <= seeds; seed++) {
	test(`limits hold under crashes, pauses, lost messages, outages, failovers and limit changes, and admissions continue afterwards: seed ${seed}`, async () => {
		const cluster = createCluster(seed);
		await cluster.run(500);
		for (let i = 0; i < 40; i++) {
			await injectFault(cluster);
			await cluster.run(cluster.randomInt(10, 600));
			if (cluster.leaderNode === null) cluster.elect(nodes[cluster.randomInt(0, nodes.length - 1)] as string);
		}
		cluster.outage = false;
		cluster.faults = { messageLossRate: 0, writeFailureRate: 0, maxDelayMs: 3 };
		for (const node of nodes) {
			cluster.resume(node);
			if (!cluster.processes.has(node)) cluster.start(node);
		}
		if (cluster.leaderNode === null) cluster.elect("b");
		await cluster.run(4000);
		const before = cluster.startedTaskCount;
		cluster.longestWaitMs = 0;
		await cluster.run(4000);
		assertHistoryValid(cluster, seed);
		assert.ok(
			cluster.startedTaskCount - before > 100,
			`admissions after the faults: ${cluster.startedTaskCount - before}`,
		);
	});
}
