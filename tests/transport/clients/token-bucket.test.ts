import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { TokenBucket } from "../../../src/transport/clients/token-bucket.js";

describe("a token bucket", () => {
	test("keeps a rate and a reserve", () => {
		let now = 0;
		const bucket = new TokenBucket(10, 5, { now: () => now });
		for (let i = 0; i < 3; i++) assert.ok(bucket.tryTake(1, 2));
		assert.equal(bucket.tryTake(1, 2), false);
		assert.ok(bucket.tryTake(2));
		assert.equal(bucket.tryTake(1), false);
		now = 100;
		assert.ok(bucket.tryTake(1));
	});

	test("tells how long a request has to wait, and never holds more than a burst", () => {
		let now = 0;
		const bucket = new TokenBucket(10, 5, { now: () => now });
		assert.equal(bucket.waitMs(5), 1, "there are enough");
		assert.equal(bucket.waitMs(6), 100);
		assert.equal(bucket.waitMs(5, 2), 200);
		now = 10_000;
		assert.equal(bucket.waitMs(6), 100);
	});

	test("goes into debt by one burst at most, which later requests wait for", () => {
		const bucket = new TokenBucket(10, 5, { now: () => 0 });
		bucket.debit(8);
		assert.equal(bucket.waitMs(1), 400);
		bucket.debit(100);
		assert.equal(bucket.waitMs(1), 600);
	});
});
