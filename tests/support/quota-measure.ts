/** Measures team quota with controllers as processes on loopback: `npm run measure:quota`. Not part of CI. */
import { build } from "hdr-histogram-js";
import { limitAmount, setQuota, unlimited } from "#team-quota";
import { AllotmentHolder } from "../../packages/team-quota/src/holder.js";
import { findViolations } from "../../packages/team-quota/tests/support/history.js";
import { operatorStore, QuotaProcesses } from "./quota-processes.js";

const seconds = Number(process.env.QUOTA_SECONDS ?? 20);
const repeats = Number(process.env.QUOTA_REPEATS ?? 10);
const delay = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const limit = limitAmount(24, Number.POSITIVE_INFINITY);
const teams = ["red", "blue", "green", "white"].map(
	(team): [string, { limit: typeof limit; guarantee: typeof limit }] => [
		team,
		{ limit, guarantee: limitAmount(2, 0) },
	],
);

/** Records microseconds, up to one minute. */
const histogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 60e6 });

function printPercentiles(label: string, times: ReturnType<typeof histogram>): void {
	const ms = (percentile: number) => (times.getValueAtPercentile(percentile) / 1000).toFixed(2);
	console.log(
		`${label}: ${times.totalCount}, ms p50 ${ms(50)} p90 ${ms(90)} p99 ${ms(99)} max ${(times.maxValue / 1000).toFixed(2)}`,
	);
}

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) await delay(1);
}

async function measureAdmissions(processes: QuotaProcesses): Promise<void> {
	const { startedTaskCount: startedBefore, storeWrites } = processes;
	processes.waitsMs.length = 0;
	await delay(seconds * 1000);
	const waits = histogram();
	for (const wait of processes.waitsMs) waits.recordValue(Math.max(1, Math.round(wait * 1000)));
	console.log(`admissions a second: ${((processes.startedTaskCount - startedBefore) / seconds).toFixed(0)}`);
	console.log(
		`store writes a minute: ${(((processes.storeWrites - storeWrites) * 60) / seconds).toFixed(0)}`,
	);
	printPercentiles(
		"wait until a task is admitted, including recalls of allotments and teams at their limits",
		waits,
	);
	const starts = histogram();
	for (const time of processes.startDelaysMs()) starts.recordValue(Math.max(1, Math.round(time * 1000)));
	printPercentiles("from request to start at a worker, for tasks that started", starts);
}

async function measureFailovers(processes: QuotaProcesses): Promise<void> {
	const times = histogram();
	for (let i = 0; i < repeats; i++) {
		const leader = processes.leader ?? "a";
		const electionsBefore = processes.elections.length;
		const from = performance.now();
		await processes.restart(leader);
		await waitUntil(() => processes.elections.length > electionsBefore);
		const before = processes.startedTaskCount;
		await waitUntil(() => processes.startedTaskCount > before);
		times.recordValue(Math.round((performance.now() - from) * 1000));
		await delay(1500);
	}
	printPercentiles("failover, from the end of the leader to the first start", times);
}

async function measureLoweredLimits(processes: QuotaProcesses): Promise<void> {
	const times = histogram();
	const store = operatorStore(processes);
	for (let i = 0; i < repeats; i++) {
		const changesBefore = processes.redLimitChanges;
		const from = performance.now();
		await setQuota(store, "r/quota/", "red", { cpus: i % 2 === 0 ? 8 : 24 }, Date.now());
		await waitUntil(() => processes.redLimitChanges > changesBefore);
		if (i % 2 === 0) times.recordValue(Math.round((performance.now() - from) * 1000));
		await delay(500);
	}
	printPercentiles("from the request to lower a limit from 24 to 8 until it is in force", times);
}

/** Measures admissions by a holder in this process whose allotment has capacity for all of them. */
function measureHolderAdmission(): void {
	const holder = new AllotmentHolder({
		incarnation: "p1",
		now: () => performance.now(),
		expiryMs: 60_000,
		marginMs: 0,
	});
	const size = { cpus: 1000, gpus: 0 };
	const cap = { cpus: unlimited, gpus: unlimited };
	const { number: echo } = holder.reply();
	const team = { team: "red", cap, charged: { cpus: 0, gpus: 0 }, free: cap };
	holder.applyUpdate(1, { incarnation: "p1", number: 1, echo, settledBatch: 0, teams: [team] });
	const count = 1_000_000;
	const from = performance.now();
	for (let i = 0; i < count; i++) holder.admit("red", size);
	const ns = ((performance.now() - from) * 1e6) / count;
	console.log(`one admission by a holder: ${ns.toFixed(0)} ns`);
}

const leaderOnlyAdmits = process.argv.includes("--leader-alone");
const processes = new QuotaProcesses(teams, true, leaderOnlyAdmits);
try {
	await processes.start(["a", "b", "c"]);
	await waitUntil(() => processes.startedTaskCount > 100);
	measureHolderAdmission();
	await measureAdmissions(processes);
	if (!leaderOnlyAdmits) await measureLoweredLimits(processes);
	await measureFailovers(processes);
	if (!leaderOnlyAdmits)
		console.log(`violations in the history: ${findViolations(processes.history()).length}`);
} finally {
	await processes.stop();
}
