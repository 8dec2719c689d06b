// A leader ends while some machines hang; they go on for a moment, hang again, and go on within their leases.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { annaFleet, runCase } from "../common-2/cluster.mjs";
import { sleep } from "../common-2/http.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const hungMachines = 4;
const firstHangEndsAfterS = 3.5;
const goesOnForMs = 250;
const secondHangS = 15.5;

/** Long tasks on some 45 machines, and short ones, so that there is always a machine with room soon. */
async function fill(cluster) {
	let number = 1;
	for (let i = 0; i < 6; i++)
		void cluster.submit(cluster.job(number++, { lane: "expiry-sweep", pieces: 15, urgency: "urgent", ram_gb: 3.0, guess_s: 110.0 }), 110);
	const short = (pieces) => cluster.submit(cluster.job(number++, { lane: "ledger-sync", pieces, ram_gb: 1.1, guess_s: 6.0 }), 6);
	for (let i = 0; i < 6; i++) void short(8);
	return setInterval(() => void short(4), 1500);
}

const longTasksOn = (worker) => [...worker.attempts.values()].filter((a) => a.status === "running" && a.job.run_s > 60);

async function waitFor(condition, seconds) {
	const until = performance.now() + seconds * 1000;
	while (performance.now() < until) {
		if (condition()) return true;
		await sleep(20);
	}
	return condition();
}

/** Of the machines with long tasks that wait to try their next controller, two for each of the followers. */
function machinesToHang(cluster, leader) {
	const chosen = [];
	for (const node of cluster.nodes.filter((n) => n !== leader)) {
		const fitting = [...cluster.workers.values()].filter(
			(w) => w.node === node && !w.reportInFlight && longTasksOn(w).length > 0 && !chosen.includes(w),
		);
		chosen.push(...fitting.slice(0, hungMachines / 2));
	}
	return chosen;
}

async function round(cluster) {
	const leader = cluster.leader();
	if (!leader) return false;
	const baton = Math.max(...[...cluster.workers.values()].map((w) => w.baton));
	cluster.crash(leader);
	await sleep(2000);
	const hung = machinesToHang(cluster, leader);
	for (const w of hung) {
		w.hang();
		cluster.record(`${w.id}: hangs (1st), with ${longTasksOn(w).map((a) => a.piece).join(" ")}, next controller ${w.node.name}`);
	}
	const elected = await waitFor(() => [...cluster.workers.values()].some((w) => w.baton > baton), 10);
	if (!elected) return false;
	cluster.record("a new leader acts");
	await sleep(firstHangEndsAfterS * 1000);
	const back = hung.filter((w) => !w.gone);
	for (const w of back) {
		w.resume();
		cluster.record(`${w.id}: goes on, token ${w.baton}, its lease lasts ${((w.leaseUntil - performance.now()) / 1000).toFixed(1)} s`);
	}
	await sleep(goesOnForMs);
	for (const w of back) {
		w.hang();
		cluster.record(`${w.id}: hangs (2nd), its lease lasts ${((w.leaseUntil - performance.now()) / 1000).toFixed(1)} s, with ${longTasksOn(w).map((a) => a.piece).join(" ")}`);
	}
	await sleep(secondHangS * 1000);
	for (const w of back) {
		w.resume();
		cluster.record(`${w.id}: goes on, with ${longTasksOn(w).map((a) => a.piece).join(" ") || "no long task"}`);
	}
	await sleep(3000);
	return back.length > 0;
}

await runCase("review/4", "ran_twice", annaFleet, join(folder, "record.txt"), async (cluster, trouble) => {
	await cluster.start();
	if (!(await cluster.ready())) return null;
	const load = await fill(cluster);
	const full = await waitFor(() => [...cluster.workers.values()].filter((w) => longTasksOn(w).length > 0).length >= 30, 30);
	if (!full) return null;
	await sleep(4000);
	let rounds = 0;
	while (cluster.violations.length === 0 && cluster.t < 85) {
		if (trouble) {
			if (await round(cluster)) rounds += 1;
		} else {
			await sleep(25_000);
			rounds += 1;
		}
	}
	clearInterval(load);
	return rounds === 0 ? null : `${rounds} rounds, ${cluster.starts} starts`;
});
