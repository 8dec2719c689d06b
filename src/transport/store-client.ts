import { CallError } from "../coordination/ports/call-error.js";
import type { Clock } from "../coordination/ports/clock.js";
import type { CompareAndSwapResult, KeyValueStore, WritePriority } from "../coordination/ports/store.js";
import { paths } from "../protocol/http/paths.js";
import {
	compareAndSwapBody,
	conflictsFrom,
	eventsFrom,
	leaseIdFrom,
	revisionFrom,
	rowFrom,
	rowsFrom,
	rowsPath,
	type StoreChange,
	type StoreCondition,
	type StoreEvent,
	type StoreRow,
	watchPath,
} from "../protocol/http/store-api.js";
import type { Revision } from "../protocol/model/identifiers.js";
import { expectStatus, type HttpCaller, parseResponse } from "./http-client.js";
import { TokenBucket } from "./token-bucket.js";

const callMs = 1500;
const watchSlackMs = 3000;
const leaderShare = 0.6;

/** The state service. Rates are a node's share of limits that all nodes draw on. */
export class StoreClient implements KeyValueStore {
	private readonly requests: TokenBucket;
	private readonly writes: TokenBucket;
	private readonly writeReserve: number;
	private retries = 0;

	constructor(
		private readonly http: HttpCaller,
		private readonly time: Clock,
		rps: number,
		writeRps: number,
		nodes: number,
	) {
		const now = () => time.now();
		// One node may be busier than the others, so a share is somewhat more than an equal part;
		// what is over the common limit comes back as 429 and is tried again by the caller.
		const share = nodes > 1 ? 1.4 / nodes : 0.9;
		this.requests = new TokenBucket(rps * share, rps * share, now);
		// Users' writes may come at any node, all at once, and draw on the whole limit; what a
		// leader writes beside them keeps to a part of it and waits while they use it up.
		this.writes = new TokenBucket(writeRps * leaderShare, writeRps * leaderShare, now);
		this.writeReserve = writeRps * leaderShare * 0.5;
	}

	private async admit(bucket: TokenBucket, n: number, reserve: number, waitMs: number): Promise<void> {
		if (bucket.take(n, reserve)) return;
		const wait = bucket.waitMs(n, reserve);
		if (wait <= waitMs) {
			await new Promise<void>((resolve) => this.time.after(wait + 1, resolve));
			if (bucket.take(n, reserve)) return;
		}
		throw new CallError("not executed", 429, "own share of the state service's rate is used up");
	}

	async read(key: string): Promise<{ row: StoreRow | null }> {
		await this.admit(this.requests, 1, 0, 300);
		const answer = await this.http.call("GET", `${paths.store}/${key}`, undefined, callMs);
		expectStatus(answer, "read", 200, 404);
		if (answer.status === 200) return { row: parseResponse(answer, "read", rowFrom) };
		// A 404 without a revision does not come from the store and says nothing about the key.
		parseResponse(answer, "read", revisionFrom);
		return { row: null };
	}

	async readPrefix(prefix: string): Promise<{ rows: StoreRow[]; revision: Revision }> {
		const all: StoreRow[] = [];
		let after: string | null = null;
		let first = -1;
		for (;;) {
			await this.admit(this.requests, 1, 0, 1000);
			const answer = await this.http.call("GET", rowsPath(prefix, after, 200), undefined, 4000);
			expectStatus(answer, "rows", 200);
			const { rows, more, revision } = parseResponse(answer, "rows", rowsFrom);
			// Later pages may hold later changes; a watch from the first page's revision repeats those.
			if (first < 0) first = revision;
			all.push(...rows);
			const last = rows.at(-1);
			if (!more || !last) return { rows: all, revision: first };
			after = last.key;
		}
	}

	async compareAndSwap(
		conditions: StoreCondition[],
		changes: StoreChange[],
		priority: WritePriority,
	): Promise<CompareAndSwapResult> {
		if (priority === "user") this.writes.debit(changes.length);
		else {
			const reserve = priority === "normal" ? 1 : this.writeReserve;
			await this.admit(this.writes, changes.length, reserve, 200);
		}
		await this.admit(this.requests, 1, 0, 300);
		const sent = compareAndSwapBody(conditions, changes);
		let answer = await this.http.call("POST", paths.transaction, sent, callMs);
		// Refused for its rate a transaction was not executed. What users wait for is tried again
		// a few times within a second, before they are told to come back.
		for (let tries = 1; answer.status === 429 && priority === "user" && tries <= 4; tries++) {
			await new Promise<void>((resolve) => this.time.after(100 * tries + (this.retries++ % 7) * 20, resolve));
			answer = await this.http.call("POST", paths.transaction, sent, callMs);
		}
		expectStatus(answer, "transaction", 200, 409);
		return answer.status === 200
			? { swapped: true, revision: parseResponse(answer, "transaction", revisionFrom) }
			: { swapped: false, ...parseResponse(answer, "transaction", conflictsFrom) };
	}

	async grantLease(ttlMs: number): Promise<number> {
		const answer = await this.http.call("POST", paths.leases, { ttl_ms: ttlMs }, callMs);
		expectStatus(answer, "lease", 200, 201);
		return parseResponse(answer, "lease", leaseIdFrom);
	}

	async renewLease(lease: number): Promise<void> {
		const answer = await this.http.call("POST", `${paths.leases}/${lease}/renew`, {}, 1000);
		expectStatus(answer, "renewal", 200, 204);
	}

	async revokeLease(lease: number): Promise<void> {
		const answer = await this.http.call("DELETE", `${paths.leases}/${lease}`, undefined, callMs);
		expectStatus(answer, "end of lease", 200, 204, 404);
	}

	async watch(
		prefix: string,
		from: number,
		waitMs: number,
	): Promise<{ events: StoreEvent[]; revision: Revision }> {
		await this.admit(this.requests, 1, 0, 300);
		const answer = await this.http.call(
			"GET",
			watchPath(prefix, from, waitMs),
			undefined,
			waitMs + (waitMs === 0 ? callMs : watchSlackMs),
		);
		expectStatus(answer, "watch", 200);
		return parseResponse(answer, "watch", eventsFrom);
	}

	close(): void {
		this.http.close();
	}
}
