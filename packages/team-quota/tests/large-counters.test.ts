import assert from "node:assert/strict";
import { test } from "node:test";
import { parseReply } from "../src/holder-messages.js";

const reply = { incarnation: "inc", number: 1, confirmed: 1, batch: 0 };

// Guards against replies that were refused because their term is above 2^53 (review/3).
for (const term of [2 ** 31, 2 ** 53 - 1, 2n ** 53n, 2n ** 53n + 1n, 2n ** 64n - 1n]) {
	test(`a reply names the term ${term} exactly, in one form`, () => {
		assert.equal(parseReply({ ...reply, term })?.term, term);
		assert.equal(parseReply({ ...reply, term: BigInt(term) })?.term, term);
	});
}

test("a reply with a term that is negative, fractional, rounded or 2^64 is malformed", () => {
	for (const term of [-1, -1n, 1.5, 2 ** 53, 2n ** 64n, "1"])
		assert.equal(parseReply({ ...reply, term }), null);
});
