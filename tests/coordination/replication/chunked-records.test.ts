import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../../src/bookkeeping/store-replica.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { ChunkedRecords } from "../../../src/coordination/replication/chunked-records.js";
import { compareAndSwapBody } from "../../../src/protocol/http/store-api.js";
import { compareUint64 } from "../../../src/protocol/model/uint64.js";
import { keys } from "../../../src/protocol/records/keys.js";
import type { HttpResponse } from "../../../src/transport/clients/http-response.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { StateService } from "../../support/state-service.js";

/** Creates chunked records against the simulated store; `interfere` may delay or drop calls and responses. */
async function createChunkedRecords(
	interfere: (path: string, handle: () => Promise<HttpResponse>, time: FakeTime) => Promise<HttpResponse> = (
		_path,
		handle,
	) => handle(),
	maxChunkBytes = 1000,
) {
	const time = new FakeTime();
	const service = new StateService(time);
	await service.handle("POST", "/multi", compareAndSwapBody([], [{ put: "r/one/leader", value: {} }]), "me");
	const http = {
		call: (method: string, path: string, body: unknown) =>
			interfere(path, () => service.handle(method, path, body, "me"), time),
		close() {},
	};
	const confirmed: string[] = [];
	const rejectedKeys: string[] = [];
	const records = new ChunkedRecords<string>({
		prefix: "r/x/",
		leaderCondition: { key: "r/one/leader", revision: 1 },
		maxChunkBytes,
		maxChangesPerWrite: 4,
		store: new StoreClient({
			http,
			clock: time,
			requestsPerS: 1000,
			writesPerS: 1000,
			controllers: 1,
		}),
		post: (action) => action(),
		now: () => time.now(),
		onLeaderKeyLost: () => assert.fail("this term holds the leader key"),
		onConfirmed: (entries) => confirmed.push(...entries.keys()),
		onWriteFailed() {},
		onChunksRejected: (keys) => rejectedKeys.push(...keys),
		pace: { priority: "normal", minIntervalMs: 100, cleanupIntervalMs: 500 },
	});
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 50) {
			records.flush();
			await time.advance(50);
		}
	};
	const stored = () => [...service.rows].filter(([key]) => key.startsWith("r/x/")).map(([, row]) => row.v);
	return { records, confirmed, rejectedKeys, run, stored, service, time };
}

test("a write of chunked records that is applied late does not restore removed or older entries", async () => {
	let delayNextWrite = true;
	const { records, confirmed, run, stored } = await createChunkedRecords((path, handle, time) => {
		if (!delayNextWrite || path !== "/multi") return handle();
		delayNextWrite = false;
		time.after(5000, () => void handle());
		return new Promise((_, reject) =>
			time.after(1500, () => reject(new CallError("unknown", 0, "no answer in time"))),
		);
	});
	records.set("a", "1");
	await run(200);
	records.set("b", "2");
	await run(2500);
	assert.deepEqual(confirmed.sort(), ["a", "b"]);
	assert.deepEqual(stored(), [{ entries: { a: "1", b: "2" } }]);
	await run(5000);
	assert.deepEqual(stored(), [{ entries: { a: "1", b: "2" } }], "the first write arrived late");
	records.delete("a");
	records.delete("b");
	await run(2000);
	assert.deepEqual(stored(), []);
});

test("a write of chunked records whose response was lost is confirmed after its chunk is read back", async () => {
	let loseNextResponse = true;
	const { records, confirmed, run } = await createChunkedRecords(async (path, handle) => {
		const response = await handle();
		if (!loseNextResponse || path !== "/multi") return response;
		loseNextResponse = false;
		throw new CallError("unknown", 0, "no answer");
	});
	records.set("a", "1");
	await run(3000);
	assert.deepEqual(confirmed, ["a"]);
});

/** Stores a chunk larger than the limit, as a version with larger limits wrote it. Returns its row and entry names. */
async function storeLargeChunk(service: StateService, entryCount = 60) {
	const entries = Object.fromEntries(
		Array.from({ length: entryCount }, (_, i) => [`n-${i}`, "x".repeat(60)]),
	);
	await service.handle(
		"POST",
		"/multi",
		compareAndSwapBody([], [{ put: "r/x/0-1", value: { entries } }]),
		"me",
	);
	return { names: Object.keys(entries), row: service.rows.get("r/x/0-1") as { v: unknown; stamp: number } };
}

/** Returns the entries that a new leader would read; of two copies, the one in the chunk with the later revision. */
function readAllEntries(service: StateService): Map<string, string> {
	const rows = [...service.rows]
		.filter(([key]) => key.startsWith("r/x/"))
		.sort((a, b) => compareUint64(a[1].stamp, b[1].stamp));
	return new Map(
		rows.flatMap(([, row]) => Object.entries((row.v as { entries: Record<string, string> }).entries)),
	);
}

test("a chunk larger than the limit is split when it is next written; every read meanwhile finds all entries", async () => {
	const { records, run, service, time, rejectedKeys } = await createChunkedRecords(undefined, 800);
	const { names, row } = await storeLargeChunk(service);
	service.limits = { valueBytes: 1000, operations: 4 };
	records.load([["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }]]);
	await run(2000);
	assert.equal(service.rows.get("r/x/0-1"), row, "the chunk is unchanged until an entry in it changes");
	records.set("n-7", "new");
	records.delete("n-9");
	let readsOfNewValue = 0;
	for (let i = 0; i < 400; i++) {
		records.flush();
		await time.advance(10);
		const storedEntries = readAllEntries(service);
		for (const name of names)
			assert.ok(storedEntries.has(name) || name === "n-9", `${name} at ${time.now()}`);
		if (storedEntries.get("n-7") === "new") readsOfNewValue += 1;
		else
			assert.equal(readsOfNewValue, 0, "a read after one with the new value does not return the old value");
	}
	assert.ok(readsOfNewValue > 0);
	assert.ok(!service.rows.has("r/x/0-1"));
	assert.ok(!readAllEntries(service).has("n-9"));
	assert.deepEqual(rejectedKeys, []);
});

test("a leader that ends while a chunk is split leaves every latest entry for the next leader to read", async () => {
	const first = await createChunkedRecords(undefined, 800);
	const { names, row } = await storeLargeChunk(first.service);
	first.service.limits = { valueBytes: 1000, operations: 4 };
	first.records.load([
		["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }],
	]);
	for (const name of names) first.records.set(name, `new ${name}`);
	await first.run(50);
	const storedChunks = [...first.service.rows].filter(([key]) => key.startsWith("r/x/"));
	assert.ok(
		storedChunks.length > 1 && first.service.rows.has("r/x/0-1"),
		"the first leader ended during the split",
	);
	const second = await createChunkedRecords((path, _handle, _time) => Promise.reject(new Error(path)), 800);
	second.records.load(
		storedChunks.map(([key, r]) => [
			key,
			{ value: r.v as { entries: Record<string, string> }, revision: r.stamp },
		]),
	);
	for (const name of names) assert.ok(second.records.has(name));
	const replica = new StoreReplica();
	const olderChunk = { entries: { "j-1/0": "old" } };
	replica.reset(
		[
			{ key: `${keys.progress}9`, value: olderChunk, revision: 3 },
			{ key: `${keys.progress}1`, value: { entries: { "j-1/0": "newer" } }, revision: 7 },
		],
		9,
	);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}9`, value: undefined, revision: 11 }], 11);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}2`, value: { entries: { "j-1/0": "newer" } }, revision: 12 }], 12);
	replica.apply([{ key: `${keys.progress}1`, value: undefined, revision: 13 }], 13);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]], "another chunk has a copy of the entry");
});

test("chunks that the store rejects for their size are split; one that cannot be split is reported and blocks no other", async () => {
	const { records, confirmed, run, service, rejectedKeys } = await createChunkedRecords(undefined, 1000);
	service.limits = { valueBytes: 400, operations: 1 };
	for (let i = 0; i < 30; i++) records.set(`n-${i}`, "x".repeat(60));
	records.set("huge", "x".repeat(2000));
	await run(60_000);
	assert.equal(new Set(confirmed).size, 30);
	assert.ok(!confirmed.includes("huge"));
	const rejectionCount = rejectedKeys.length;
	assert.ok(rejectionCount > 0 && rejectionCount < 20, `rejected ${rejectionCount} times`);
	await run(10_000);
	assert.equal(rejectedKeys.length, rejectionCount, "the rejected chunk is not retried");
	records.set("n-3", "later");
	await run(2000);
	assert.ok(confirmed.filter((name) => name === "n-3").length > 1);
});
