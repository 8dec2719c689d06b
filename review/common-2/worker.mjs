// A worker, by PROTOCOL-ramphub.md, "Workers -> controller nodes" and "Controller nodes -> workers".
import { Agent } from "node:http";
import { call, jsonServer } from "./http.mjs";

const minReportGapMs = 500;
const answerTimeoutMs = 4000;

/**
 * Links: each direction takes `oneWayMs`, and a new connection one round trip more. `environment` has `nodes` (name and
 * address), `workers` (report_s, lease_s), `oneWayMs`, `jobs` (descriptions by id, with `run_s`), and the callbacks
 * `started(worker, attempt)`, `ended(worker, attempt)`, `answered(worker, node, answer, report)` and `record(text)`.
 */
export class Worker {
	shift = 1;
	tick = 0;
	baton = 0;
	attempts = new Map();
	images = new Set();
	nodeIndex = 0;
	reportInFlight = false;
	nextReportAt = 0;
	lastReportAt = Number.NEGATIVE_INFINITY;
	/** The session began, or the last answered report was sent, at this time. */
	leaseFrom = performance.now();
	gone = false;
	/** What waits until the machine goes on; null: it does not hang. */
	waiting = null;
	/** True while the machine's network is lost: nothing arrives in either direction. */
	cut = false;
	/** Its reports arrive; answers and direct commands to it are lost. */
	deaf = false;
	/** Its reports reach no controller, while direct commands reach it. */
	mute = false;

	constructor(host, environment) {
		this.host = host;
		this.environment = environment;
		this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
		this.connectedTo = null;
	}

	async start() {
		const { address, server } = await jsonServer((method, url, body, reply) => this.receive(method, url, body, reply));
		this.server = server;
		this.host.endpoint = address;
		this.leaseFrom = performance.now();
		this.timer = setInterval(() => this.step(), 20);
	}

	stop() {
		this.gone = true;
		clearInterval(this.timer);
		for (const attempt of this.attempts.values()) if (attempt.status !== "exited") this.leave(attempt);
		this.attempts.clear();
		this.server.closeAllConnections();
		this.server.close();
		this.agent.destroy();
	}

	get id() {
		return this.host.id;
	}

	/** The time until which this worker keeps its tasks without a further answer. */
	get leaseUntil() {
		return this.leaseFrom + this.environment.workers.lease_s * 1000;
	}

	// --- hangs ---

	hang() {
		if (this.waiting) return;
		this.waiting = [];
		for (const attempt of this.attempts.values()) this.pauseRun(attempt);
	}

	/** Goes on: the lease first, then its own timers, then what has arrived. */
	resume() {
		const waiting = this.waiting ?? [];
		this.waiting = null;
		if (this.gone) return;
		this.checkLease();
		for (const attempt of this.attempts.values()) this.continueRun(attempt);
		this.step();
		for (const action of waiting) action();
	}

	whenRunning(action) {
		if (this.waiting) this.waiting.push(action);
		else action();
	}

	step() {
		if (this.gone || this.waiting) return;
		this.checkLease();
		if (!this.reportInFlight && performance.now() >= this.nextReportAt) void this.report();
	}

	checkLease() {
		if (performance.now() <= this.leaseUntil) return;
		for (const attempt of this.attempts.values()) if (attempt.status !== "exited") this.leave(attempt);
		this.attempts.clear();
		this.shift += 1;
		this.leaseFrom = performance.now();
		this.environment.record(`${this.id}: lease ended, session ${this.shift} begins`);
		this.changed();
	}

	// --- reports ---

	changed() {
		this.nextReportAt = Math.min(this.nextReportAt, Math.max(performance.now(), this.lastReportAt + minReportGapMs));
	}

	message() {
		this.tick += 1;
		const { id, endpoint, shape, hall, loaners } = this.host;
		return {
			host: id, endpoint, shape, hall, loaners, shift: this.shift, tick: this.tick, baton: this.baton, recall_s: null,
			pieces: [...this.attempts.values()].map(({ piece, try: number, status, cause }) =>
				cause === undefined ? { piece, try: number, status } : { piece, try: number, status, cause }),
		};
	}

	/** The node to which the next report goes. */
	get node() {
		return this.environment.nodes[this.nodeIndex % this.environment.nodes.length];
	}

	async report() {
		const { nodes, workers, oneWayMs } = this.environment;
		this.reportInFlight = true;
		const sentAt = performance.now();
		this.lastReportAt = sentAt;
		this.nextReportAt = sentAt + workers.report_s * 1000 * (0.75 + Math.random() / 2);
		const body = this.message();
		const { shift, node } = this;
		const connectMs = this.connectedTo === node.name ? 0 : 2 * oneWayMs;
		await delay(connectMs + oneWayMs);
		const answer = this.cut || this.mute
			? await delay(answerTimeoutMs).then(() => ({ status: 0 }))
			: await call(node.address, "POST", "/v1/report", body, answerTimeoutMs - (performance.now() - sentAt), this.agent);
		await delay(oneWayMs);
		if ((this.cut || this.deaf) && answer.status !== 0) {
			await delay(Math.max(0, answerTimeoutMs - (performance.now() - sentAt)));
			answer.status = 0;
		}
		this.whenRunning(() => this.answered(node, nodes, sentAt, shift, body, answer));
	}

	answered(node, nodes, sentAt, shift, body, answer) {
		this.reportInFlight = false;
		if (this.gone) return;
		if (performance.now() - sentAt > answerTimeoutMs) answer.status = 0;
		this.environment.answered?.(this, node, answer, body);
		this.connectedTo = answer.status === 0 ? null : node.name;
		if (answer.status === 200) {
			if (shift !== this.shift || !(answer.body?.baton >= this.baton)) return;
			this.see(answer.body.baton);
			this.leaseFrom = Math.max(this.leaseFrom, sentAt);
			this.execute(answer.body.orders ?? [], sentAt);
			return;
		}
		const foreman = answer.status === 421 ? nodes.findIndex(({ name }) => name === answer.body?.foreman) : -1;
		if (foreman >= 0 && nodes[foreman] !== node) {
			this.nodeIndex = foreman;
			this.nextReportAt = performance.now() + Math.random() * 500;
		} else {
			this.nodeIndex = (nodes.indexOf(node) + 1) % nodes.length;
			this.nextReportAt = performance.now() + 1000;
		}
		this.connectedTo = null;
		this.agent.destroy();
		this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
	}

	see(baton) {
		if (baton <= this.baton) return;
		this.baton = baton;
		this.changed();
	}

	// --- direct commands ---

	receive(method, url, body, reply) {
		if (this.cut || this.deaf) return;
		const { oneWayMs } = this.environment;
		setTimeout(() => this.whenRunning(() => {
			if (this.gone || this.cut) return;
			const [status, value] = this.direct(method, url, body);
			setTimeout(() => { if (!this.cut) reply(status, value); }, oneWayMs);
		}), 3 * oneWayMs);
	}

	direct(method, url, body) {
		if (method === "GET" && url === "/show") return [200, this.message()];
		if (body?.baton === undefined || body?.shift === undefined) return [400, {}];
		this.environment.commanded?.(this, body);
		if (body.baton < this.baton || body.shift !== this.shift) return [409, this.message()];
		this.see(body.baton);
		this.execute(body.orders ?? []);
		return [200, this.message()];
	}

	// --- tasks ---

	/** `reportSentAt`: when the report was sent whose answer has these orders; undefined: they are direct commands. */
	execute(orders, reportSentAt) {
		for (const { verb, piece, try: number, wind_down_s } of orders) {
			const key = `${piece}#${number}`;
			const attempt = this.attempts.get(key);
			if (verb === "run" && !attempt) {
				this.environment.ordered?.(this, piece, number, reportSentAt);
				this.run(piece, number, key);
			}
			else if (verb === "halt" && attempt && attempt.status !== "exited") this.halt(attempt, wind_down_s);
			else if (verb === "forget" && attempt?.status === "exited") {
				this.attempts.delete(key);
				this.changed();
			}
		}
	}

	run(piece, number, key) {
		const [jobId, index] = piece.split("/");
		const job = this.environment.jobs.get(jobId);
		const attempt = { piece, try: number, status: "pulling", job };
		const others = [...this.attempts.values()].filter((a) => a.status !== "exited");
		this.attempts.set(key, attempt);
		this.changed();
		const refuse = (cause) => Object.assign(attempt, { status: "exited", cause });
		if (!job || Number(index) >= job.pieces) return refuse("no_such");
		if (others.some((a) => a.piece === piece)) return refuse("busy");
		const { type } = this.host;
		const used = (field) => others.reduce((sum, a) => sum + a.job[field], job[field]);
		if (used("cores") > type.cores + 1e-9 || used("ram_gb") > type.ram_gb + 1e-9) return refuse("full");
		const fetchMs = this.images.has(job.bundle) ? 0 : (job.image_gb / type.fetch_gb_per_s) * 1000;
		setTimeout(() => this.whenRunning(() => this.begin(attempt)), fetchMs);
	}

	begin(attempt) {
		if (this.gone || attempt.status !== "pulling") return;
		this.images.add(attempt.job.bundle);
		attempt.status = "running";
		attempt.leftMs = attempt.job.run_s * 1000;
		this.environment.started(this, attempt);
		this.changed();
		this.continueRun(attempt);
	}

	continueRun(attempt) {
		if (attempt.status !== "running") return;
		attempt.runningFrom = performance.now();
		attempt.timer = setTimeout(() => this.finish(attempt), attempt.leftMs);
	}

	pauseRun(attempt) {
		if (attempt.status !== "running") return;
		clearTimeout(attempt.timer);
		attempt.leftMs = Math.max(0, attempt.leftMs - (performance.now() - attempt.runningFrom));
	}

	finish(attempt) {
		if (attempt.status !== "running") return;
		this.leave(attempt);
		attempt.status = "exited";
		attempt.cause = "done";
		this.changed();
	}

	halt(attempt) {
		this.leave(attempt);
		attempt.status = "exited";
		attempt.cause = "stopped";
		this.changed();
	}

	/** The task is no longer on this machine. */
	leave(attempt) {
		clearTimeout(attempt.timer);
		if (attempt.status === "running") this.environment.ended(this, attempt);
		if (attempt.status === "pulling") attempt.status = "gone";
	}
}

const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
