import assert from "node:assert/strict";
import { test } from "node:test";
import { limitAmount, setQuota } from "#team-quota";
import { duplicateIds, findViolations } from "../../packages/team-quota/tests/support/history.js";
import { operatorStore, QuotaProcesses } from "../support/quota-processes.js";

/** The README has the command for longer runs. */
const rounds = Number(process.env.QUOTA_ROUNDS ?? 300);

const faultCount = Number(process.env.QUOTA_TROUBLES ?? 8);

const nodes = ["a", "b", "c"];

const delay = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function assertHistoryValid(processes: QuotaProcesses): void {
	const history = processes.history();
	assert.deepEqual(findViolations(history).slice(0, 3), []);
	assert.deepEqual(duplicateIds(history.tasks), []);
}

/** Polls until the condition holds, so that tests do not depend on exact timing. */
async function waitUntil(what: string, condition: () => boolean, timeoutMs = 20_000): Promise<void> {
	for (const from = performance.now(); !condition(); await delay(20))
		assert.ok(performance.now() - from < timeoutMs, `${what} after ${timeoutMs} ms`);
}

test("limits hold when controllers request a team's last free slot within the same millisecond, repeatedly", async () => {
	const last = { limit: limitAmount(1, 1), guarantee: limitAmount(1, 1) };
	const wide = { limit: limitAmount(8, 2), guarantee: limitAmount(4, 1) };
	const processes = new QuotaProcesses(
		[
			["last", last],
			["wide", wide],
		],
		false,
	);
	try {
		await processes.start(nodes);
		await waitUntil("a first admission", () => {
			processes.admitTogether("last", { cpus: 1000, gpus: 0 }, 2);
			return processes.startedTaskCount > 0;
		});
		for (let i = 0; i < rounds; i++) {
			processes.admitTogether("last", { cpus: 1000, gpus: i % 2 === 0 ? 1000 : 0 }, 3);
			if (i % 3 === 0) processes.admitTogether("wide", { cpus: 500, gpus: i % 2 === 0 ? 1000 : 0 }, 15);
			await delay(8);
		}
		await delay(100);
		assertHistoryValid(processes);
		assert.ok(
			processes.startedTaskCount > rounds / 4,
			`${processes.startedTaskCount} starts in ${rounds} rounds`,
		);
	} finally {
		await processes.stop();
	}
});

test("limits hold under crashes, pauses beyond expiry, lost answers, outages and limit changes during admissions", async () => {
	const red = { limit: limitAmount(6, 2), guarantee: limitAmount(2, 1) };
	const blue = { limit: limitAmount(4, Number.POSITIVE_INFINITY), guarantee: limitAmount(4, 0) };
	const processes = new QuotaProcesses(
		[
			["red", red],
			["blue", blue],
		],
		true,
	);
	const store = operatorStore(processes);
	try {
		await processes.start(nodes);
		await waitUntil("admissions", () => processes.startedTaskCount > 200);
		for (let i = 0; i < faultCount; i++) {
			const leader = processes.leader ?? "a";
			const other = nodes.find((node) => node !== leader) ?? "b";
			await [
				() => pauseProcess(processes, other, 1200),
				() => processes.restart(other),
				() => setQuota(store, "r/quota/", "red", { cpus: 2 + (i % 5), guaranteedCpus: 1 }, Date.now()),
				() => processes.restart(leader),
				() => loseStoreAnswers(processes, 400),
				() => pauseProcess(processes, leader, 2000),
				() => causeStateOutage(processes, 900),
				() => Promise.all([pauseProcess(processes, other, 900), processes.restart(leader)]),
			][i % 8]?.();
			const before = processes.startedTaskCount;
			await waitUntil(`admissions after fault ${i}`, () => processes.startedTaskCount > before + 30);
		}
		assertHistoryValid(processes);
		const longest = Math.max(...processes.waitsMs);
		assert.ok(longest < 15_000, `${longest} ms until a slot was available`);
	} finally {
		await processes.stop();
	}
});

async function pauseProcess(processes: QuotaProcesses, node: string, ms: number): Promise<void> {
	processes.signal(node, "SIGSTOP");
	await delay(ms);
	processes.signal(node, "SIGCONT");
}

async function loseStoreAnswers(processes: QuotaProcesses, ms: number): Promise<void> {
	processes.lostAnswerRate = 0.5;
	await delay(ms);
	processes.lostAnswerRate = 0;
}

async function causeStateOutage(processes: QuotaProcesses, ms: number): Promise<void> {
	processes.state.setOutage(true);
	await delay(ms);
	processes.state.setOutage(false);
}
