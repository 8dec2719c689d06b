/** Two controllers that forward reports crash and are back at once; jobs arrive a moment later. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "../common/cloud.mjs";
import { Cluster, openRecord } from "../common/cluster.mjs";
import { call, now, sleep } from "../common/http.mjs";
import { jobBody, TaskEvents } from "../common/rules.mjs";
import { annaBhandarFleet as site } from "../common/sites.mjs";
import { StateService } from "../common/state-service.mjs";

const trouble = process.env.TROUBLE !== "0";
const record = openRecord(dirname(fileURLToPath(import.meta.url)));
const machines = 320;
/** The machines come up within this time after the controllers' start. */
const upWithinMs = 1800;
/** The first crash comes once so many workers have reported to the second controller within 0.3 s, or after 1 s. */
const recentReports = 12;
const crashAfterMs = 1000;
/** The time between the crashes, in turn: the shorter, the more time the second process has, as on a slower machine. */
const betweenCrashesMs = [350, 350, 200];
/** From the first crash to the submission of jobs; 1 s after it, its workers turn to the second controller. */
const jobsAfterMs = 910;
const maxRounds = 13;
const endBy = now() + 100_000;
let ran = 0;
/** The violations of the rule of this case; those of `wrong_place` are only recorded. */
let violations = [];

/** The workers that wait for an answer of the controller. */
function waitingAt(cloud, node) {
	return cloud.workers.filter(({ sentTo }) => sentTo === node.name).length;
}

async function until(condition, timeoutMs) {
	const end = now() + timeoutMs;
	while (now() < end) {
		if (condition()) return true;
		await sleep(5);
	}
	return false;
}

async function submit(front, body) {
	const { status, text } = await call(front, "POST", "/v1/jobs", body);
	record(`user: submit ${body.id}, answer ${status} ${text}`);
}

async function round(number) {
	record(`--- round ${number}, ${trouble ? "with" : "without"} the disruption`);
	const events = new TaskEvents(record);
	const world = { workers: site.cluster.workers, jobs: new Map(), done: new Set(), events, nodes: [] };
	const state = new StateService(site.cluster.state, record);
	const { rps, list_lag_s: listLagS } = site.cluster.cloud;
	const cloud = new Cloud(world, { shapes: site.shapes, capacity: 575, bootMs: () => 50_000, rps, listLagS }, record);
	await state.start();
	await cloud.start();
	const cluster = new Cluster(site, { cloud: cloud.address, state: state.address }, record);
	await cluster.prepare();
	world.nodes = cluster.nodes;
	world.onReportAnswered = (worker, node, status, text) => {
		if (/"run"/.test(text)) record(`${worker.id}: answer ${status} of ${node}: ${text.slice(0, 300)}`);
	};
	const halls = site.cluster.zones;
	for (let i = 0; i < machines; i++) cloud.add("thali", halls[i % halls.length], true, Math.random() * upWithinMs);
	cluster.startAll();
	try {
		await until(() => cluster.forwardingSince !== null, 10_000);
		const leader = state.rows.get("r/one/leader")?.v.node;
		// The two other controllers, in the order in which workers try them.
		const leaderIndex = cluster.nodes.findIndex(({ name }) => name === leader);
		const [other, forwarder] = [1, 2].map((i) => cluster.nodes[(leaderIndex + i) % 3]);
		const recent = () => cloud.workers.filter(({ sentTo, lastReportAt }) => sentTo === forwarder.name && now() - lastReportAt < 300).length;
		await until(() => recent() >= recentReports, crashAfterMs);
		record(`${leader} leads; ${waitingAt(cloud, forwarder)} workers wait for an answer of ${forwarder.name}`);
		if (cluster.forwardingSince === null || waitingAt(cloud, forwarder) === 0) {
			record("no controller forwards reports: the round is not counted");
			return;
		}
		ran += 1;
		const betweenMs = betweenCrashesMs[number % betweenCrashesMs.length];
		if (trouble) {
			// The first crash sends its workers to the second controller about one second later.
			await cluster.kill(other);
			cluster.startNode(other);
			await sleep(betweenMs);
			await cluster.kill(forwarder);
			cluster.startNode(forwarder);
		}
		await sleep(jobsAfterMs - betweenMs);
		record(`jobs are submitted; ${waitingAt(cloud, forwarder)} workers wait for an answer of ${forwarder.name}`);
		const bodies = site.teams.map(({ name }, i) =>
			jobBody({ id: `j-${String(1000 * number + i).padStart(6, "0")}`, desk: name, lane: "ledger-sync", pieces: 60, hall: halls[i % halls.length], cores: 4.0, ram_gb: 1.1, image_gb: 0.05, guess_s: 18.0 }),
		);
		for (const body of bodies) world.jobs.set(body.id, { ...body, run_s: 18 });
		await Promise.all(bodies.map((body) => submit(cluster.nodes[leaderIndex].front, body)));
		await sleep(3500);
	} finally {
		violations = [...violations, ...events.violations.filter((violation) => violation.startsWith("ran_twice"))];
		await cluster.stop();
		cloud.stop();
		state.stop();
		record(`round ${number}: ${events.runs} run commands, ${events.starts} starts, ${events.violations.length} violations`);
	}
}

for (let i = 1; i <= maxRounds && violations.length === 0 && now() < endBy; i++) await round(i);
const result = violations.length > 0 ? 1 : ran > 0 ? 0 : 2;
record(`rounds ${ran}, violations ${violations.length}, exit ${result}`);
await record.close();
for (const line of violations.slice(0, 5)) console.log(line);
console.log(`rounds ${ran}, violations ${violations.length}`);
process.exit(result);
