import assert from "node:assert/strict";
import { test } from "node:test";
import { limitAmount, setQuota } from "#team-quota";
import { doubled, faultsOf } from "../../packages/team-quota/tests/support/history.js";
import { operatorStore, QuotaProcesses } from "../support/quota-processes.js";

/** Longer runs are a command of their own: see the README. */
const rounds = Number(process.env.QUOTA_ROUNDS ?? 300);

const troubles = Number(process.env.QUOTA_TROUBLES ?? 8);

const nodes = ["a", "b", "c"];

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function check(made: QuotaProcesses): void {
	const history = made.history();
	assert.deepEqual(faultsOf(history).slice(0, 3), []);
	assert.deepEqual(doubled(history.tasks), []);
}

/** Polls until the condition holds, so that tests do not depend on exact timing. */
async function until(what: string, holds: () => boolean, mostMs = 20_000): Promise<void> {
	for (const from = performance.now(); !holds(); await pause(20))
		assert.ok(performance.now() - from < mostMs, `${what} after ${mostMs} ms`);
}

test("limits hold when controllers request a team's last free slot within the same millisecond, repeatedly", async () => {
	const last = { limit: limitAmount(1, 1), guarantee: limitAmount(1, 1) };
	const wide = { limit: limitAmount(8, 2), guarantee: limitAmount(4, 1) };
	const made = new QuotaProcesses(
		[
			["last", last],
			["wide", wide],
		],
		false,
	);
	try {
		await made.start(nodes);
		await until("a first admission", () => {
			made.admitTogether("last", { cpus: 1000, gpus: 0 }, 2);
			return made.started > 0;
		});
		for (let i = 0; i < rounds; i++) {
			made.admitTogether("last", { cpus: 1000, gpus: i % 2 === 0 ? 1000 : 0 }, 3);
			if (i % 3 === 0) made.admitTogether("wide", { cpus: 500, gpus: i % 2 === 0 ? 1000 : 0 }, 15);
			await pause(8);
		}
		await pause(100);
		check(made);
		assert.ok(made.started > rounds / 4, `${made.started} starts in ${rounds} rounds`);
	} finally {
		await made.stop();
	}
});

test("limits hold under crashes, pauses beyond expiry, lost answers, outages and limit changes during admissions", async () => {
	const red = { limit: limitAmount(6, 2), guarantee: limitAmount(2, 1) };
	const blue = { limit: limitAmount(4, Number.POSITIVE_INFINITY), guarantee: limitAmount(4, 0) };
	const made = new QuotaProcesses(
		[
			["red", red],
			["blue", blue],
		],
		true,
	);
	const store = operatorStore(made);
	try {
		await made.start(nodes);
		await until("admissions", () => made.started > 200);
		for (let i = 0; i < troubles; i++) {
			const leader = made.leader ?? "a";
			const other = nodes.find((node) => node !== leader) ?? "b";
			await [
				() => stopFor(made, other, 1200),
				() => made.restart(other),
				() => setQuota(store, "r/quota/", "red", { cpus: 2 + (i % 5), guaranteedCpus: 1 }, Date.now()),
				() => made.restart(leader),
				() => loseAnswers(made, 400),
				() => stopFor(made, leader, 2000),
				() => outage(made, 900),
				() => Promise.all([stopFor(made, other, 900), made.restart(leader)]),
			][i % 8]?.();
			const before = made.started;
			await until(`admissions after fault ${i}`, () => made.started > before + 30);
		}
		check(made);
		const longest = Math.max(...made.waits);
		assert.ok(longest < 15_000, `${longest} ms until a slot was available`);
	} finally {
		await made.stop();
	}
});

async function stopFor(made: QuotaProcesses, node: string, ms: number): Promise<void> {
	made.signal(node, "SIGSTOP");
	await pause(ms);
	made.signal(node, "SIGCONT");
}

async function loseAnswers(made: QuotaProcesses, ms: number): Promise<void> {
	made.lostAnswers = 0.5;
	await pause(ms);
	made.lostAnswers = 0;
}

async function outage(made: QuotaProcesses, ms: number): Promise<void> {
	made.state.setOutage(true);
	await pause(ms);
	made.state.setOutage(false);
}
