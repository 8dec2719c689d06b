// The cloud, by PROTOCOL-ramphub.md, "Controller nodes -> cloud". It boots machines by calling `onBooted`.
import { jsonServer } from "./http.mjs";

export class Cloud {
	hosts = new Map();
	hires = new Map();
	history = [];
	created = 0;
	tokens = { count: 0, at: performance.now() };

	constructor({ types, capacity, rps, listLagS, bootS, onBooted, onGone, record }) {
		Object.assign(this, { types, capacity, rps, listLagS, bootS, onBooted, onGone, record });
		this.tokens.count = 2 * rps;
	}

	async start(port) {
		const { address, server } = await jsonServer((method, url, body, reply) => this.handle(method, url, body, reply), port);
		this.server = server;
		this.snapshot();
		this.timer = setInterval(() => this.snapshot(), 500);
		return address;
	}

	stop() {
		clearInterval(this.timer);
		this.server.closeAllConnections();
		this.server.close();
	}

	snapshot() {
		const now = performance.now();
		const hosts = [...this.hosts.values()].map((h) => ({
			id: h.id, endpoint: h.endpoint, shape: h.shape, hall: h.hall, loaners: h.loaners,
			status: h.up ? "running" : "booting", age_s: (now - h.rentedAt) / 1000,
		}));
		this.history.push({ at: now, hosts });
		while (this.history.length > 2 && this.history[1].at < now - this.listLagS * 1000) this.history.shift();
	}

	allowed() {
		const now = performance.now();
		this.tokens.count = Math.min(2 * this.rps, this.tokens.count + ((now - this.tokens.at) / 1000) * this.rps);
		this.tokens.at = now;
		if (this.tokens.count < 1) return false;
		this.tokens.count -= 1;
		return true;
	}

	handle(method, rawUrl, body, reply) {
		if (!this.allowed()) return reply(429, {});
		const url = new URL(rawUrl, "http://cloud");
		if (url.pathname === "/machine_types") return reply(200, { shapes: this.types });
		if (url.pathname === "/hosts/return") {
			for (const id of body.hosts) this.remove(id, "returned");
			return reply(200, {});
		}
		if (method === "POST") return this.rent(body, reply);
		const from = url.searchParams.get("from") ?? "";
		const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
		const all = this.history[0].hosts.filter((h) => h.id > from).sort((a, b) => (a.id < b.id ? -1 : 1));
		reply(200, { hosts: all.slice(0, limit), truncated: all.length > limit });
	}

	remove(id, why) {
		const host = this.hosts.get(id);
		if (!host) return;
		this.hosts.delete(id);
		this.record?.(`cloud: machine ${id} ${why}`);
		this.onGone(host);
	}

	rent({ hire, shape, hall, loaners, count }, reply) {
		const earlier = this.hires.get(hire);
		if (earlier) return reply(200, { hosts: earlier });
		const type = this.types.find((t) => t.sku === shape);
		if (!type || !type.halls.includes(hall) || count > 50) return reply(400, {});
		const free = Math.min(count, this.capacity - this.hosts.size);
		if (free <= 0) return reply(503, { error: "no capacity" });
		const ids = [];
		for (let i = 0; i < free; i++) {
			this.created += 1;
			const id = `n-${String(this.created).padStart(6, "0")}`;
			const host = { id, shape, hall, loaners, type, up: false, rentedAt: performance.now(), endpoint: "" };
			this.hosts.set(id, host);
			ids.push(id);
			setTimeout(() => this.boot(host), this.bootS * 1000);
		}
		this.hires.set(hire, ids);
		this.record?.(`cloud: rented ${ids.length} x ${shape} in ${hall}: ${ids[0]} ... ${ids.at(-1)}`);
		reply(200, { hosts: ids });
	}

	async boot(host) {
		if (!this.hosts.has(host.id)) return;
		await this.onBooted(host);
		host.up = true;
	}
}
