/** Stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud"). */

import { closeServer, now, sleep, startServer } from "./http.mjs";
import { Worker } from "./worker.mjs";

export class Cloud {
	/**
	 * @param options shapes: the machine types; capacity: the most machines of all types together;
	 *   bootMs(shape): the boot time of the next machine; rps and listLagS as in the settings.
	 */
	constructor(world, options, record) {
		this.world = world;
		this.options = options;
		this.record = record;
		this.hosts = new Map();
		this.hires = new Map();
		this.nextHost = 1;
		this.tokens = 2 * options.rps;
		this.tokensAt = now();
		/** Earlier lists, so that the list lags. */
		this.lists = [];
	}

	async start() {
		this.server = await startServer((method, url, text) => this.handle(method, url, text));
		this.address = `127.0.0.1:${this.server.address().port}`;
		this.listTimer = setInterval(() => this.takeList(), 200);
	}

	stop() {
		clearInterval(this.listTimer);
		for (const host of this.hosts.values()) host.worker?.stop();
		closeServer(this.server);
	}

	get workers() {
		return [...this.hosts.values()].map((host) => host.worker).filter(Boolean);
	}

	takeList() {
		this.lists.push({ at: now(), hosts: [...this.hosts.values()].map((host) => this.listed(host)) });
		if (this.lists.length > 200) this.lists.shift();
	}

	listed({ id, shape, hall, loaners, worker, rentedAt }) {
		const endpoint = worker?.endpoint ?? "127.0.0.1:1";
		const status = worker ? "running" : "booting";
		return { id, endpoint, shape, hall, loaners, status, age_s: (now() - rentedAt) / 1000 };
	}

	async handle(method, url, text) {
		const t = now();
		const { rps } = this.options;
		this.tokens = Math.min(2 * rps, this.tokens + ((t - this.tokensAt) / 1000) * rps);
		this.tokensAt = t;
		if (this.tokens < 1) return [429, { error: "too many requests" }];
		this.tokens -= 1;
		await sleep(50);
		if (url.pathname === "/machine_types") return [200, { shapes: this.options.shapes }];
		if (method === "GET") return this.list(url);
		const body = JSON.parse(text);
		if (url.pathname === "/hosts/return") return this.giveBack(body.hosts);
		return this.hire(body);
	}

	list(url) {
		const from = url.searchParams.get("from") ?? "";
		const limit = Math.min(500, Number(url.searchParams.get("limit") ?? 500));
		const lagMs = this.options.listLagS * 1000;
		const list = [...this.lists].reverse().find(({ at }) => at <= now() - lagMs) ?? this.lists[0] ?? { hosts: [] };
		const hosts = list.hosts.filter(({ id }) => id > from);
		return [200, { hosts: hosts.slice(0, limit), truncated: hosts.length > limit }];
	}

	giveBack(ids) {
		for (const id of ids) {
			const host = this.hosts.get(id);
			if (!host) continue;
			host.worker?.stop();
			this.hosts.delete(id);
		}
		this.record(`cloud: returned ${ids.join(" ")}`);
		return [200, {}];
	}

	hire({ hire, shape, hall, loaners, count }) {
		const known = this.hires.get(hire);
		if (known) return [200, { hosts: known }];
		const room = Math.min(count, 50, this.options.capacity - this.hosts.size);
		if (room <= 0) return [503, { error: "no capacity" }];
		const ids = [];
		for (let i = 0; i < room; i++) ids.push(this.add(shape, hall, loaners, this.options.bootMs(shape)));
		this.hires.set(hire, ids);
		this.record(`cloud: hire ${hire}: ${room} ${shape} in ${hall}`);
		return [200, { hosts: ids }];
	}

	/** Adds a machine that is up after the boot time, and returns its name. */
	add(shape, hall, loaners, bootMs) {
		const id = `n-${String(this.nextHost++).padStart(6, "0")}`;
		const host = { id, shape, hall, loaners, rentedAt: now(), worker: null };
		this.hosts.set(id, host);
		setTimeout(async () => {
			if (!this.hosts.has(id)) return;
			const type = this.options.shapes.find(({ sku }) => sku === shape);
			const worker = new Worker(this.world, { id, type, hall, loaners });
			await worker.start();
			host.worker = worker;
			if (!this.hosts.has(id)) worker.stop();
		}, bootMs);
		return id;
	}
}
