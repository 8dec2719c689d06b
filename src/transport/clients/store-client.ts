/** Client of the key-value store, which stays below this controller's share of the store's limits. */

import { CallError } from "../../coordination/ports/call-error.js";
import { type Clock, delay } from "../../coordination/ports/clock.js";
import type {
	CompareAndSwapResult,
	KeyValueStore,
	StorePage,
	WritePriority,
} from "../../coordination/ports/store.js";
import { paths } from "../../protocol/http/paths.js";
import {
	compareAndSwapBody,
	grantLeaseBody,
	leasePath,
	parseConflicts,
	parseEvents,
	parseLeaseId,
	parseRevision,
	parseRow,
	parseRows,
	renewLeaseBody,
	renewLeasePath,
	rowPath,
	rowsPath,
	type StoreChange,
	type StoreCondition,
	type StoreEvent,
	type StoreRow,
	watchPath,
} from "../../protocol/http/store-api.js";
import type { LeaseId, Revision } from "../../protocol/model/identifiers.js";
import type { HttpCaller } from "./http-client.js";
import { expectStatus, type HttpResponse, parseResponse } from "./http-response.js";
import { TokenBucket } from "./token-bucket.js";

const callTimeoutMs = 1500;
/** Reading many rows takes the store longer than other calls. */
const rowsTimeoutMs = 4000;
const renewalTimeoutMs = 1000;
/** Time that a watch may take beyond its requested wait. */
const watchGraceMs = 3000;

/** Rows per page in reads of a prefix. */
const pageSize = 200;

/** Maximum waiting times of calls for their share of a rate limit. */
const maxRequestWaitMs = 300;
const maxPageWaitMs = 1000;
const maxWriteWaitMs = 200;

/** The fraction of the store's limit on changes that one controller uses. */
const writeRateFraction = 0.6;
/**
 * The reserve that background writes leave to other writes, as a fraction of that rate, and the reserve that normal
 * writes leave, as a number of changes.
 */
const backgroundReserveFraction = 0.5;
const normalReserve = 1;

/**
 * The number of retries after 429 responses to a write for which a user waits, and the delay per retry, which grows
 * by this step each time.
 */
const maxRateRetries = 4;
const rateRetryMs = 100;
/** Spreads the retries of simultaneous writes. */
const retryJitterSteps = 7;
const retryJitterMs = 20;

/** Dependencies and limits of a store client. */
export interface StoreClientOptions {
	http: HttpCaller;
	clock: Clock;
	/** The store's limit on requests per second, which all controllers share. */
	requestsPerS: number;
	/** The store's limit on changes per second, which all controllers share. */
	writesPerS: number;
	/** Number of controllers that share the limits. */
	controllers: number;
}

/**
 * Returns the fraction of the store's limit on requests that one controller uses. It is somewhat more than an equal
 * share, because one controller may be busier than the others. The store rejects requests beyond the common limit
 * with 429, and they are retried.
 */
function requestRateFraction(controllers: number): number {
	return controllers > 1 ? 1.4 / controllers : 0.9;
}

/**
 * The key-value store over HTTP. Its rates are this controller's shares of limits that apply to all controllers
 * together.
 */
export class StoreClient implements KeyValueStore {
	private readonly http: HttpCaller;
	private readonly clock: Clock;
	private readonly requestTokens: TokenBucket;
	/**
	 * Tokens for changes. Any controller may receive a burst of users' writes, which may use the whole rate. A
	 * leader's other writes leave a reserve, and wait while users' writes use up the tokens.
	 */
	private readonly writeTokens: TokenBucket;
	private readonly backgroundReserve: number;
	private rateRetries = 0;

	constructor({ http, clock, requestsPerS, writesPerS, controllers }: StoreClientOptions) {
		this.http = http;
		this.clock = clock;
		const requestRate = requestsPerS * requestRateFraction(controllers);
		this.requestTokens = new TokenBucket(requestRate, requestRate, clock);
		const writeRate = writesPerS * writeRateFraction;
		this.writeTokens = new TokenBucket(writeRate, writeRate, clock);
		this.backgroundReserve = writeRate * backgroundReserveFraction;
	}

	async read(key: string): Promise<{ row: StoreRow | null }> {
		await this.acquireTokens(this.requestTokens, 1, 0, maxRequestWaitMs);
		const response = await this.http.call("GET", rowPath(key), undefined, callTimeoutMs);
		expectStatus(response, "read", 200, 404);
		if (response.status === 200) return { row: parseResponse(response, "read", parseRow) };
		// A 404 without a revision does not come from the store, and does not prove that the key is absent.
		parseResponse(response, "read", parseRevision);
		return { row: null };
	}

	async readPrefix(prefix: string): Promise<{ rows: StoreRow[]; revision: Revision }> {
		const allRows: StoreRow[] = [];
		let firstRevision: Revision | null = null;
		for await (const { rows, revision } of this.readPages(prefix)) {
			// Later pages may contain later changes. A watch from the revision of the first page repeats those.
			firstRevision ??= revision;
			allRows.push(...rows);
		}
		return { rows: allRows, revision: firstRevision ?? 0 };
	}

	async *readPages(prefix: string): AsyncGenerator<StorePage> {
		let afterKey: string | null = null;
		for (;;) {
			await this.acquireTokens(this.requestTokens, 1, 0, maxPageWaitMs);
			const path = rowsPath(prefix, afterKey, pageSize);
			const response = await this.http.call("GET", path, undefined, rowsTimeoutMs);
			expectStatus(response, "rows", 200);
			const { rows, hasMore, revision } = parseResponse(response, "rows", parseRows);
			yield { rows, revision };
			const last = rows.at(-1);
			if (!hasMore || !last) return;
			afterKey = last.key;
		}
	}

	async compareAndSwap(
		conditions: StoreCondition[],
		changes: StoreChange[],
		priority: WritePriority,
	): Promise<CompareAndSwapResult> {
		await this.acquireWriteTokens(changes.length, priority);
		await this.acquireTokens(this.requestTokens, 1, 0, maxRequestWaitMs);
		const response = await this.transact(compareAndSwapBody(conditions, changes), priority);
		expectStatus(response, "transaction", 200, 409);
		return response.status === 200
			? { swapped: true, revision: parseResponse(response, "transaction", parseRevision) }
			: { swapped: false, ...parseResponse(response, "transaction", parseConflicts) };
	}

	async grantLease(ttlMs: number): Promise<LeaseId> {
		const response = await this.http.call("POST", paths.leases, grantLeaseBody(ttlMs), callTimeoutMs);
		expectStatus(response, "lease", 200, 201);
		return parseResponse(response, "lease", parseLeaseId);
	}

	async renewLease(lease: LeaseId): Promise<void> {
		const response = await this.http.call("POST", renewLeasePath(lease), renewLeaseBody, renewalTimeoutMs);
		expectStatus(response, "renewal", 200, 204);
	}

	async revokeLease(lease: LeaseId): Promise<void> {
		const response = await this.http.call("DELETE", leasePath(lease), undefined, callTimeoutMs);
		expectStatus(response, "end of lease", 200, 204, 404);
	}

	async watch(
		prefix: string,
		afterRevision: Revision,
		waitMs: number,
	): Promise<{ events: StoreEvent[]; revision: Revision }> {
		await this.acquireTokens(this.requestTokens, 1, 0, maxRequestWaitMs);
		const timeoutMs = waitMs + (waitMs === 0 ? callTimeoutMs : watchGraceMs);
		const response = await this.http.call(
			"GET",
			watchPath(prefix, afterRevision, waitMs),
			undefined,
			timeoutMs,
		);
		expectStatus(response, "watch", 200);
		return parseResponse(response, "watch", parseEvents);
	}

	/** Closes the connections. Pending calls reject. */
	close(): void {
		this.http.close();
	}

	/**
	 * Takes tokens and leaves the reserve, after a wait of at most `maxWaitMs` if necessary. Throws a CallError if
	 * the tokens are not available in time.
	 */
	private async acquireTokens(
		bucket: TokenBucket,
		count: number,
		reserve: number,
		maxWaitMs: number,
	): Promise<void> {
		if (bucket.tryTake(count, reserve)) return;
		const waitMs = bucket.waitMs(count, reserve);
		if (waitMs <= maxWaitMs) {
			await delay(this.clock, waitMs + 1);
			if (bucket.tryTake(count, reserve)) return;
		}
		throw new CallError("not executed", 429, "this controller's share of the store's rate is used up");
	}

	/**
	 * A write for which a user waits is sent at once and may overdraw the bucket; other writes wait until the
	 * bucket has recovered.
	 */
	private async acquireWriteTokens(changes: number, priority: WritePriority): Promise<void> {
		switch (priority) {
			case "user":
				return this.writeTokens.debit(changes);
			case "normal":
				return this.acquireTokens(this.writeTokens, changes, normalReserve, maxWriteWaitMs);
			case "background":
				return this.acquireTokens(this.writeTokens, changes, this.backgroundReserve, maxWriteWaitMs);
		}
	}

	/**
	 * Sends a transaction. If the store rejects it with 429, it was not executed. If a user waits for it, it is
	 * then retried a few times within about a second before the user gets an error.
	 */
	private async transact(body: object, priority: WritePriority): Promise<HttpResponse> {
		let response = await this.http.call("POST", paths.transaction, body, callTimeoutMs);
		for (let retry = 1; retry <= maxRateRetries; retry++) {
			if (response.status !== 429 || priority !== "user") break;
			const jitterMs = (this.rateRetries++ % retryJitterSteps) * retryJitterMs;
			await delay(this.clock, rateRetryMs * retry + jitterMs);
			response = await this.http.call("POST", paths.transaction, body, callTimeoutMs);
		}
		return response;
	}
}
