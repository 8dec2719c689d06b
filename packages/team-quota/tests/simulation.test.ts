import assert from "node:assert/strict";
import { test } from "node:test";
import { type Amount, limitAmount } from "../src/amount.js";
import { setQuota } from "../src/commands.js";
import { doubled, faultsOf } from "./support/history.js";
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

function cluster(seed: number): SimulatedCluster {
	let turn = seed;
	const made = new SimulatedCluster(seed, nodes, teams, () => {
		turn += 1;
		const size = sizes[turn % 7 === 0 ? 2 : turn % 3 === 0 ? 1 : 0] as Amount;
		return { team: turn % 5 < 3 ? "red" : "blue", size, runMs: 5 + ((turn * 37) % 90) };
	});
	made.elect("a");
	return made;
}

function check(made: SimulatedCluster, seed: number): void {
	const history = made.finished();
	assert.deepEqual(faultsOf(history).slice(0, 3), [], `seed ${seed}\n${made.logs.slice(-10).join("\n")}`);
	assert.deepEqual(doubled(history.tasks), []);
}

test("controllers that admit continuously stay within limits, and none waits long", async () => {
	const made = cluster(1);
	await made.run(20_000);
	check(made, 1);
	assert.ok(made.admissions > 1000, `${made.admissions} admissions`);
	assert.ok(made.longestWaitMs < 5000, `${made.longestWaitMs} ms until a slot was available`);
});

/** Injects one random fault of the kinds that the package must tolerate, or a new limit. */
async function trouble(made: SimulatedCluster): Promise<void> {
	const node = nodes[made.int(0, nodes.length - 1)] as string;
	const kind = made.int(0, 6);
	if (kind === 0) {
		made.end(node);
		made.after(made.int(1, 1500), () => {
			if (!made.processes.has(node)) made.start(node);
		});
	} else if (kind === 1) {
		made.freeze(node);
		made.after(made.int(10, 2500), () => made.thaw(node));
	} else if (kind === 2) made.weather = { lost: 0.3, lostWrites: 0.3, mostDelayMs: 200 };
	else if (kind === 3) {
		made.outage = true;
		made.after(made.int(10, 1500), () => {
			made.outage = false;
		});
	} else if (kind === 4) made.weather = { lost: 0.02, lostWrites: 0.1, mostDelayMs: 5 };
	else if (kind === 5) made.elect(node);
	else {
		const cpus = made.int(1, 8);
		const request = { cpus, guaranteedCpus: Math.min(cpus, 1) };
		await setQuota(made.operatorStore, "quota/", "red", request, made.now).catch(() => {});
	}
}

/** More seeds run by a command of their own: see the README. */
const seeds = Number(process.env.QUOTA_SEEDS ?? 24);

for (let seed = 1; seed <= seeds; seed++) {
	test(`limits hold under crashes, pauses, lost messages, outages, failovers and limit changes: seed ${seed}`, async () => {
		const made = cluster(seed);
		await made.run(500);
		for (let i = 0; i < 40; i++) {
			await trouble(made);
			await made.run(made.int(10, 600));
			if (made.leaderNode === null) made.elect(nodes[made.int(0, nodes.length - 1)] as string);
		}
		made.outage = false;
		made.weather = { lost: 0, lostWrites: 0, mostDelayMs: 3 };
		for (const node of nodes) {
			made.thaw(node);
			if (!made.processes.has(node)) made.start(node);
		}
		if (made.leaderNode === null) made.elect("b");
		await made.run(4000);
		const before = made.admissions;
		made.longestWaitMs = 0;
		await made.run(4000);
		check(made, seed);
		assert.ok(made.admissions - before > 100, `admissions go on: ${made.admissions - before}`);
	});
}
