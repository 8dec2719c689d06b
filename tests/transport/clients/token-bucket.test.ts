import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { TokenBucket } from "../../../src/transport/clients/token-bucket.js";

describe("a token bucket", () => {
	test("limits the rate and keeps a reserve", () => {
		let now = 0;
		const bucket = new TokenBucket(10, 5, { now: () => now });
		for (let i = 0; i < 3; i++) assert.ok(bucket.tryTake(1, 2));
		assert.equal(bucket.tryTake(1, 2), false);
		assert.ok(bucket.tryTake(2));
		assert.equal(bucket.tryTake(1), false);
		now = 100;
		assert.ok(bucket.tryTake(1));
	});

	test("returns the waiting time of a request, and never has more tokens than one burst", () => {
		let now = 0;
		const bucket = new TokenBucket(10, 5, { now: () => now });
		assert.equal(bucket.waitMs(5), 1, "there are enough");
		assert.equal(bucket.waitMs(6), 100);
		assert.equal(bucket.waitMs(5, 2), 200);
		now = 10_000;
		assert.equal(bucket.waitMs(6), 100);
	});

	test("allows a debt of at most one burst, which delays later requests", () => {
		const bucket = new TokenBucket(10, 5, { now: () => 0 });
		bucket.debit(8);
		assert.equal(bucket.waitMs(1), 400);
		bucket.debit(100);
		assert.equal(bucket.waitMs(1), 600);
	});
});
