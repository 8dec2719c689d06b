/** Stand-in of a worker (PROTOCOL, "Workers -> controller nodes" and "Controller nodes -> workers"). */

import http from "node:http";
import { call, closeServer, now, startServer } from "./http.mjs";

const minIntervalMs = 500;
const responseTimeoutMs = 4000;
const retryMs = 1000;

/** Reads JSON and keeps the attempt numbers as text, since they may be any integer below 2^64. */
function parse(text) {
	return JSON.parse(text.replace(/"try":\s*(\d+)/g, '"try":"$1"'));
}

/** Writes JSON with the attempt numbers as integers. */
function stringify(value) {
	return JSON.stringify(value).replace(/"try":"(\d+)"/g, '"try":$1');
}

export class Worker {
	/** @param world nodes: name and front address; workers: report_s, lease_s; jobs: what users uploaded; events. */
	constructor(world, { id, type, hall, loaners }) {
		Object.assign(this, { world, id, type, hall, loaners });
		this.shift = 1;
		this.tick = 0;
		this.baton = 0;
		this.pieces = new Map();
		this.images = new Map();
		this.leaseFrom = now();
		this.nodeIndex = Math.floor(Math.random() * world.nodes.length);
		this.lastReportAt = Number.NEGATIVE_INFINITY;
		this.nextReportAt = now() + Math.random() * 500;
		this.batonChangeAt = Number.NEGATIVE_INFINITY;
		this.inFlight = false;
		this.sentTo = null;
		this.stopped = false;
		this.newAgent();
	}

	async start() {
		this.server = await startServer((method, url, text) => this.serve(method, url, text));
		this.endpoint = `127.0.0.1:${this.server.address().port}`;
		this.timer = setInterval(() => this.step(), 20);
	}

	/** The machine is gone, with all that was on it. */
	stop() {
		this.stopped = true;
		clearInterval(this.timer);
		this.endAll("machine gone");
		closeServer(this.server);
		this.agent.destroy();
	}

	newAgent() {
		this.agent?.destroy();
		this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
	}

	// --- reports ---

	step() {
		if (now() - this.leaseFrom > this.world.workers.lease_s * 1000) this.expireLease();
		if (!this.inFlight && now() >= this.nextReportAt) void this.sendReport();
	}

	expireLease() {
		this.endAll("lease expired");
		this.pieces.clear();
		this.shift += 1;
		this.leaseFrom = now();
		this.changed();
	}

	endAll(why) {
		for (const piece of this.pieces.values()) this.end(piece, why);
	}

	/** A change is reported at once, but not more often than every half second. */
	changed() {
		this.nextReportAt = Math.min(this.nextReportAt, Math.max(now(), this.lastReportAt + minIntervalMs));
	}

	report() {
		this.tick += 1;
		const pieces = [...this.pieces.values()].map(({ piece, attempt, status, cause }) => ({
			piece,
			try: attempt,
			status,
			...(cause && { cause }),
		}));
		const { id, endpoint, type, hall, loaners, shift, tick, baton } = this;
		return stringify({ host: id, endpoint, shape: type.sku, hall, loaners, shift, tick, baton, recall_s: null, pieces });
	}

	async sendReport() {
		const { world } = this;
		const node = world.nodes[this.nodeIndex];
		const sentAt = now();
		const { shift } = this;
		this.inFlight = true;
		this.sentTo = node.name;
		this.lastReportAt = sentAt;
		this.nextReportAt = sentAt + world.workers.report_s * 1000 * (0.75 + 0.5 * Math.random());
		const { status, text, json } = await call(node.front, "POST", "/v1/report", this.report(), {
			timeoutMs: responseTimeoutMs,
			agent: this.agent,
		});
		this.inFlight = false;
		this.sentTo = null;
		if (this.stopped) return;
		world.onReportAnswered?.(this, node.name, status, text);
		if (status === 200) {
			if (shift === this.shift) this.answered(parse(text), sentAt, node.name);
			return;
		}
		const foreman = status === 421 ? world.nodes.findIndex(({ name }) => name === json?.foreman) : -1;
		this.newAgent();
		if (foreman >= 0 && foreman !== this.nodeIndex) {
			this.nodeIndex = foreman;
			this.nextReportAt = now() + Math.random() * 500;
		} else {
			this.nodeIndex = (this.nodeIndex + 1) % world.nodes.length;
			this.nextReportAt = now() + retryMs;
		}
	}

	answered({ baton, orders = [] }, sentAt, from) {
		if (typeof baton !== "number" || baton < this.baton) return;
		this.raiseBaton(baton);
		this.leaseFrom = Math.max(this.leaseFrom, sentAt);
		this.execute(orders, `answer of ${from}`);
	}

	raiseBaton(baton) {
		if (baton <= this.baton) return;
		this.baton = baton;
		if (now() - this.batonChangeAt < this.world.workers.lease_s * 500) return;
		this.batonChangeAt = now();
		this.changed();
	}

	// --- direct commands ---

	async serve(method, url, text) {
		if (method === "GET" && url.pathname === "/show") return [200, this.report()];
		if (method !== "POST" || url.pathname !== "/commands") return [404, {}];
		const { baton, shift, orders = [] } = parse(text);
		if (baton === undefined || shift === undefined) return [400, {}];
		if (baton < this.baton || shift !== this.shift) return [409, this.report()];
		this.raiseBaton(baton);
		this.execute(orders, "direct command");
		return [200, this.report()];
	}

	// --- tasks ---

	execute(orders, source) {
		for (const { verb, piece, try: attempt, wind_down_s } of orders) {
			if (verb === "run") this.run(piece, attempt, source);
			else if (verb === "halt") this.halt(piece, attempt, wind_down_s);
			else if (verb === "forget") this.forget(piece, attempt);
		}
	}

	find(piece, attempt) {
		return this.pieces.get(`${piece}#${attempt}`);
	}

	run(piece, attempt, source) {
		if (this.find(piece, attempt)) return;
		const [jobId, index] = piece.split("/");
		const job = this.world.jobs.get(jobId);
		const entry = { piece, attempt, status: "pulling", cause: null, job, timer: null };
		this.world.events.onRun(this, piece, attempt, source);
		this.pieces.set(`${piece}#${attempt}`, entry);
		const live = [...this.pieces.values()].filter((other) => other !== entry && other.status !== "exited");
		if (!job || Number(index) >= job.pieces) return this.exit(entry, "no_such");
		if (live.some((other) => other.piece === piece)) return this.exit(entry, "busy");
		const sum = (field) => live.reduce((total, other) => total + other.job[field], 0) + job[field];
		if (sum("cores") > this.type.cores + 1e-6 || sum("ram_gb") > this.type.ram_gb + 1e-6) return this.exit(entry, "full");
		this.changed();
		const fetched = this.images.get(job.bundle) ?? now() + (job.image_gb / this.type.fetch_gb_per_s) * 1000;
		this.images.set(job.bundle, fetched);
		entry.timer = setTimeout(() => this.begin(entry), Math.max(0, fetched - now()));
	}

	begin(entry) {
		entry.status = "running";
		this.world.events.onStart(this, entry.piece, entry.attempt, entry.job);
		this.changed();
		const runS = this.world.done.has(entry.piece) ? 0 : entry.job.run_s;
		if (runS === null) return;
		entry.timer = setTimeout(() => {
			this.world.done.add(entry.piece);
			this.exit(entry, "done");
		}, runS * 1000);
	}

	halt(piece, attempt) {
		const entry = this.find(piece, attempt);
		if (entry && entry.status !== "exited") this.exit(entry, "stopped");
	}

	forget(piece, attempt) {
		if (this.find(piece, attempt)?.status !== "exited") return;
		this.pieces.delete(`${piece}#${attempt}`);
		this.changed();
	}

	exit(entry, cause) {
		this.end(entry, cause);
		entry.cause = cause;
		entry.status = "exited";
		this.changed();
	}

	end(entry, why) {
		clearTimeout(entry.timer);
		if (entry.status === "running") this.world.events.onEnd(this, entry.piece, entry.attempt, why);
		if (entry.status !== "exited") entry.status = "ended";
	}
}
