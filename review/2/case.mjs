/** For a while, arrays of one class come three times as often, each with as many tasks as the protocol allows. */

import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "../common/cloud.mjs";
import { Cluster, openRecord } from "../common/cluster.mjs";
import { call, now, sleep } from "../common/http.mjs";
import { jobBody, TaskEvents } from "../common/rules.mjs";
import { crucigramaNorteFleet as site } from "../common/sites.mjs";
import { StateService } from "../common/state-service.mjs";

const trouble = process.env.TROUBLE !== "0";
/** `rejilla`: tasks of each job: at most 100,000 in the protocol, at most 700 in the site's pages. */
const pieces = trouble ? 100_000 : 700;
const classes = [
	{ lane: "rejilla", urgency: "normal", pieces, image_gb: 1.8, atStart: 44, perMinute: trouble ? 3 * 15 : 15 },
	{ lane: "cierre", urgency: "urgent", pieces: 18, image_gb: 0.8, atStart: 68, perMinute: 33 },
];
/** The jobs of the start come within this time. */
const startMs = 15_000;
const restartDelayMs = 4000;
const observedMs = 105_000;

const record = openRecord(dirname(fileURLToPath(import.meta.url)));
// The starts and ends of single tasks are left out of the record: there are thousands.
const events = new TaskEvents(() => {});
const world = { workers: site.cluster.workers, jobs: new Map(), done: new Set(), events, nodes: [] };
const state = new StateService(site.cluster.state, record);
const { rps, list_lag_s: listLagS } = site.cluster.cloud;
const cloud = new Cloud(world, { shapes: site.shapes, capacity: 60, bootMs: () => 30_000, rps, listLagS }, record);
await state.start();
await cloud.start();
const cluster = new Cluster(site, { cloud: cloud.address, state: state.address }, record);
await cluster.prepare();
world.nodes = cluster.nodes;
/** The platform starts a process again that has ended. */
cluster.onEndedByItself = (node) => setTimeout(() => stopping || cluster.startNode(node), restartDelayMs);
let stopping = false;
const accepted = [];
let refused = 0;

/** Submits the job, and repeats that for up to 60 s as a user does. */
async function submit(body) {
	const end = now() + 60_000;
	for (let i = 0; now() < end && !stopping; i++) {
		const { status, text } = await call(world.nodes[(i + accepted.length) % world.nodes.length].front, "POST", "/v1/jobs", body);
		record(`user: submit ${body.id}, answer ${status} ${text}`);
		if (status === 201 || status === 200) return accepted.push(body.id);
		if (status === 400 || status === 422) return (refused += 1);
		await sleep(1000);
	}
}

/** Asks for accepted jobs, one every 2 s. */
async function poll(startedAt) {
	while (now() - startedAt < observedMs) {
		await sleep(2000);
		const id = accepted[Math.floor(Math.random() * accepted.length)];
		if (id === undefined) continue;
		const node = world.nodes[Math.floor(Math.random() * world.nodes.length)];
		const { status, text } = await call(node.front, "GET", `/v1/jobs/${id}`, undefined, { timeoutMs: 2000 });
		record(`user: GET ${id} at ${node.name}, answer ${status} ${text}`);
	}
}

cluster.startAll();
let result = 2;
if (await cluster.waitReady(2, 15_000)) {
	const startedAt = now();
	const polling = poll(startedAt);
	const submissions = [];
	let count = 0;
	const arrive = async ({ lane, urgency, pieces, image_gb, atStart, perMinute }) => {
		for (let n = 0; now() - startedAt < observedMs - 5000; n++) {
			const id = `j-${String(count).padStart(6, "0")}`;
			const desk = `definiciones-${String(count % 16).padStart(2, "0")}`;
			count += 1;
			const body = jobBody({ id, desk, lane, urgency, pieces, image_gb, guess_s: 30.0 });
			world.jobs.set(id, { ...body, run_s: 30 });
			submissions.push(submit(body));
			await sleep(n < atStart ? startMs / atStart : 60_000 / perMinute);
		}
	};
	await Promise.all(classes.map(arrive));
	await polling;
	stopping = true;
	result = cluster.unexpectedEnds > 0 ? 1 : accepted.length > 0 ? 0 : 2;
}
await cluster.stop();
cloud.stop();
state.stop();
const summary = `${accepted.length} jobs accepted, ${refused} refused, rejilla with ${pieces} tasks each; ${cluster.unexpectedEnds} processes ended by themselves`;
record(`${summary}; exit ${result}`);
await record.close();
console.log(summary);
process.exit(result);
