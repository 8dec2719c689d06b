/** The state service has counted 2^31 changes before the controllers start; a user submits a small job. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "../common/cloud.mjs";
import { Cluster, openRecord } from "../common/cluster.mjs";
import { call, now, sleep } from "../common/http.mjs";
import { jobBody, TaskEvents } from "../common/rules.mjs";
import { crucigramaNorte as site } from "../common/sites.mjs";
import { StateService } from "../common/state-service.mjs";

const trouble = process.env.TROUBLE !== "0";
const firstEpoch = trouble ? 2 ** 31 : 0;
const record = openRecord(dirname(fileURLToPath(import.meta.url)));
/** "Starting 3 s after a job's last task has completed, its user expects `done`." */
const doneLagMs = 3000;
/** How long the user goes on asking after that, every 5 s, before the script ends. */
const askedForMs = 45_000;

const events = new TaskEvents(record);
const world = { workers: site.cluster.workers, jobs: new Map(), done: new Set(), events, nodes: [] };
const state = new StateService(site.cluster.state, record, firstEpoch);
const { rps, list_lag_s: listLagS } = site.cluster.cloud;
const cloud = new Cloud(world, { shapes: site.shapes, capacity: 28, bootMs: () => 1500, rps, listLagS }, record);
await state.start();
await cloud.start();
const cluster = new Cluster(site, { cloud: cloud.address, state: state.address }, record);
await cluster.prepare();
world.nodes = cluster.nodes;
let reportsRefused = 0;
world.onReportAnswered = (worker, node, status, text) => {
	if (status !== 400) return;
	reportsRefused += 1;
	if (reportsRefused <= 20) record(`${worker.id}: report to ${node}, answer 400 ${text}`);
};

/** Sends a user's request to one node after the other, at most one a second, until one answers with the status. */
async function ask(method, path, body, accepted, timeoutMs) {
	const end = now() + timeoutMs;
	for (let i = 0; now() < end; i++) {
		const { status, json, text } = await call(world.nodes[i % world.nodes.length].front, method, path, body, { timeoutMs: 2000 });
		record(`user: ${method} ${path}, answer ${status} ${text}`);
		if (accepted.includes(status)) return json;
		await sleep(1000);
	}
	return null;
}

async function play() {
	cluster.startAll();
	if (!(await cluster.waitReady(2, 20_000))) return { result: 2, why: "the controllers are not ready" };
	const body = jobBody({ id: "j-000412", desk: "definiciones-00", lane: "cierre", urgency: "urgent", pieces: 4, ram_gb: 6.1, guess_s: 3.0, image_gb: 0.1 });
	world.jobs.set(body.id, { ...body, run_s: 3 });
	if (!(await ask("POST", "/v1/jobs", body, [200, 201], 60_000))) return { result: 2, why: "the job was not accepted" };
	let completedAt = null;
	let nextAskAt = now() + 5000;
	const end = now() + 30_000 + askedForMs;
	while (now() < end) {
		await sleep(100);
		if (completedAt === null && world.done.size === body.pieces) {
			completedAt = now();
			record("the job's last task has completed");
		}
		if (now() < nextAskAt) continue;
		nextAskAt = now() + 5000;
		const askedAt = now();
		const answer = await ask("GET", `/v1/jobs/${body.id}`, undefined, [200, 404], 10_000);
		if (answer?.status === "done") return { result: 0, why: "the job is done" };
		if (completedAt === null || askedAt - completedAt <= doneLagMs + askedForMs) continue;
		const late = Math.round((askedAt - completedAt) / 1000);
		return { result: 1, why: `not done ${late} s after the job's last task has completed; its tasks were started ${events.starts} times` };
	}
	return { result: 1, why: "the tasks have not completed" };
}

let outcome = { result: 2, why: "failed" };
try {
	outcome = await play();
} finally {
	await cluster.stop();
	cloud.stop();
	state.stop();
}
record(`${outcome.why}; ${reportsRefused} reports were answered 400; exit ${outcome.result}`);
await record.close();
console.log(`${outcome.why}; ${reportsRefused} reports were answered 400`);
process.exit(outcome.result);
