import assert from "node:assert/strict";
import { test } from "node:test";
import { parseJobSpec } from "../../../src/protocol/http/user-api.js";
import { job } from "../../support/public-service.js";

test("a job's fields are checked one by one and the fault is named", () => {
	assert.equal(parseJobSpec(JSON.stringify(job)).team, "red");
	assert.equal(parseJobSpec(JSON.stringify({ ...job, hall: undefined, extra: 1 })).zone, null);
	const wrong: [string, unknown, RegExp][] = [
		["id", "x-1", /"id" must look like/],
		["id", undefined, /"id" is missing/],
		["pieces", 0, /"pieces" must be at least 1/],
		["pieces", 1.5, /"pieces" must be a whole number/],
		["pieces", 100_001, /"pieces" must be at most/],
		["cores", -1, /"cores" must be above 0/],
		["cores", "2", /"cores" must be a number/],
		["ram_gb", -0.5, /"ram_gb" must not be negative/],
		["urgency", "soon", /"urgency" must be/],
		["form", "ensemble", /"form" must be/],
		["shapes", [], /"shapes" must not be empty/],
		["loaners", null, /"loaners" must be true or false/],
		["loaners", 1, /"loaners" must be true or false/],
		["pieces", -4, /"pieces" must be at least 1/],
		["pieces", "16", /"pieces" must be a number/],
		["pieces", [16], /"pieces" must be a number/],
		["cores", "NaN", /"cores" must be a number/],
		["cores", null, /"cores" must be a number/],
		["guess_s", 0, /"guess_s" must be above 0/],
		["due_s", -1, /"due_s" must be above 0/],
		["bookmark_s", -1, /"bookmark_s" must not be negative/],
		["image_gb", {}, /"image_gb" must be a number/],
		["accelerators", true, /"accelerators" must be a number/],
		["shapes", "g8", /"shapes" must be a list or null/],
		["shapes", [8], /"shapes\.0" must be a string/],
		["hall", 3, /"hall" must be a string/],
		["hall", "", /"hall" must not be empty/],
		["desk", "", /"desk" must not be empty/],
		["lane", undefined, /"lane" is missing/],
		["bundle", null, /"bundle" must be a string/],
		["spread", "yes", /"spread" must be true or false/],
		["urgency", null, /"urgency" must be/],
	];
	for (const [field, value, expected] of wrong) {
		assert.throws(() => parseJobSpec(JSON.stringify({ ...job, [field]: value })), expected);
	}
	assert.throws(() => parseJobSpec("[1]"), /not a JSON object/);
	assert.throws(() => parseJobSpec("{"), /not JSON/);
	assert.throws(() => parseJobSpec('{"id":"j-1","cores":1e999}'), /is missing|finite/);
});
