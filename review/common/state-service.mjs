/** Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"). */

import { closeServer, now, sleep, startServer } from "./http.mjs";

const keptChanges = 10_000;
const maxBodyBytes = 64 * 1024;

/** A token bucket with a burst of one second's worth. */
class Rate {
	constructor(perS) {
		this.perS = perS;
		this.tokens = perS;
		this.at = now();
	}
	take(count) {
		const t = now();
		this.tokens = Math.min(this.perS, this.tokens + ((t - this.at) / 1000) * this.perS);
		this.at = t;
		if (this.tokens < count) return false;
		this.tokens -= count;
		return true;
	}
}

export class StateService {
	/** @param firstEpoch The number of changes that the service has counted before the start. */
	constructor(limits, record, firstEpoch = 0) {
		this.limits = limits;
		this.record = record;
		this.epoch = firstEpoch;
		this.rows = new Map();
		this.changes = [];
		/** The changes up to this revision are no longer kept. */
		this.forgottenUpTo = firstEpoch;
		this.leases = new Map();
		this.nextLease = 1;
		this.requests = new Rate(limits.rps);
		this.writes = new Rate(limits.write_rps);
		this.wakeups = new Set();
		this.outage = false;
	}

	async start() {
		this.server = await startServer((method, url, text) => this.handle(method, url, text));
		this.address = `127.0.0.1:${this.server.address().port}`;
		this.leaseTimer = setInterval(() => this.expireLeases(), 10);
	}

	stop() {
		clearInterval(this.leaseTimer);
		closeServer(this.server);
	}

	setOutage(active) {
		if (this.outage && !active) for (const lease of this.leases.values()) lease.endsAt = now() + lease.ttlMs;
		this.outage = active;
		this.wake();
	}

	expireLeases() {
		if (this.outage) return;
		for (const [id, lease] of this.leases) if (now() >= lease.endsAt) this.endLease(id);
	}

	endLease(id) {
		if (!this.leases.delete(id)) return;
		const keys = [...this.rows].filter(([, row]) => row.permit === id).map(([key]) => key);
		if (keys.length === 0) return;
		this.epoch += 1;
		for (const key of keys) this.drop(key);
		this.wake();
	}

	drop(key) {
		if (this.rows.delete(key)) this.addChange({ drop: key, stamp: this.epoch });
	}

	addChange(change) {
		this.changes.push(change);
		if (this.changes.length > keptChanges) this.forgottenUpTo = this.changes.shift().stamp;
	}

	wake() {
		for (const wakeup of [...this.wakeups]) wakeup();
	}

	async handle(method, url, text) {
		const path = decodeURIComponent(url.pathname);
		const watch = method === "GET" && path === "/watch";
		if (this.outage && !(watch && Number(url.searchParams.get("block_ms") ?? 0) > 0)) return [503, { error: "trouble" }];
		if (!this.requests.take(1)) return [429, { error: "too many requests" }];
		await sleep(2);
		if (watch) return this.watch(url);
		if (method === "GET" && path === "/store") return this.list(url);
		if (method === "GET" && path.startsWith("/store/")) return this.read(path.slice("/store/".length));
		if (method === "POST" && path === "/multi") return this.multi(text);
		if (method === "POST" && path === "/leases") return this.grant(text);
		const lease = /^\/leases\/(\d+)(\/renew)?$/.exec(path);
		if (lease) return this.lease(method, Number(lease[1]));
		return [400, { error: "malformed" }];
	}

	read(key) {
		const row = this.rows.get(key);
		return row ? [200, { key, ...row }] : [404, { epoch: this.epoch }];
	}

	list(url) {
		const prefix = url.searchParams.get("prefix") ?? "";
		const from = url.searchParams.get("from") ?? "";
		const limit = Math.min(1000, Number(url.searchParams.get("limit") ?? 1000));
		const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
		const rows = [];
		let bytes = 0;
		for (const key of keys) {
			const { v, stamp } = this.rows.get(key);
			bytes += JSON.stringify(v).length + key.length + 40;
			if (rows.length === limit || (rows.length > 0 && bytes > 500 * 1024)) break;
			rows.push({ key, v, stamp });
		}
		return [200, { rows, truncated: rows.length < keys.length, epoch: this.epoch }];
	}

	multi(text) {
		if (Buffer.byteLength(text) > maxBodyBytes) return [400, { error: "too large" }];
		const { when = [], then = [] } = JSON.parse(text);
		const { txn_ops, value_kb } = this.limits;
		if (then.length > txn_ops || when.length > 4 * txn_ops) return [400, { error: "too many" }];
		for (const change of then) {
			if (change.put !== undefined && Buffer.byteLength(JSON.stringify(change.v)) > value_kb * 1024) return [400, { error: "value too large" }];
			if (change.permit != null && !this.leases.has(change.permit)) return [400, { error: "no such lease" }];
		}
		if (!this.writes.take(then.length)) return [429, { error: "too many changes" }];
		const failed = when.filter(({ key, stamp }) => (this.rows.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
		if (failed.length > 0) return [409, { failed, epoch: this.epoch }];
		if (then.length > 0) this.epoch += 1;
		for (const { put, drop, v, permit } of then) {
			if (drop !== undefined) this.drop(drop);
			else {
				this.rows.set(put, { v, stamp: this.epoch, ...(permit != null && { permit }) });
				this.addChange({ put, v, stamp: this.epoch });
				if (put === "r/one/leader") this.record(`state service: leader key written by ${v.node}, epoch ${this.epoch}`);
			}
		}
		if (then.length > 0) this.wake();
		return [200, { epoch: this.epoch }];
	}

	grant(text) {
		const ttlMs = JSON.parse(text).ttl_ms;
		const permit = this.nextLease++;
		this.leases.set(permit, { ttlMs, endsAt: now() + ttlMs });
		return [200, { permit }];
	}

	lease(method, id) {
		const lease = this.leases.get(id);
		if (!lease) return [404, { error: "no such lease" }];
		if (method === "DELETE") this.endLease(id);
		else lease.endsAt = now() + lease.ttlMs;
		return [200, {}];
	}

	async watch(url) {
		const prefix = url.searchParams.get("prefix") ?? "";
		const from = Number(url.searchParams.get("from"));
		const until = now() + Math.min(60_000, Number(url.searchParams.get("block_ms") ?? 0));
		if (from < this.forgottenUpTo) return [410, { error: "too old" }];
		for (;;) {
			const events = [];
			for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > from; i--)
				if ((this.changes[i].put ?? this.changes[i].drop).startsWith(prefix)) events.unshift(this.changes[i]);
			if (!this.outage && (events.length > 0 || now() >= until)) return [200, { epoch: this.epoch, events }];
			await new Promise((resolve) => {
				const done = () => {
					clearTimeout(timer);
					this.wakeups.delete(done);
					resolve();
				};
				const timer = setTimeout(done, Math.max(1, until - now()) + (this.outage ? 100 : 0));
				this.wakeups.add(done);
			});
		}
	}
}
