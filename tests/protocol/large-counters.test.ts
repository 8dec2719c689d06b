import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { entryBytes } from "../../src/coordination/replication/record-chunk.js";
import {
	compareAndSwapBody,
	leasePath,
	parseConflicts,
	parseEvents,
	parseLeaseId,
	parseRevision,
	parseRow,
	parseRows,
	renewLeasePath,
	watchPath,
} from "../../src/protocol/http/store-api.js";
import {
	directCommandsBody,
	heartbeatResponseBody,
	parseDirectCommandsResponse,
	parseHeartbeat,
} from "../../src/protocol/http/worker-api.js";
import { parseJson, stringifyJson } from "../../src/protocol/json.js";
import { fencingTokenOf, revisionOf, termOf } from "../../src/protocol/model/identifiers.js";
import type { Uint64 } from "../../src/protocol/model/uint64.js";
import { decodePeerMessage, encodePeerMessage } from "../../src/protocol/peer/codec.js";
import type { PeerMessage } from "../../src/protocol/peer/messages.js";
import { decodeMachineRecord, encodeMachineRecord } from "../../src/protocol/records/machine-record.js";
import { decodeStoredRecord } from "../../src/protocol/records/stored-record.js";
import { encodeFrame, FrameReader } from "../../src/transport/peers/frame.js";
import { forwardedHeartbeat } from "../support/forwarded-heartbeat.js";
import { largeCounters } from "../support/large-counters.js";

/** A heartbeat all of whose counters have the value. */
function heartbeatText(value: Uint64): string {
	return `{"host":"n-1","endpoint":"10.1.0.1:9000","shape":"g8","hall":"a","loaners":true,"shift":${value},
		"tick":${value},"baton":${value},"recall_s":null,
		"pieces":[{"piece":"j-1/0","try":${value},"status":"running"}]}`;
}

const command = (attempt: Uint64) => ({ kind: "start", jobId: "j-1", taskIndex: 0, attempt }) as const;

/** One message of each kind that contains a term, a revision, an agent epoch, a sequence number or an attempt. */
function messagesWith(value: Uint64): PeerMessage[] {
	const task = { ...forwardedHeartbeat.tasks[0], attempt: value } as (typeof forwardedHeartbeat.tasks)[0];
	const heartbeat = {
		...forwardedHeartbeat,
		agentEpoch: value,
		sequence: value,
		fencingToken: value,
		tasks: [task],
	};
	const request = { term: value, cycle: 1 };
	return [
		{ kind: "placement-request", ...request, startIndex: 0, machines: [], grants: [] },
		{ kind: "placement-proposal", ...request, placements: [], unknownJobs: [] },
		{
			kind: "leader-heartbeat",
			term: value,
			runningTasks: [],
			storeReachable: true,
			workersReachable: true,
			forwardHeartbeats: false,
		},
		{ kind: "leader-heartbeat-reply", term: value, misdirectedWorkers: 0 },
		{ kind: "forwarded-heartbeats", term: value, heartbeats: [{ requestId: 1, heartbeat }] },
		{
			kind: "forwarded-responses",
			term: value,
			responses: [
				{ requestId: 1, commands: [command(value), { ...command(value), kind: "stop", graceS: 0 }] },
			],
		},
		{ kind: "lease-extension-request", term: value, requestNumber: 1, replicaRevision: value },
		{
			kind: "lease-extension-vote",
			term: value,
			requestNumber: 1,
			cancellations: [{ jobId: "j-1", revision: value, taskCount: 4, doneCount: 0 }],
		},
		{ kind: "leader-query", term: value, incarnation: "inc" },
		{ kind: "leader-query-reply", term: value, isLeader: true, incarnation: "inc" },
	];
}

// Guards against integers that were refused or rounded above 2^53 (review/3).
for (const [name, value] of largeCounters) {
	describe(`the value ${name}`, () => {
		test("is exact in heartbeats, their responses and direct commands", () => {
			const heartbeat = parseHeartbeat(heartbeatText(value));
			const { agentEpoch, sequence, fencingToken, tasks } = heartbeat;
			assert.deepEqual([agentEpoch, sequence, fencingToken, tasks[0]?.attempt], [value, value, value, value]);
			assert.deepEqual(parseDirectCommandsResponse(parseJson(heartbeatText(value))), heartbeat);
			const orders = `"orders":[{"verb":"run","piece":"j-1/0","try":${value}}]`;
			assert.equal(
				stringifyJson(heartbeatResponseBody(value, [command(value)])),
				`{"baton":${value},${orders}}`,
			);
			assert.equal(
				stringifyJson(directCommandsBody(value, value, [command(value)])),
				`{"baton":${value},"shift":${value},${orders}}`,
			);
		});

		test("is exact in each single field of a heartbeat", () => {
			for (const field of ["shift", "tick", "baton", "try"]) {
				const small = heartbeatText(7).replace(`"${field}":7`, `"${field}":${value}`);
				const { agentEpoch, sequence, fencingToken, tasks } = parseHeartbeat(small);
				const values = { shift: agentEpoch, tick: sequence, baton: fencingToken, try: tasks[0]?.attempt };
				assert.deepEqual(values, { shift: 7, tick: 7, baton: 7, try: 7, [field]: value });
			}
		});

		test("is exact in the store's responses and in requests to it", () => {
			const parse = <T>(parser: (raw: unknown) => T, text: string) => parser(parseJson(text));
			const row = `{"key":"a","v":{"n":${value}},"stamp":${value},"permit":${value}}`;
			const parsedRow = { key: "a", value: { n: value }, revision: value };
			assert.deepEqual(parse(parseRow, row), parsedRow);
			assert.deepEqual(parse(parseRows, `{"rows":[${row}],"truncated":false,"epoch":${value}}`), {
				rows: [parsedRow],
				hasMore: false,
				revision: value,
			});
			assert.equal(parse(parseRevision, `{"epoch":${value}}`), value);
			assert.equal(parse(parseLeaseId, `{"permit":${value}}`), value);
			assert.deepEqual(parse(parseConflicts, `{"failed":["a"],"epoch":${value}}`), {
				conflicts: ["a"],
				revision: value,
			});
			const events = `[{"put":"a","v":1,"stamp":${value}},{"drop":"b","stamp":${value}}]`;
			assert.deepEqual(parse(parseEvents, `{"epoch":${value},"events":${events}}`), {
				events: [
					{ key: "a", value: 1, revision: value },
					{ key: "b", value: undefined, revision: value },
				],
				revision: value,
			});
			const body = compareAndSwapBody(
				[{ key: "a", revision: value }],
				[{ put: "b", value: 1, leaseId: value }],
			);
			assert.equal(
				stringifyJson(body),
				`{"when":[{"key":"a","stamp":${value}}],"then":[{"put":"b","v":1,"permit":${value}}]}`,
			);
			assert.equal(watchPath("r/", value, 0), `/watch?prefix=r/&from=${value}&block_ms=0`);
			assert.equal(leasePath(value), `/leases/${value}`);
			assert.equal(renewLeasePath(value), `/leases/${value}/renew`);
			assert.deepEqual([fencingTokenOf(value), termOf(value), revisionOf(value)], [value, value, value]);
		});

		test("is exact in the stored record of a machine", () => {
			const record = { endpoint: "e", machineType: "g8", zone: "a", spot: true, agentEpoch: value };
			const stored = encodeMachineRecord(record);
			const text = stringifyJson({ entries: { "n-1": stored } });
			assert.ok(entryBytes("n-1", stored) >= text.length - '{"entries":{}}'.length);
			const decoded = decodeStoredRecord("r/machs/1", parseJson(text));
			assert.ok(decoded.kind === "machines");
			const entry = decoded.value.entries["n-1"];
			assert.ok(entry);
			assert.deepEqual(decodeMachineRecord(entry), record);
		});

		test("is exact in every message between controllers", () => {
			for (const message of messagesWith(value)) {
				const [received] = new FrameReader().push(encodeFrame(encodePeerMessage(message)));
				assert.deepEqual(decodePeerMessage(received), message);
			}
		});
	});
}

test("integers of 2^64 and above are malformed", () => {
	const tooLarge = 2n ** 64n;
	assert.throws(() => parseHeartbeat(heartbeatText(tooLarge)), /must be a whole number/);
	assert.throws(() => parseRevision(parseJson(`{"epoch":${tooLarge}}`)), /must be a whole number/);
	for (const message of messagesWith(tooLarge))
		assert.throws(() => decodePeerMessage(encodePeerMessage(message)));
});

test("a decimal that is written as a large integer is read as a number", () => {
	const spec = `{"id":"j-1","lane":"x","team":"red","priority":"normal","tasks":1,"cpus":1,"gpus":0,"memoryGb":0,
		"types":null,"zone":null,"oneZone":false,"spread":false,"spot":true,"image":"i","imageGb":0,
		"estimateS":100000000000000000,"checkpointS":0,"saveS":0,"deadlineS":90071992547409930}`;
	const record = decodeStoredRecord("r/job/j-1", parseJson(`{"spec":${spec},"at":1}`));
	assert.ok(record.kind === "job");
	assert.deepEqual(
		[record.value.spec.estimatedRunS, record.value.spec.deadlineS],
		[1e17, Number("90071992547409930")],
	);
});

test("rounded attempt numbers of a leader of 0.8.0 are passed on as it sent them", () => {
	const rounded = 2 ** 31 * 2 ** 22 + 2;
	const wire = {
		kind: "answers",
		epoch: 2 ** 31,
		answers: [[1, [{ op: "start", job: "j-1", index: 0, attempt: rounded }]]],
	};
	const [received] = new FrameReader().push(encodeFrame(wire));
	const message = decodePeerMessage(received);
	assert.ok(message.kind === "forwarded-responses");
	const commands = message.responses[0]?.commands ?? [];
	assert.match(stringifyJson(heartbeatResponseBody(1, commands)), new RegExp(`"try":${rounded}\\}`));
});
