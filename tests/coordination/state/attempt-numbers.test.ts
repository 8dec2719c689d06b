import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
	AttemptNumbers,
	attemptsPerTerm,
	needsReservedRange,
} from "../../../src/coordination/state/attempt-numbers.js";
import type { Term } from "../../../src/protocol/model/identifiers.js";
import { uint64Of } from "../../../src/protocol/model/uint64.js";
import { largeCounters } from "../../support/large-counters.js";

const lastCount = attemptsPerTerm - 1;

/** Returns the number of an attempt of a leader of 0.4.0 to 0.8.0, which calculated with numbers and so rounded it. */
function attemptOfEarlierVersion(term: Term, count: number): bigint {
	return BigInt(Number(term) * attemptsPerTerm + count);
}

/** Returns the first and the last number of the term's range. */
function rangeOf(numbers: AttemptNumbers): [bigint, bigint] {
	const first = BigInt(numbers.next());
	return [first, first + BigInt(lastCount) - 1n];
}

test("attempt numbers increase by one within their term's range, which ends below the next term's range", () => {
	const numbers = new AttemptNumbers(3);
	let last = 3 * attemptsPerTerm;
	while (!numbers.exhausted) {
		const number = numbers.next();
		assert.equal(number, last + 1);
		last = number as number;
	}
	assert.equal(last, 4 * attemptsPerTerm - 1);
	assert.ok(last < new AttemptNumbers(4).next());
});

// Guards against attempts of different tasks with one number, and numbers above 2^64 (review/3).
describe("attempt numbers of large terms", () => {
	for (const [name, term] of largeCounters) {
		test(`are exact, unique and below 2^64 in term ${name}`, () => {
			const numbers = new AttemptNumbers(term);
			if (needsReservedRange(term)) {
				assert.equal(numbers.available, false, "the range must be reserved first");
				numbers.useReservedRange(0);
			}
			const seen = new Set<number | bigint>();
			for (let i = 0; i < 1000; i++) seen.add(numbers.next());
			assert.equal(seen.size, 1000);
			assert.ok([...seen].every((number) => number < 2n ** 64n));
		});
	}

	test("are larger than those of all earlier terms, also across the change to reserved ranges", () => {
		const terms: bigint[] = [1n, 2n, 2n ** 31n - 1n, 2n ** 31n, 2n ** 31n + 1n, 2n ** 40n, 2n ** 41n - 1n];
		const ranges = terms.map((term) => rangeOf(new AttemptNumbers(uint64Of(term))));
		for (const index of [0, 1, 2, 2 ** 41 - 1]) {
			const numbers = new AttemptNumbers(2 ** 41 + index);
			numbers.useReservedRange(index);
			ranges.push(rangeOf(numbers));
		}
		for (const [i, [first]] of ranges.entries())
			if (i > 0) assert.ok(first > (ranges[i - 1]?.[1] ?? 0n), `range ${i}`);
		assert.ok((ranges.at(-1)?.[1] ?? 0n) < 2n ** 64n);
	});

	test("are in the order of terms while leaders of 0.4.0 to 0.8.0 lead in between, up to term 2^41", () => {
		for (let seed = 1; seed <= 50; seed++) {
			const random = xoroshiro128plus(seed);
			let term = 2n ** BigInt(uniformInt(random, 1, 40));
			let largest = 0n;
			for (let election = 0; election < 40 && term < 2n ** 41n; election++) {
				const earlierVersion = uniformInt(random, 0, 1) === 0;
				const [first, last] = earlierVersion
					? [1, lastCount].map((count) => attemptOfEarlierVersion(uint64Of(term), count))
					: rangeOf(new AttemptNumbers(uint64Of(term)));
				assert.ok((first ?? 0n) >= largest, `seed ${seed}, term ${term}`);
				// A leader of an earlier version may round up its last number to the end of its range.
				if (!earlierVersion) assert.ok((first ?? 0n) > largest, `seed ${seed}, term ${term}`);
				largest = last ?? 0n;
				term += BigInt(uniformInt(random, 1, 3));
			}
		}
	});
});
