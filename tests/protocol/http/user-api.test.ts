import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { isJobId, jobIdOf, jobResponseBody, parseJobSpec } from "../../../src/protocol/http/user-api.js";
import { type SubmissionField, submissionBody } from "../../support/request-bodies.js";

const parse = (fields: Partial<Record<SubmissionField, unknown>>) =>
	parseJobSpec(JSON.stringify(submissionBody(fields)));

describe("a submission", () => {
	test("is parsed with every field", () => {
		assert.deepStrictEqual(parse({}), {
			id: "j-000412",
			form: "array",
			jobClass: "train",
			team: "red",
			priority: "urgent",
			taskCount: 16,
			cpus: 8,
			gpus: 1,
			memoryGb: 64,
			machineTypes: ["g8"],
			zone: null,
			singleZone: true,
			spreadZones: false,
			allowSpot: true,
			image: "img-07",
			imageGb: 6.2,
			estimatedRunS: 240,
			checkpointIntervalS: 30,
			checkpointCostS: 4,
			deadlineS: 900,
		});
	});

	test("of a standing job is parsed as a service job", () => {
		const spec = parse({ form: "standing", guess_s: 0 });
		assert.equal(spec.form, "service");
		assert.equal(spec.estimatedRunS, 0);
	});

	test("may omit nullable fields, and may have unknown fields", () => {
		assert.equal(parse({}).team, "red");
		const body = JSON.stringify({ ...submissionBody({ hall: undefined }), extra: 1 });
		assert.equal(parseJobSpec(body).zone, null);
	});

	const faults: [SubmissionField, unknown, RegExp][] = [
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
	test("with an invalid field is rejected with the name of the field", () => {
		for (const [field, value, message] of faults) assert.throws(() => parse({ [field]: value }), message);
	});

	test("of a standing job is rejected if it estimates a run time", () => {
		assert.throws(() => parse({ form: "standing", guess_s: 5 }), /"guess_s" must be 0 for a standing job/);
	});

	test("that is not a JSON object is rejected", () => {
		assert.throws(() => parseJobSpec("[1]"), /not a JSON object/);
		assert.throws(() => parseJobSpec("{"), /not JSON/);
		assert.throws(() => parseJobSpec('{"id":"j-1","cores":1e999}'), /is missing|finite/);
	});
});

describe("the id of a job", () => {
	test("is found in a submission with other malformed fields, and is null if it is missing or invalid", () => {
		assert.equal(jobIdOf('{"id":"j-7","cores":-1}'), "j-7");
		for (const body of ["", "{", "null", "7", "[]", "{}", '{"id":7}', '{"id":"x-7"}']) {
			assert.equal(jobIdOf(body), null, body);
		}
	});

	test("is valid only in the form of a job id", () => {
		for (const id of ["j-0", "j-000412", "j-123456789012345678"]) assert.ok(isJobId(id), id);
		for (const id of ["", "j-", "j-1/0", "J-1", "j-1234567890123456789"]) assert.ok(!isJobId(id), id);
	});
});

describe("the response with the state of a job", () => {
	test("contains the numbers of done and running tasks only if they are given", () => {
		assert.deepStrictEqual(jobResponseBody("j-1", "pending"), { id: "j-1", status: "pending" });
		assert.deepStrictEqual(jobResponseBody("j-1", "running", { done: 3, running: 13 }), {
			id: "j-1",
			status: "running",
			done: 3,
			running: 13,
		});
	});
});
