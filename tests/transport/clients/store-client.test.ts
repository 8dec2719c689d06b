import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { WritePriority } from "../../../src/coordination/ports/store.js";
import type { HttpResponse } from "../../../src/transport/clients/http-response.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { scriptedHttp } from "../../support/scripted-http.js";

function storeWith(responses: HttpResponse[], rates = { requestsPerS: 1000, writesPerS: 1000 }) {
	const http = scriptedHttp(responses);
	const clock = new FakeTime();
	const store = new StoreClient({ http, clock, ...rates, controllers: 1 });
	const swap = (priority: WritePriority, changes = 1) =>
		store.compareAndSwap(
			[{ key: "a", revision: 0 }],
			Array.from({ length: changes }, () => ({ put: "a", value: 1 })),
			priority,
		);
	return { http, clock, store, swap };
}

const accepted: HttpResponse = { status: 200, body: { epoch: 432 } };
const rateExceeded: HttpResponse = { status: 429, body: {} };

describe("reading rows", () => {
	test("below a prefix requests all pages, and returns the revision of the first page", async () => {
		const row = (key: string) => ({ key, v: 1, stamp: 5 });
		const { http, store } = storeWith([
			{ status: 200, body: { rows: [row("c/1"), row("c/2")], truncated: true, epoch: 10 } },
			{ status: 200, body: { rows: [row("c/3")], truncated: false, epoch: 12 } },
		]);
		const { rows, revision } = await store.readPrefix("c/");
		assert.deepEqual(
			rows.map(({ key }) => key),
			["c/1", "c/2", "c/3"],
		);
		assert.equal(revision, 10);
		assert.deepEqual(
			http.requests.map(({ path }) => path),
			["/store?prefix=c/&limit=200", "/store?prefix=c/&from=c/2&limit=200"],
		);
	});

	test("of an absent key returns null only for a 404 response of the store itself", async () => {
		const { store } = storeWith([
			{ status: 404, body: { epoch: 7 } },
			{ status: 404, body: null },
		]);
		assert.deepEqual(await store.read("a"), { row: null });
		await assert.rejects(store.read("a"), { outcome: "unknown" });
	});
});

describe("a compare-and-swap", () => {
	test("resolves to the new revision, or to the conflicts", async () => {
		const { swap } = storeWith([accepted, { status: 409, body: { failed: ["a"], epoch: 433 } }]);
		assert.deepEqual(await swap("normal"), { swapped: true, revision: 432 });
		assert.deepEqual(await swap("normal"), { swapped: false, conflicts: ["a"], revision: 433 });
	});

	test("that is rejected with 429 is retried if a user waits for it", async () => {
		const { http, clock, swap } = storeWith([rateExceeded, rateExceeded, accepted]);
		const result = swap("user");
		await clock.advance(1000);
		assert.deepEqual(await result, { swapped: true, revision: 432 });
		assert.equal(http.requests.length, 3);
	});

	test("that is rejected with 429 at every retry is not executed", async () => {
		const { http, clock, swap } = storeWith(Array.from({ length: 5 }, () => rateExceeded));
		const failed = assert.rejects(swap("user"), { outcome: "not executed", status: 429 });
		await clock.advance(2000);
		await failed;
		assert.equal(http.requests.length, 5);
	});

	test("that is rejected with 429 is not retried if no user waits for it", async () => {
		const { http, swap } = storeWith([rateExceeded]);
		await assert.rejects(swap("normal"), { outcome: "not executed", status: 429 });
		assert.equal(http.requests.length, 1);
	});

	test("of a user is sent at once, and others are rejected until the tokens are refilled", async () => {
		const rates = { requestsPerS: 1000, writesPerS: 20 };
		const { http, clock, swap } = storeWith([accepted, accepted, accepted], rates);
		await swap("user", 12);
		await swap("user", 12);
		await assert.rejects(swap("normal"), { outcome: "not executed", status: 429 });
		await assert.rejects(swap("background"), { outcome: "not executed", status: 429 });
		assert.equal(http.requests.length, 2, "the others were not sent");
		await clock.advance(1100);
		const third = swap("normal");
		await clock.advance(100);
		assert.deepEqual(await third, { swapped: true, revision: 432 });
	});

	test("in the background leaves half of the rate to other writes", async () => {
		const rates = { requestsPerS: 1000, writesPerS: 20 };
		const { swap } = storeWith([accepted, accepted], rates);
		await swap("background", 6);
		await assert.rejects(swap("background", 4), { outcome: "not executed" });
		assert.deepEqual(await swap("normal", 4), { swapped: true, revision: 432 });
	});
});
