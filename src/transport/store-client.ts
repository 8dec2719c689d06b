import { CallFailed } from "../coordination/ports/call-error.js";
import type { TimePort } from "../coordination/ports/clock.js";
import type { RateClass, StorePort, TransactionResult } from "../coordination/ports/store.js";
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
import { expectStatus, type HttpCaller, parseResponse } from "./http-client.js";
import { TokenBucket } from "./token-bucket.js";

const callMs = 1500;
const watchSlackMs = 3000;
const leaderShare = 0.6;

/** The state service. Rates are a node's share of limits that all nodes draw on. */
export class StoreClient implements StorePort {
	private readonly requests: TokenBucket;
	private readonly writes: TokenBucket;
	private readonly writeReserve: number;
	private retries = 0;

	constructor(
		private readonly http: HttpCaller,
		private readonly time: TimePort,
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
		throw new CallFailed("refused", 429, "own share of the state service's rate is used up");
	}

	async read(key: string): Promise<{ row: StoreRow | null; epoch: number }> {
		await this.admit(this.requests, 1, 0, 300);
		const answer = await this.http.call("GET", `${paths.store}/${key}`, undefined, callMs);
		expectStatus(answer, "read", 200, 404);
		return answer.status === 200
			? { row: parseResponse(answer, "read", rowFrom), epoch: -1 }
			: { row: null, epoch: parseResponse(answer, "read", revisionFrom) };
	}

	async rows(prefix: string): Promise<{ rows: StoreRow[]; epoch: number }> {
		const all: StoreRow[] = [];
		let after: string | null = null;
		let first = -1;
		for (;;) {
			await this.admit(this.requests, 1, 0, 1000);
			const answer = await this.http.call("GET", rowsPath(prefix, after, 200), undefined, 4000);
			expectStatus(answer, "rows", 200);
			const { rows, more, epoch } = parseResponse(answer, "rows", rowsFrom);
			// Later pages may hold later changes; a watch from the first page's epoch repeats those.
			if (first < 0) first = epoch;
			all.push(...rows);
			const last = rows.at(-1);
			if (!more || !last) return { rows: all, epoch: first };
			after = last.key;
		}
	}

	async transact(
		conditions: StoreCondition[],
		changes: StoreChange[],
		rateClass: RateClass,
	): Promise<TransactionResult> {
		if (rateClass === "first") this.writes.debit(changes.length);
		else {
			const reserve = rateClass === "normal" ? 1 : this.writeReserve;
			await this.admit(this.writes, changes.length, reserve, 200);
		}
		await this.admit(this.requests, 1, 0, 300);
		const sent = compareAndSwapBody(conditions, changes);
		let answer = await this.http.call("POST", paths.transaction, sent, callMs);
		// Refused for its rate a transaction was not executed. What users wait for is tried again
		// a few times within a second, before they are told to come back.
		for (let tries = 1; answer.status === 429 && rateClass === "first" && tries <= 4; tries++) {
			await new Promise<void>((resolve) => this.time.after(100 * tries + (this.retries++ % 7) * 20, resolve));
			answer = await this.http.call("POST", paths.transaction, sent, callMs);
		}
		expectStatus(answer, "transaction", 200, 409);
		return answer.status === 200
			? { ok: true, epoch: parseResponse(answer, "transaction", revisionFrom) }
			: { ok: false, ...parseResponse(answer, "transaction", conflictsFrom) };
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

	async endLease(lease: number): Promise<void> {
		const answer = await this.http.call("DELETE", `${paths.leases}/${lease}`, undefined, callMs);
		expectStatus(answer, "end of lease", 200, 204, 404);
	}

	async watch(
		prefix: string,
		from: number,
		waitMs: number,
	): Promise<{ events: StoreEvent[]; epoch: number }> {
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
