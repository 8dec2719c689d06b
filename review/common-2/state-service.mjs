// The state service, by PROTOCOL-ramphub.md, "Controller nodes -> state service".
import { jsonServer } from "./http.mjs";

const keptChanges = 10_000;

export class StateService {
	epoch = 0;
	rows = new Map();
	changes = [];
	leases = new Map();
	nextLease = 1;
	watchers = new Set();
	/** True while it is down for all: 503, and open watches remain open. */
	down = false;
	/** Decides what happens to a request: undefined: nothing special, or {lost}, {delayMs, dropAnswer}. */
	disturb = () => undefined;

	constructor(limits) {
		this.limits = limits;
		this.tokens = { requests: limits.rps, writes: limits.write_rps, at: performance.now() };
	}

	servers = [];
	/** Nodes that get 503 while the others are served; their open watches wait. */
	refused = new Set();

	/** Listens for one node, or for all: each node can have an address of its own. */
	async start(port, node = null) {
		const { address, server } = await jsonServer((method, url, body, reply) => this.handle(method, url, body, reply, node), port);
		this.servers.push(server);
		this.timer ??= setInterval(() => this.expireLeases(), 20);
		return address;
	}

	stop() {
		clearInterval(this.timer);
		for (const server of this.servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	/** True if requests of this node get 503 now. */
	refuses(node) {
		return this.down || this.refused.has(node);
	}

	setRefused(node, refused) {
		if (refused) this.refused.add(node);
		else this.refused.delete(node);
		if (!refused) this.wakeWatchers();
	}

	setDown(down) {
		if (this.down && !down)
			for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.ttlMs;
		this.down = down;
		if (!down) this.wakeWatchers();
	}

	expireLeases() {
		if (this.down) return;
		const now = performance.now();
		for (const [id, lease] of this.leases) if (lease.endsAt <= now) this.endLease(id);
	}

	endLease(id) {
		this.leases.delete(id);
		const keys = [...this.rows].filter(([, row]) => row.permit === id).map(([key]) => key);
		if (keys.length === 0) return;
		this.epoch += 1;
		for (const key of keys) this.drop(key);
		this.wakeWatchers();
	}

	drop(key) {
		if (this.rows.delete(key)) this.changed({ drop: key, stamp: this.epoch });
	}

	changed(event) {
		this.changes.push(event);
		if (this.changes.length > keptChanges) this.changes.splice(0, this.changes.length - keptChanges);
	}

	take(kind, count) {
		const now = performance.now();
		const seconds = (now - this.tokens.at) / 1000;
		this.tokens.at = now;
		this.tokens.requests = Math.min(this.limits.rps, this.tokens.requests + seconds * this.limits.rps);
		this.tokens.writes = Math.min(this.limits.write_rps, this.tokens.writes + seconds * this.limits.write_rps);
		if (this.tokens[kind] < count) return false;
		this.tokens[kind] -= count;
		return true;
	}

	handle(method, rawUrl, body, reply, node) {
		const disturbance = this.disturb(method, rawUrl, body, node);
		if (disturbance?.lost) return;
		const answer = disturbance?.dropAnswer ? () => {} : reply;
		if (disturbance?.delayMs) setTimeout(() => this.execute(method, rawUrl, body, answer, node), disturbance.delayMs);
		else this.execute(method, rawUrl, body, answer, node);
	}

	execute(method, rawUrl, body, reply, node) {
		const url = new URL(rawUrl, "http://state");
		const path = url.pathname;
		if (this.refuses(node)) return reply(503, {});
		if (!this.take("requests", 1)) return reply(429, {});
		if (path === "/multi") return this.transact(body, reply);
		if (path === "/leases" && method === "POST") {
			const id = this.nextLease++;
			this.leases.set(id, { ttlMs: body.ttl_ms, endsAt: performance.now() + body.ttl_ms });
			return reply(200, { permit: id });
		}
		const lease = /^\/leases\/(\d+)(\/renew)?$/.exec(path);
		if (lease) {
			const id = Number(lease[1]);
			const found = this.leases.get(id);
			if (!found) return reply(404, {});
			if (method === "DELETE") this.endLease(id);
			else found.endsAt = performance.now() + found.ttlMs;
			return reply(200, {});
		}
		if (path === "/watch") return this.watch(url, reply, node);
		if (path === "/store") return this.list(url, reply);
		const row = this.rows.get(path.slice("/store/".length));
		if (!row) return reply(404, { epoch: this.epoch });
		const answer = { key: path.slice("/store/".length), v: row.v, stamp: row.stamp };
		reply(200, row.permit === undefined ? answer : { ...answer, permit: row.permit });
	}

	list(url, reply) {
		const prefix = url.searchParams.get("prefix") ?? "";
		const from = url.searchParams.get("from") ?? "";
		const limit = Math.min(1000, Number(url.searchParams.get("limit") ?? 1000));
		const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
		const rows = [];
		let bytes = 0;
		for (const key of keys) {
			const row = { key, v: this.rows.get(key).v, stamp: this.rows.get(key).stamp };
			bytes += JSON.stringify(row).length;
			if (rows.length === limit || (rows.length > 0 && bytes > 512 * 1024)) break;
			rows.push(row);
		}
		reply(200, { rows, truncated: rows.length < keys.length, epoch: this.epoch });
	}

	transact(body, reply) {
		const when = body?.when ?? [];
		const ops = body?.then ?? [];
		const tooLarge = ops.some((op) => op.put !== undefined && JSON.stringify(op.v ?? null).length > this.limits.value_kb * 1024);
		if (tooLarge || ops.length > this.limits.txn_ops || when.length > 4 * this.limits.txn_ops) return reply(400, { error: "limits" });
		if (ops.some((op) => op.permit !== undefined && !this.leases.has(op.permit))) return reply(400, { error: "no such lease" });
		if (!this.take("writes", ops.length)) return reply(429, {});
		const failed = when.filter((c) => (this.rows.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
		if (failed.length > 0) return reply(409, { failed, epoch: this.epoch });
		if (ops.length > 0) this.epoch += 1;
		for (const op of ops) {
			if (op.drop !== undefined) this.drop(op.drop);
			else {
				this.rows.set(op.put, { v: op.v, stamp: this.epoch, permit: op.permit });
				this.changed({ put: op.put, v: op.v, stamp: this.epoch });
			}
		}
		reply(200, { epoch: this.epoch });
		this.wakeWatchers();
	}

	watch(url, reply, node) {
		const watcher = {
			node,
			prefix: url.searchParams.get("prefix") ?? "",
			from: Number(url.searchParams.get("from") ?? 0),
			reply,
		};
		const first = this.changes[0];
		if (this.changes.length === keptChanges && first.stamp > watcher.from + 1) return reply(410, {});
		const blockMs = Math.min(60_000, Number(url.searchParams.get("block_ms") ?? 0));
		if (this.answerWatch(watcher) || blockMs === 0) {
			reply(200, { epoch: this.epoch, events: [] });
			return;
		}
		this.watchers.add(watcher);
		const end = () => {
			if (!this.watchers.has(watcher)) return;
			if (this.refuses(watcher.node)) return void setTimeout(end, 50);
			this.watchers.delete(watcher);
			if (!this.answerWatch(watcher)) reply(200, { epoch: this.epoch, events: [] });
		};
		setTimeout(end, blockMs);
	}

	answerWatch({ prefix, from, reply }) {
		const events = [];
		for (let i = this.changes.length - 1; i >= 0 && this.changes[i].stamp > from; i--)
			if ((this.changes[i].put ?? this.changes[i].drop).startsWith(prefix)) events.push(this.changes[i]);
		if (events.length === 0) return false;
		reply(200, { epoch: this.epoch, events: events.reverse() });
		return true;
	}

	wakeWatchers() {
		if (this.down) return;
		for (const watcher of [...this.watchers])
			if (!this.refuses(watcher.node) && this.answerWatch(watcher)) this.watchers.delete(watcher);
	}
}
