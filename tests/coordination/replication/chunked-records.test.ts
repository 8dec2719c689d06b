import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../../src/bookkeeping/store-replica.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { ChunkedRecords } from "../../../src/coordination/replication/chunked-records.js";
import { compareAndSwapBody } from "../../../src/protocol/http/store-api.js";
import { keys } from "../../../src/protocol/records/keys.js";
import type { HttpResponse } from "../../../src/transport/clients/http-response.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { StateService } from "../../support/state-service.js";

/** Shared records against the stand-in store; `call` may interfere with what reaches it. */
async function sharedRecords(
	interfere: (path: string, handle: () => Promise<HttpResponse>, time: FakeTime) => Promise<HttpResponse> = (
		_path,
		handle,
	) => handle(),
	mostBytes = 1000,
) {
	const time = new FakeTime();
	const service = new StateService(time);
	await service.handle("POST", "/multi", compareAndSwapBody([], [{ put: "r/one/leader", value: {} }]), "me");
	const caller = {
		call: (method: string, path: string, body: unknown) =>
			interfere(path, () => service.handle(method, path, body, "me"), time),
		close() {},
	};
	const confirmed: string[] = [];
	const tooLarge: string[] = [];
	const records = new ChunkedRecords<string>({
		prefix: "r/x/",
		leaderCondition: { key: "r/one/leader", revision: 1 },
		maxChunkBytes: mostBytes,
		maxChangesPerWrite: 4,
		store: new StoreClient({
			http: caller,
			clock: time,
			requestsPerS: 1000,
			writesPerS: 1000,
			controllers: 1,
		}),
		post: (command) => command(),
		now: () => time.now(),
		onLeaderKeyLost: () => assert.fail("the key is ours"),
		onConfirmed: (entries) => confirmed.push(...entries.keys()),
		onWriteFailed() {},
		onChunksRejected: (keys) => tooLarge.push(...keys),
		pace: { priority: "normal", minIntervalMs: 100, cleanupIntervalMs: 500 },
	});
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 50) {
			records.flush();
			await time.advance(50);
		}
	};
	const stored = () => [...service.rows].filter(([key]) => key.startsWith("r/x/")).map(([, row]) => row.v);
	return { records, confirmed, tooLarge, run, stored, service, time };
}

test("a write of shared records that is applied late brings nothing back", async () => {
	let late = true;
	const { records, confirmed, run, stored } = await sharedRecords((path, handle, time) => {
		if (!late || path !== "/multi") return handle();
		late = false;
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
	assert.deepEqual(stored(), [{ entries: { a: "1", b: "2" } }], "the first write came late");
	records.delete("a");
	records.delete("b");
	await run(2000);
	assert.deepEqual(stored(), []);
});

test("a write of shared records whose answer was lost is found out by reading it back", async () => {
	let lose = true;
	const { records, confirmed, run } = await sharedRecords(async (path, handle) => {
		const answer = await handle();
		if (!lose || path !== "/multi") return answer;
		lose = false;
		throw new CallError("unknown", 0, "no answer");
	});
	records.set("a", "1");
	await run(3000);
	assert.deepEqual(confirmed, ["a"]);
});

/** A value as a version without smaller limits wrote it, and what it holds. */
async function withLargeValue(service: StateService, n = 60) {
	const entries = Object.fromEntries(Array.from({ length: n }, (_, i) => [`n-${i}`, "x".repeat(60)]));
	await service.handle(
		"POST",
		"/multi",
		compareAndSwapBody([], [{ put: "r/x/0-1", value: { entries } }]),
		"me",
	);
	return { names: Object.keys(entries), row: service.rows.get("r/x/0-1") as { v: unknown; stamp: number } };
}

/** What a takeover would read at this moment, the later of two values telling. */
function readAll(service: StateService): Map<string, string> {
	const rows = [...service.rows]
		.filter(([key]) => key.startsWith("r/x/"))
		.sort((a, b) => a[1].stamp - b[1].stamp);
	return new Map(
		rows.flatMap(([, row]) => Object.entries((row.v as { entries: Record<string, string> }).entries)),
	);
}

test("a value larger than values may be now is split when it is next written; no reader finds less at any moment", async () => {
	const { records, run, service, time, tooLarge } = await sharedRecords(undefined, 800);
	const { names, row } = await withLargeValue(service);
	service.limits = { valueBytes: 1000, changes: 4 };
	records.load([["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }]]);
	await run(2000);
	assert.equal(service.rows.get("r/x/0-1"), row, "left as it is until something in it changes");
	records.set("n-7", "new");
	records.delete("n-9");
	let seen = 0;
	for (let i = 0; i < 400; i++) {
		records.flush();
		await time.advance(10);
		const all = readAll(service);
		for (const name of names) assert.ok(all.has(name) || name === "n-9", `${name} at ${time.now()}`);
		if (all.get("n-7") === "new") seen += 1;
		else assert.equal(seen, 0, "what was written once is not read older again");
	}
	assert.ok(seen > 0);
	assert.ok(!service.rows.has("r/x/0-1"));
	assert.ok(!readAll(service).has("n-9"));
	assert.deepEqual(tooLarge, []);
});

test("a leader that ends while a value is split leaves nothing that the next one reads wrongly", async () => {
	const first = await sharedRecords(undefined, 800);
	const { names, row } = await withLargeValue(first.service);
	first.service.limits = { valueBytes: 1000, changes: 4 };
	first.records.load([
		["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }],
	]);
	for (const name of names) first.records.set(name, `new ${name}`);
	await first.run(50);
	const left = [...first.service.rows].filter(([key]) => key.startsWith("r/x/"));
	assert.ok(left.length > 1 && first.service.rows.has("r/x/0-1"), "it ended in between");
	const second = await sharedRecords((path, _handle, _time) => Promise.reject(new Error(path)), 800);
	second.records.load(
		left.map(([key, r]) => [key, { value: r.v as { entries: Record<string, string> }, revision: r.stamp }]),
	);
	for (const name of names) assert.ok(second.records.has(name));
	const replica = new StoreReplica();
	const pages = { entries: { "j-1/0": "old" } };
	replica.reset(
		[
			{ key: `${keys.progress}9`, value: pages, revision: 3 },
			{ key: `${keys.progress}1`, value: { entries: { "j-1/0": "newer" } }, revision: 7 },
		],
		9,
	);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}9`, value: undefined, revision: 11 }], 11);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}2`, value: { entries: { "j-1/0": "newer" } }, revision: 12 }], 12);
	replica.apply([{ key: `${keys.progress}1`, value: undefined, revision: 13 }], 13);
	assert.deepEqual([...replica.donePagesOf("j-1")], [[0, "newer"]], "a copy of it is still there");
});

test("values that the store refuses for their size are made smaller; one that can't be is named and holds up nothing", async () => {
	const { records, confirmed, run, service, tooLarge } = await sharedRecords(undefined, 1000);
	service.limits = { valueBytes: 400, changes: 1 };
	for (let i = 0; i < 30; i++) records.set(`n-${i}`, "x".repeat(60));
	records.set("huge", "x".repeat(2000));
	await run(60_000);
	assert.equal(new Set(confirmed).size, 30);
	assert.ok(!confirmed.includes("huge"));
	const tried = tooLarge.length;
	assert.ok(tried > 0 && tried < 20, `refused ${tried} times`);
	await run(10_000);
	assert.equal(tooLarge.length, tried, "and not tried again");
	records.set("n-3", "later");
	await run(2000);
	assert.ok(confirmed.filter((name) => name === "n-3").length > 1);
});
