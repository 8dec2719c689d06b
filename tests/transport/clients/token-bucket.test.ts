import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenBucket } from "../../../src/transport/clients/token-bucket.js";

test("a token bucket keeps a rate and a reserve", () => {
	let now = 0;
	const bucket = new TokenBucket(10, 5, { now: () => now });
	for (let i = 0; i < 3; i++) assert.ok(bucket.take(1, 2));
	assert.equal(bucket.take(1, 2), false);
	assert.ok(bucket.take(2));
	assert.equal(bucket.take(1), false);
	now = 100;
	assert.ok(bucket.take(1));
});
