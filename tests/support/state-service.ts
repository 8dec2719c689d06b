import { stringifyJson } from "../../src/protocol/json.js";
import { nextUint64, type Uint64, uint64Of } from "../../src/protocol/model/uint64.js";
import type { HttpResponse } from "../../src/transport/clients/http-response.js";
import type { FakeTime } from "./fake-time.js";

/** A stored value, with the field names of the API. */
interface Row {
	v: unknown;
	stamp: Uint64;
	permit?: Uint64;
}

/** A put or delete, as watches deliver it. */
interface Change {
	key: string;
	v?: unknown;
	stamp: Uint64;
	dropped: boolean;
}

/** An in-process state service that implements the published API. */
export class StateService {
	/** It may be set to any value from 0 to 2^64 - 1 before the controllers start. */
	revision: Uint64 = 0;
	readonly rows = new Map<string, Row>();
	private readonly changes: Change[] = [];
	private readonly leases = new Map<Uint64, { ttlMs: number; endsAt: number }>();
	/** Id of the next lease, which may be any value from 1 on. */
	nextLease: Uint64 = 1;
	/** All requests are refused, and leases do not expire. */
	outage = false;
	/** Controllers whose requests are refused; their leases expire. */
	readonly unavailableTo = new Set<string>();

	/** Larger values and longer transactions get 400; larger values stored earlier stay readable. */
	limits = { valueBytes: 16 * 1024, operations: 12 };
	/** Rate limit of puts and deletes, with a burst of one second's worth; transactions beyond it get 429. */
	writesPerS = Number.POSITIVE_INFINITY;
	private writeTokens = 0;
	private writeTokensUpdatedAt = 0;
	/** Number of transactions that got 429. */
	rateLimitedCount = 0;

	constructor(private readonly time: Pick<FakeTime, "now" | "after">) {
		this.expireLeasesPeriodically();
	}

	setOutage(active: boolean): void {
		if (this.outage && !active) {
			for (const lease of this.leases.values()) lease.endsAt = this.time.now() + lease.ttlMs;
		}
		this.outage = active;
	}

	private expireLeasesPeriodically(): void {
		this.time.after(20, () => {
			if (!this.outage) {
				for (const [id, lease] of this.leases) if (lease.endsAt <= this.time.now()) this.endLease(id);
			}
			this.expireLeasesPeriodically();
		});
	}

	private endLease(id: Uint64): void {
		this.leases.delete(id);
		const expiredKeys = [...this.rows].filter(([, row]) => row.permit === id).map(([key]) => key);
		if (expiredKeys.length === 0) return;
		this.revision = nextUint64(this.revision);
		for (const key of expiredKeys) this.removeRow(key);
	}

	private removeRow(key: string): void {
		if (this.rows.delete(key)) this.changes.push({ key, stamp: this.revision, dropped: true });
	}

	async handle(method: string, path: string, body: unknown, from: string): Promise<HttpResponse> {
		const url = new URL(path, "http://state");
		if (this.outage || this.unavailableTo.has(from)) {
			if (url.pathname !== "/watch" || url.searchParams.get("block_ms") === "0")
				return { status: 503, body: {} };
		}
		if (url.pathname === "/multi") return this.executeTransaction(body as Record<string, unknown>);
		if (url.pathname === "/leases") {
			const id = this.nextLease;
			this.nextLease = nextUint64(id);
			const ttlMs = (body as { ttl_ms: number }).ttl_ms;
			this.leases.set(id, { ttlMs, endsAt: this.time.now() + ttlMs });
			return { status: 200, body: { permit: id } };
		}
		const lease = /^\/leases\/(\d+)(\/renew)?$/.exec(url.pathname);
		if (lease) {
			const id = uint64Of(BigInt(lease[1] as string));
			const grantedLease = this.leases.get(id);
			if (!grantedLease) return { status: 404, body: {} };
			if (method === "DELETE") this.endLease(id);
			else grantedLease.endsAt = this.time.now() + grantedLease.ttlMs;
			return { status: 200, body: {} };
		}
		if (url.pathname === "/watch") return this.watch(url, from);
		if (url.pathname === "/store") {
			const prefix = url.searchParams.get("prefix") ?? "";
			const after = url.searchParams.get("from") ?? "";
			const limit = Number(url.searchParams.get("limit") ?? 1000);
			const all = [...this.rows].filter(([key]) => key.startsWith(prefix) && key > after).sort();
			const rows = all.slice(0, limit).map(([key, row]) => ({ key, v: row.v, stamp: row.stamp }));
			return { status: 200, body: { rows, truncated: all.length > limit, epoch: this.revision } };
		}
		const key = url.pathname.slice("/store/".length);
		const row = this.rows.get(key);
		return row
			? { status: 200, body: { key, v: row.v, stamp: row.stamp } }
			: { status: 404, body: { epoch: this.revision } };
	}

	private admitsWrites(writes: number): boolean {
		if (this.writesPerS === Number.POSITIVE_INFINITY) return true;
		const now = this.time.now();
		const earned = ((now - this.writeTokensUpdatedAt) / 1000) * this.writesPerS;
		this.writeTokens = Math.min(this.writesPerS, this.writeTokens + earned);
		this.writeTokensUpdatedAt = now;
		if (writes > this.writeTokens) {
			this.rateLimitedCount += 1;
			return false;
		}
		this.writeTokens -= writes;
		return true;
	}

	/** Writes a value as a client other than the controllers. */
	write(key: string, v: unknown): void {
		this.change({ put: key, v });
	}

	remove(key: string): void {
		this.change({ drop: key });
	}

	private change(change: object): void {
		// biome-ignore lint/suspicious/noThenProperty: the name of the field in the state service's API
		this.executeTransaction({ then: [change] });
	}

	private executeTransaction(body: Record<string, unknown>): HttpResponse {
		const when = (body.when ?? []) as { key: string; stamp: Uint64 }[];
		const then = (body.then ?? []) as { put?: string; drop?: string; v?: unknown; permit?: Uint64 }[];
		for (const op of then) {
			if (op.permit !== undefined && !this.leases.has(op.permit)) {
				return { status: 400, body: { error: "no such lease" } };
			}
		}
		if (!this.admitsWrites(then.length)) return { status: 429, body: {} };
		const tooLarge = then.some(
			(op) => Buffer.byteLength(stringifyJson(op.v ?? null)) > this.limits.valueBytes,
		);
		if (tooLarge || then.length > this.limits.operations || when.length > 4 * this.limits.operations)
			return { status: 400, body: { error: "over the limits" } };
		const failed = when.filter((c) => (this.rows.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
		if (failed.length > 0) return { status: 409, body: { failed, epoch: this.revision } };
		if (then.length > 0) this.revision = nextUint64(this.revision);
		for (const op of then) {
			if (op.put !== undefined) {
				this.rows.set(op.put, {
					v: op.v,
					stamp: this.revision,
					...(op.permit === undefined ? {} : { permit: op.permit }),
				});
				this.changes.push({ key: op.put, v: op.v, stamp: this.revision, dropped: false });
			} else if (op.drop !== undefined) this.removeRow(op.drop);
		}
		return { status: 200, body: { epoch: this.revision } };
	}

	private watch(url: URL, from: string): Promise<HttpResponse> {
		const prefix = url.searchParams.get("prefix") ?? "";
		const after = BigInt(url.searchParams.get("from") ?? 0);
		const until = this.time.now() + Number(url.searchParams.get("block_ms") ?? 0);
		return new Promise((resolve) => {
			const check = () => {
				// A pending watch gets no response while requests of its controller are refused.
				const available = !this.outage && !this.unavailableTo.has(from);
				const events = this.changes.filter((c) => c.stamp > after && c.key.startsWith(prefix));
				if (available && (events.length > 0 || this.time.now() >= until)) {
					const wireEvents = events.map((c) =>
						c.dropped ? { drop: c.key, stamp: c.stamp } : { put: c.key, v: c.v, stamp: c.stamp },
					);
					resolve({ status: 200, body: { epoch: this.revision, events: wireEvents } });
				} else this.time.after(10, check);
			};
			check();
		});
	}
}
