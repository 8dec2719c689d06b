// A small deployment: the project's controllers as processes, and the stand-ins of everything around them.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync, openSync, closeSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Cloud } from "./cloud.mjs";
import { call, freePorts, sleep } from "./http.mjs";
import { StateService } from "./state-service.mjs";
import { Worker } from "./worker.mjs";

export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** The numbers of the site crucigrama-norte (BRIEF-ramphub.md), with one machine type and quick boots. */
export const norte = {
	controllers: 3,
	zones: ["oviedo", "santander", "bilbao"],
	workers: { report_s: 1.5, lease_s: 12, cancel_s: 37 },
	state: { rps: 200, write_rps: 25, value_kb: 16, txn_ops: 12 },
	cloud: { rps: 3, list_lag_s: 6 },
	resources: { cores: 0.17, ram_mb: 146, fd_limit: 1000 },
	teams: Array.from({ length: 16 }, (_, i) => ({ name: `definiciones-${String(i).padStart(2, "0")}`, cpus: 16, cpus_max: 24 })),
	types: [{ sku: "casilla", cores: 4, accelerators: 0, ram_gb: 32, local_gb: 35, fetch_gb_per_s: 0.25, rate: 0.2, market_price: 0.05, boot_s: 30, halls: ["oviedo", "santander", "bilbao"] }],
	capacity: 28,
	bootS: 1.5,
	restartS: 4,
	oneWayMs: 2,
};

/** The numbers of the site anna-bhandar-fleet (kit/fleet/LATER.md), with one machine type, quick boots and 60 machines. */
export const annaFleet = {
	controllers: 3,
	zones: ["ahmedabad", "rajkot", "surat", "vadodara"],
	workers: { report_s: 3, lease_s: 17, cancel_s: 37 },
	state: { rps: 120, write_rps: 30, value_kb: 16, txn_ops: 12 },
	cloud: { rps: 2, list_lag_s: 4 },
	resources: { cores: 0.136, ram_mb: 190, fd_limit: 1434 },
	teams: Array.from({ length: 10 }, (_, i) => ({ name: `stock-cell-${String(i).padStart(2, "0")}`, cpus: 350, cpus_max: 1500 })),
	types: [{ sku: "thali", cores: 4, accelerators: 0, ram_gb: 8, local_gb: 35, fetch_gb_per_s: 0.25, rate: 0.26, market_price: 0.1, boot_s: 50, halls: ["ahmedabad", "rajkot", "surat", "vadodara"] }],
	capacity: 60,
	bootS: 1.5,
	restartS: 8,
	oneWayMs: 1,
};

function settingsToml(site, node, nodes, endpoints) {
	const { workers, state, cloud, resources } = site;
	const number = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));
	const others = nodes.filter((other) => other !== node);
	return [
		`node = "${node.name}"`, `domain = "${node.zone}"`, `front = "${node.front}"`, `back = "${node.back}"`,
		...others.flatMap((o) => ["[[others]]", `node = "${o.name}"`, `domain = "${o.zone}"`, `addr = "${o.back}"`]),
		"[endpoints]", `cloud = "${endpoints.cloud}"`, `state = "${node.state}"`,
		"[cluster]", `nodes = ${nodes.length}`, `zones = ${JSON.stringify(site.zones)}`, "clock_off_ms = 1000.0",
		...site.teams.flatMap((t) => ["[[cluster.teams]]", `name = "${t.name}"`, `cpus = ${number(t.cpus)}`, `cpus_max = ${number(t.cpus_max)}`, "gpus = 0.0", "gpus_max = 0.0"]),
		"[cluster.workers]", `report_s = ${number(workers.report_s)}`, `lease_s = ${number(workers.lease_s)}`, "gang_wait_s = 45.0", "gang_peer_s = 4.0", `cancel_s = ${number(workers.cancel_s)}`,
		"[cluster.state]", `rps = ${number(state.rps)}`, `write_rps = ${number(state.write_rps)}`, `value_kb = ${number(state.value_kb)}`, `txn_ops = ${state.txn_ops}`,
		...(state.next ? ["[cluster.state.next]", ...Object.entries(state.next).map(([k, v]) => `${k} = ${k === "txn_ops" ? v : number(v)}`)] : []),
		"[cluster.cloud]", `rps = ${number(cloud.rps)}`, `list_lag_s = ${number(cloud.list_lag_s)}`,
		"[cluster.resources]", `cores = ${resources.cores}`, `ram_mb = ${number(resources.ram_mb)}`, `fd_limit = ${resources.fd_limit}`,
	].join("\n");
}

/** The `run` command of the deploy file: a program and its arguments. */
function runCommand() {
	const text = readFileSync(join(root, "deploy", "service.toml"), "utf8");
	return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

export class Cluster {
	nodes = [];
	jobs = new Map();
	workers = new Map();
	lines = [];
	violations = [];
	/** Limits of teams that operators have changed by command, in CPUs. */
	limits = new Map();
	startedAt = performance.now();
	starts = 0;
	/** Jobs of which a task has started. */
	everStarted = new Set();
	/** Controllers that ended although the test did not end them. */
	unexpectedEnds = [];
	stopping = false;

	constructor(site, recordFile) {
		this.site = site;
		this.recordFile = recordFile;
		this.folder = mkdtempSync(join(tmpdir(), "ramphub-review-"));
		this.state = new StateService(site.state);
		this.cloud = new Cloud({
			...site, rps: site.cloud.rps, listLagS: site.cloud.list_lag_s, record: (text) => this.record(text),
			onBooted: (host) => this.machineUp(host),
			onGone: (host) => this.machineGone(host),
		});
	}

	get t() {
		return (performance.now() - this.startedAt) / 1000;
	}

	record(text) {
		this.lines.push(`${this.t.toFixed(3)} ${text}`);
	}

	violated(rule, text) {
		this.violations.push({ rule, text });
		this.record(`RULE BROKEN ${rule}: ${text}`);
	}

	async start() {
		const { site } = this;
		const ports = await freePorts(3 * site.controllers + 1);
		this.endpoints = { cloud: await this.cloud.start(ports.pop()) };
		for (let i = 0; i < site.controllers; i++) {
			const [front, back] = [ports.pop(), ports.pop()].map((port) => `127.0.0.1:${port}`);
			this.nodes.push({ name: `runner-${i}`, zone: site.zones[i % site.zones.length], front, back, address: front });
		}
		// Each controller has an address of the state service of its own, so that it can be cut off or refused alone.
		for (const node of this.nodes) node.state = await this.state.start(ports.pop(), node);
		this.environment = {
			nodes: this.nodes, workers: site.workers, oneWayMs: site.oneWayMs, jobs: this.jobs,
			record: (text) => this.record(text),
			started: (worker, attempt) => this.taskStarted(worker, attempt),
			ended: (worker, attempt) => this.taskEnded(worker, attempt),
		};
		for (const node of this.nodes) this.startController(node);
	}

	// --- controllers ---

	startController(node) {
		const file = join(this.folder, `${node.name}.toml`);
		writeFileSync(file, settingsToml(this.site, node, this.nodes, this.endpoints));
		const [program, ...args] = runCommand();
		const log = openSync(join(this.folder, `${node.name}.log`), "a");
		const child = spawn(program === "node" ? process.execPath : program, [...args, file], {
			cwd: root, stdio: ["ignore", "ignore", log], env: { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? "info" },
		});
		closeSync(log);
		node.child = child;
		node.killed = false;
		this.record(`${node.name}: process started`);
		child.on("exit", (code, signal) => {
			this.record(`${node.name}: process ended (${code ?? signal})`);
			if (this.stopping || child !== node.child) return;
			if (!node.killed) this.unexpectedEnds.push({ node: node.name, code, signal, t: this.t });
			const restartMs = (node.restartS ?? this.site.restartS) * 1000;
			setTimeout(() => { if (!this.stopping) this.startController(node); }, restartMs);
		});
	}

	/** Kills a controller; it is started again after `restartS`. */
	crash(node, restartS) {
		node.restartS = restartS;
		node.killed = true;
		this.record(`${node.name}: killed`);
		node.child.kill("SIGKILL");
	}

	freeze(node) {
		this.record(`${node.name}: stopped (SIGSTOP)`);
		node.child.kill("SIGSTOP");
	}

	thaw(node) {
		this.record(`${node.name}: continued (SIGCONT)`);
		node.child.kill("SIGCONT");
	}

	async ready(timeoutS = 20) {
		const until = performance.now() + timeoutS * 1000;
		for (;;) {
			const answers = await Promise.all(this.nodes.map((n) => call(n.front, "GET", "/ready", undefined, 1000)));
			if (answers.every(({ status }) => status === 200)) return true;
			if (performance.now() > until) return false;
			await sleep(200);
		}
	}

	/** The node that most workers report to with success: where heartbeats are not forwarded, the leader. */
	leader() {
		const counts = new Map();
		for (const { lastAnsweredBy } of this.workers.values())
			if (lastAnsweredBy) counts.set(lastAnsweredBy, (counts.get(lastAnsweredBy) ?? 0) + 1);
		return [...counts].sort((a, b) => b[1] - a[1])[0]?.[0];
	}

	// --- machines and their tasks ---

	async machineUp(host) {
		const worker = new Worker(host, { ...this.environment, answered: (...args) => this.workerAnswered(...args), ordered: (...args) => this.onOrdered?.(...args) });
		await worker.start();
		worker.nodeIndex = this.workers.size % this.nodes.length;
		this.workers.set(host.id, worker);
		this.record(`${host.id}: up (${host.shape}, ${host.hall}${host.loaners ? ", spot" : ""})`);
	}

	machineGone(host) {
		this.workers.get(host.id)?.stop();
		this.workers.delete(host.id);
	}

	workerAnswered(worker, node, answer, report) {
		if (answer.status === 200) worker.lastAnsweredBy = node;
		this.onAnswered?.(worker, node, answer, report);
	}

	/** The workers on which the task is now: it runs or waits there, and the worker's lease has not ended. */
	machinesWith(piece) {
		return [...this.workers.values()].filter(
			(w) => !w.gone && performance.now() <= w.leaseUntil &&
				[...w.attempts.values()].some((a) => a.piece === piece && a.status === "running"),
		);
	}

	taskStarted(worker, attempt) {
		const { piece, job } = attempt;
		this.starts += 1;
		this.everStarted.add(job.id);
		this.record(`${worker.id}: ${piece} (try ${attempt.try}) starts`);
		for (const other of this.machinesWith(piece))
			if (other !== worker) {
				const left = ((other.leaseUntil - performance.now()) / 1000).toFixed(1);
				this.violated("ran_twice", `${piece} starts on ${worker.id} while it is on ${other.id}${other.waiting ? ", which hangs" : ""}${other.cut ? ", which is cut off" : ""} and whose lease lasts ${left} s more`);
			}
		if (job.cancelledAt && performance.now() - job.cancelledAt > this.site.workers.cancel_s * 1000)
			this.violated("ran_cancelled", `${piece} starts`);
		const used = this.teamUse(job.desk);
		const limit = this.limits.get(job.desk) ?? this.site.teams.find(({ name }) => name === job.desk).cpus_max;
		if (limit > 0 && used > limit + 1e-6) this.violated("quota", `${piece} starts, and ${job.desk} uses ${used} CPUs of ${limit}`);
		const { shape, hall, loaners } = worker.host;
		if ((job.shapes && !job.shapes.includes(shape)) || (job.hall && job.hall !== hall) || (loaners && !job.loaners))
			this.violated("wrong_place", `${piece} starts on ${worker.id}`);
	}

	taskEnded(worker, attempt) {
		this.record(`${worker.id}: ${attempt.piece} (try ${attempt.try}) is no longer there`);
	}

	teamUse(desk) {
		let used = 0;
		for (const w of this.workers.values())
			if (!w.gone && performance.now() <= w.leaseUntil)
				for (const a of w.attempts.values()) if (a.status === "running" && a.job.desk === desk) used += a.job.cores;
		return used;
	}

	// --- users ---

	job(number, fields) {
		return {
			id: `j-${String(number).padStart(6, "0")}`, lane: "rejilla", desk: this.site.teams[number % this.site.teams.length].name,
			form: "array", urgency: "normal", pieces: 1, cores: 2.0, accelerators: 0.0, ram_gb: 6.9, shapes: null, hall: null,
			one_zone: false, spread: false, loaners: true, bundle: "img-1", image_gb: 0.1, guess_s: 30.0, bookmark_s: 0.0,
			bookmark_cost_s: 0.0, due_s: null, ...fields,
		};
	}

	/** Submits a job as a user does: retried for 60 s. `run_s`: what a task really takes. */
	async submit(job, run_s) {
		this.jobs.set(job.id, { ...job, run_s });
		const until = performance.now() + 60_000;
		for (let i = 0; performance.now() < until && !this.stopping; i++) {
			const node = this.nodes[(Number(job.id.slice(2)) + i) % this.nodes.length];
			const answer = await call(node.front, "POST", "/v1/jobs", job, 5000);
			if ([200, 201, 400, 422].includes(answer.status)) {
				this.record(`user: submitted ${job.id} (${job.pieces} tasks) at ${node.name}: ${answer.status} ${JSON.stringify(answer.body)}`);
				if (answer.status <= 201) this.jobs.get(job.id).accepted = true;
				return answer;
			}
			await sleep(1000);
		}
		this.record(`user: gave up submitting ${job.id}`);
		return null;
	}

	/** Cancels a job at these nodes in turn, until it gets one of the answers. Resolves to its status. */
	async cancel(id, nodes) {
		for (let i = 0; i < 60 && !this.stopping; i++) {
			const node = nodes[i % nodes.length];
			const { status, body } = await call(node.front, "POST", `/v1/jobs/${id}/abort`, {}, 5000);
			this.record(`user: abort of ${id} at ${node.name}: ${status} ${JSON.stringify(body ?? null)}`);
			if (status === 200) {
				if (body.status === "cancelled") this.jobs.get(id).cancelledAt = performance.now();
				return body.status;
			}
			await sleep(1000);
		}
		return null;
	}

	// --- the end ---

	stop() {
		this.stopping = true;
		for (const { child } of this.nodes)
			if (child && child.exitCode === null && child.signalCode === null) {
				child.kill("SIGCONT");
				child.kill("SIGKILL");
			}
		for (const worker of this.workers.values()) worker.stop();
		this.state.stop();
		this.cloud.stop();
		writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
		if (!process.env.REVIEW_KEEP) rmSync(this.folder, { recursive: true, force: true });
	}
}

/** Runs a case: exit code 1: the rule was broken; 0: it held; 2: the case could not run. */
export async function runCase(name, rule, site, recordFile, play) {
	const cluster = new Cluster(site, recordFile);
	const trouble = process.env.TROUBLE !== "0";
	const limit = setTimeout(() => finish(2, "out of time"), 118_000);
	let finished = false;
	function finish(code, text) {
		if (finished) return;
		finished = true;
		clearTimeout(limit);
		cluster.record(`result ${code}: ${text}`);
		cluster.stop();
		console.log(`${name}: ${text}`);
		process.exitCode = code;
		setTimeout(() => process.exit(code), 300).unref();
	}
	for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => finish(2, "interrupted"));
	// A fault of a stand-in must not look like a broken rule.
	process.on("uncaughtException", (error) => finish(2, `the case could not run: ${error.stack}`));
	try {
		const held = await play(cluster, trouble);
		if (finished) return;
		const broken = cluster.violations.filter((v) => v.rule === rule);
		if (broken.length > 0) finish(1, `${rule} broken ${broken.length} times, first: ${broken[0].text}`);
		else if (held === null) finish(2, "the case could not run");
		else finish(0, `${rule} held${trouble ? "" : " (without the disruption)"}: ${held}`);
	} catch (error) {
		finish(2, `the case could not run: ${error.stack}`);
	}
}
