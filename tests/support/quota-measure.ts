/** Measures team quota with controllers as processes on loopback: `npm run measure:quota`. Not part of CI. */
import { build } from "hdr-histogram-js";
import { limitAmount, setQuota, unlimited } from "#team-quota";
import { AllotmentHolder } from "../../packages/team-quota/src/holder.js";
import { faultsOf } from "../../packages/team-quota/tests/support/history.js";
import { operatorStore, QuotaProcesses } from "./quota-processes.js";

const seconds = Number(process.env.QUOTA_SECONDS ?? 20);
const repeats = Number(process.env.QUOTA_REPEATS ?? 10);
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));
const limit = limitAmount(24, Number.POSITIVE_INFINITY);
const teams = ["red", "blue", "green", "white"].map(
	(team): [string, { limit: typeof limit; guarantee: typeof limit }] => [
		team,
		{ limit, guarantee: limitAmount(2, 0) },
	],
);

/** Records microseconds, up to one minute. */
const histogram = () => build({ lowestDiscernibleValue: 1, highestTrackableValue: 60e6 });

function show(what: string, times: ReturnType<typeof histogram>): void {
	const ms = (percentile: number) => (times.getValueAtPercentile(percentile) / 1000).toFixed(2);
	console.log(
		`${what}: ${times.totalCount}, ms p50 ${ms(50)} p90 ${ms(90)} p99 ${ms(99)} max ${(times.maxValue / 1000).toFixed(2)}`,
	);
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) await pause(1);
}

async function admissions(made: QuotaProcesses): Promise<void> {
	const { started, storeWrites } = made;
	made.waits.length = 0;
	await pause(seconds * 1000);
	const waits = histogram();
	for (const wait of made.waits) waits.recordValue(Math.max(1, Math.round(wait * 1000)));
	console.log(`admissions a second: ${((made.started - started) / seconds).toFixed(0)}`);
	console.log(`store writes a minute: ${(((made.storeWrites - storeWrites) * 60) / seconds).toFixed(0)}`);
	show("wait until a task is admitted, including recalls of allotments and teams at their limits", waits);
	const starts = histogram();
	for (const time of made.startTimes()) starts.recordValue(Math.max(1, Math.round(time * 1000)));
	show("from request to start at a worker, for tasks that started", starts);
}

async function takeovers(made: QuotaProcesses): Promise<void> {
	const times = histogram();
	for (let i = 0; i < repeats; i++) {
		const leader = made.leader ?? "a";
		const terms = made.moments.length;
		const from = performance.now();
		await made.restart(leader);
		await until(() => made.moments.length > terms);
		const before = made.started;
		await until(() => made.started > before);
		times.recordValue(Math.round((performance.now() - from) * 1000));
		await pause(1500);
	}
	show("failover, from the end of the leader to the first start", times);
}

async function loweredLimits(made: QuotaProcesses): Promise<void> {
	const times = histogram();
	const store = operatorStore(made);
	for (let i = 0; i < repeats; i++) {
		const revisions = made.limitChanges;
		const from = performance.now();
		await setQuota(store, "r/quota/", "red", { cpus: i % 2 === 0 ? 8 : 24 }, Date.now());
		await until(() => made.limitChanges > revisions);
		if (i % 2 === 0) times.recordValue(Math.round((performance.now() - from) * 1000));
		await pause(500);
	}
	show("from the request to lower a limit from 24 to 8 until it is in force", times);
}

/** Measures admissions by a holder in this process whose allotment has capacity for all of them. */
function holderSpeed(): void {
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
	holder.takeTerms(1, { incarnation: "p1", number: 1, echo, settledBatch: 0, teams: [team] });
	const count = 1_000_000;
	const from = performance.now();
	for (let i = 0; i < count; i++) holder.admit("red", size);
	const ns = ((performance.now() - from) * 1e6) / count;
	console.log(`one admission by a holder: ${ns.toFixed(0)} ns`);
}

const leaderAlone = process.argv.includes("--leader-alone");
const made = new QuotaProcesses(teams, true, leaderAlone);
try {
	await made.start(["a", "b", "c"]);
	await until(() => made.started > 100);
	holderSpeed();
	await admissions(made);
	if (!leaderAlone) await loweredLimits(made);
	await takeovers(made);
	if (!leaderAlone) console.log(`violations in the history: ${faultsOf(made.history()).length}`);
} finally {
	await made.stop();
}
