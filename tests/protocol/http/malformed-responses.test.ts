import assert from "node:assert/strict";
import { test } from "node:test";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { MalformedMessageError } from "../../../src/protocol/errors.js";
import {
	createdMachinesFrom,
	machineListFrom,
	machineTypesFrom,
} from "../../../src/protocol/http/cloud-api.js";
import {
	eventsFrom,
	leaseIdFrom,
	revisionFrom,
	rowFrom,
	rowsFrom,
} from "../../../src/protocol/http/store-api.js";
import { parseResponse } from "../../../src/transport/clients/http-response.js";

test("answers of cloud and state service of another form are refused whole, and count as no answer", () => {
	const refused: [(raw: unknown) => unknown, unknown[]][] = [
		[machineTypesFrom, [null, {}, { shapes: [{ sku: "g8" }] }, { shapes: [{ sku: "g8", cores: 0 }] }]],
		[createdMachinesFrom, [null, {}, { hosts: "n-000001" }, { hosts: [7] }]],
		[
			machineListFrom,
			[{}, { hosts: [{ shape: "g8", hall: "a" }] }, { hosts: [{ id: "", shape: "g8", hall: "a" }] }],
		],
		[revisionFrom, [null, {}, { epoch: "7" }, { epoch: -1 }, { epoch: 1.5 }]],
		[leaseIdFrom, [{}, { permit: null }]],
		[rowFrom, [{}, { key: "a", v: 1 }]],
		[rowsFrom, [{ rows: [] }, { rows: [{ key: "a" }], epoch: 1 }]],
		[eventsFrom, [{ epoch: 1 }, { epoch: 1, events: [{ stamp: 1 }] }]],
	];
	for (const [parse, bodies] of refused) {
		for (const body of bodies) {
			assert.throws(() => parse(body), MalformedMessageError, `${parse.name} ${JSON.stringify(body)}`);
			assert.throws(
				() => parseResponse({ status: 200, body }, "call", parse),
				(error) => error instanceof CallError && error.outcome === "unknown",
			);
		}
	}
	assert.deepEqual(eventsFrom({ epoch: 3, later: 1, events: [{ drop: "a", stamp: 2 }] }).events, [
		{ key: "a", value: undefined, revision: 2 },
	]);
});
