import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { MalformedMessageError } from "../../../src/protocol/errors.js";
import {
	parseCreatedMachines,
	parseMachineList,
	parseMachineTypes,
} from "../../../src/protocol/http/cloud-api.js";
import {
	parseConflicts,
	parseEvents,
	parseLeaseId,
	parseRevision,
	parseRow,
	parseRows,
} from "../../../src/protocol/http/store-api.js";
import { parseDirectCommandsResponse } from "../../../src/protocol/http/worker-api.js";
import { parseResponse } from "../../../src/transport/clients/http-response.js";

interface MalformedBodies {
	parse(raw: unknown): unknown;
	bodies: unknown[];
}

const malformed: MalformedBodies[] = [
	{
		parse: parseMachineTypes,
		bodies: [null, {}, { shapes: [{ sku: "g8" }] }, { shapes: [{ sku: "g8", cores: 0 }] }],
	},
	{ parse: parseCreatedMachines, bodies: [null, {}, { hosts: "n-000001" }, { hosts: [7] }] },
	{
		parse: parseMachineList,
		bodies: [{}, { hosts: [{ shape: "g8", hall: "a" }] }, { hosts: [{ id: "", shape: "g8", hall: "a" }] }],
	},
	{ parse: parseRevision, bodies: [null, {}, { epoch: "7" }, { epoch: -1 }, { epoch: 1.5 }] },
	{ parse: parseConflicts, bodies: [null, {}, { epoch: 7 }, { failed: "a/b", epoch: 7 }] },
	{ parse: parseLeaseId, bodies: [{}, { permit: null }] },
	{ parse: parseRow, bodies: [{}, { key: "a", v: 1 }] },
	{ parse: parseRows, bodies: [{ rows: [] }, { rows: [{ key: "a" }], epoch: 1 }] },
	{ parse: parseEvents, bodies: [{ epoch: 1 }, { epoch: 1, events: [{ stamp: 1 }] }] },
	{ parse: parseDirectCommandsResponse, bodies: [null, {}, "executed", { pieces: [] }] },
];

describe("a response of an external system without the published form", () => {
	for (const { parse, bodies } of malformed) {
		test(`is rejected completely by ${parse.name}`, () => {
			for (const body of bodies) {
				assert.throws(() => parse(body), MalformedMessageError, JSON.stringify(body));
			}
		});

		test(`results in an unknown outcome of the call whose response ${parse.name} parses`, () => {
			for (const body of bodies) {
				assert.throws(
					() => parseResponse({ status: 200, body }, "call", parse),
					(error) =>
						error instanceof CallError &&
						error.outcome === "unknown" &&
						error.cause instanceof MalformedMessageError,
				);
			}
		});
	}

	test("does not include a response with additional fields", () => {
		assert.deepEqual(parseEvents({ epoch: 3, later: 1, events: [{ drop: "a", stamp: 2 }] }).events, [
			{ key: "a", value: undefined, revision: 2 },
		]);
	});
});
