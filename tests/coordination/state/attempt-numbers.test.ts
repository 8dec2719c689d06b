import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptNumbers, attemptsPerTerm } from "../../../src/coordination/state/attempt-numbers.js";

test("attempt numbers increase by one within their term's range, which ends below the next term's range", () => {
	const numbers = new AttemptNumbers(3);
	let last = 3 * attemptsPerTerm;
	while (!numbers.exhausted) {
		const number = numbers.next();
		assert.equal(number, last + 1);
		last = number;
	}
	assert.equal(last, 4 * attemptsPerTerm - 1);
	assert.ok(last < new AttemptNumbers(4).next());
});
