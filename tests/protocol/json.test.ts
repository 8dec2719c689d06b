import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MalformedMessageError } from "../../src/protocol/errors.js";
import { parseExactJson, parseJson, stringifyJson } from "../../src/protocol/json.js";
import { parseObject } from "../../src/protocol/schema-checks.js";
import { largeCounters } from "../support/large-counters.js";

describe("JSON", () => {
	for (const [name, value] of largeCounters) {
		test(`with the integer ${name} is parsed and written without rounding`, () => {
			const text = `{"a":${value},"b":[${value}, 1.5 ]}`;
			const parsed = { a: value, b: [value, 1.5] };
			for (const parse of [parseJson, parseExactJson]) assert.deepEqual(parse(text), parsed);
			assert.equal(stringifyJson(parsed), `{"a":${value},"b":[${value},1.5]}`);
		});
	}

	test("is the same as the standard library's for everything else", () => {
		for (const text of [
			'{"a":"18446744073709551615","b":"\\"x\\": 18446744073709551615,","c":0.30000000000000004}',
			'{"a":12345678901234567e3,"b":-0.5,"c":1e400,"d":null,"e":[true,false],"f":{},"f":{"g":1}}',
			'"18446744073709551615"',
		]) {
			assert.deepEqual(parseJson(text), JSON.parse(text));
			assert.deepEqual(parseExactJson(text), JSON.parse(text));
		}
		for (const value of [{ a: [1, "x", null, undefined], b: undefined }, 5, "x", []])
			assert.equal(stringifyJson(value), JSON.stringify(value));
	});

	test("that is malformed is an error, also where it is nested too deeply for the exact parser", () => {
		for (const text of ["", "{", "18446744073709551615x", '{"a":18446744073709551615'])
			assert.throws(() => parseJson(text));
		const deep = `{"a":${"[".repeat(30_000)}18446744073709551615${"]".repeat(30_000)}}`;
		assert.throws(() => parseObject(deep, parseExactJson), MalformedMessageError);
	});

	test("with a cycle is an error", () => {
		const cycle: Record<string, unknown> = {};
		cycle.self = cycle;
		assert.throws(() => stringifyJson(cycle));
	});
});
