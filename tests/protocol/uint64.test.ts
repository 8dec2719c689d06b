import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	compareUint64,
	maxUint64,
	minUint64,
	nextUint64,
	toUint64,
	toUint64OrRounded,
	uint64Of,
} from "../../src/protocol/model/uint64.js";
import { largeCounters } from "../support/large-counters.js";

describe("an integer below 2^64", () => {
	for (const [name, value] of largeCounters) {
		test(`${name} has one form, in which it is compared, ordered and a key of maps`, () => {
			const exact = BigInt(value);
			assert.equal(uint64Of(exact), value);
			assert.equal(toUint64(value), value);
			assert.equal(toUint64(exact), value, "a decoder may return a bigint for any value");
			const previous = uint64Of(exact - 1n);
			assert.ok(previous < value && value > previous && previous !== value);
			assert.equal(nextUint64(previous), value);
			assert.equal(BigInt(nextUint64(value)), exact + 1n);
			assert.deepEqual([value, previous].sort(compareUint64), [previous, value]);
			assert.deepEqual([maxUint64(previous, value), minUint64(value, previous)], [value, previous]);
			assert.equal(compareUint64(value, uint64Of(exact)), 0);
			assert.equal(new Map([[uint64Of(exact), "found"]]).get(value), "found");
		});
	}

	test("is none of a negative, fractional, rounded or larger number, or of another type", () => {
		for (const value of [-1, -1n, 1.5, 2 ** 53, 2n ** 64n, Number.NaN, Number.POSITIVE_INFINITY, "1", null])
			assert.equal(toUint64(value), null, String(value));
	});

	test("is taken from a rounded number only where leaders up to 0.8.0 sent such numbers", () => {
		assert.equal(toUint64OrRounded(2 ** 53), 2n ** 53n);
		assert.equal(toUint64OrRounded(2 ** 54 + 4), 2n ** 54n + 4n);
		for (const value of [2 ** 64, 1.5, -1, Number.NaN, Number.POSITIVE_INFINITY, "1"])
			assert.equal(toUint64OrRounded(value), null, String(value));
	});
});
