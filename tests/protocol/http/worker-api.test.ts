import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	directCommandsBody,
	heartbeatResponseBody,
	maxListedTasks,
	parseDirectCommandsResponse,
	parseHeartbeat,
	redirectBody,
} from "../../../src/protocol/http/worker-api.js";
import { stringifyJson } from "../../../src/protocol/json.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import { maxBodyBytes } from "../../../src/transport/public/request-body.js";
import { heartbeatBody } from "../../support/request-bodies.js";

const parse = (fields: Parameters<typeof heartbeatBody>[0]) =>
	parseHeartbeat(JSON.stringify(heartbeatBody(fields)));

// Guards against heartbeats that every controller refuses, and responses with too long a line.
test("the largest heartbeat and response have at most 64 KiB", () => {
	const largestJobId = `j-${"9".repeat(18)}`;
	const largestInteger = 2n ** 64n - 1n;
	const text = "x".repeat(200);
	const ref = { jobId: largestJobId, taskIndex: 99_999, attempt: largestInteger };
	const stop: WorkerCommand = { kind: "stop", ...ref, graceS: 123.456789 };
	const counters = { shift: largestInteger, tick: largestInteger, baton: largestInteger };
	const heartbeat = {
		...heartbeatBody({ host: text, endpoint: text, shape: text, hall: text, recall_s: 123.456789 }),
		...counters,
		pieces: Array.from({ length: maxListedTasks }, () => ({
			piece: `${largestJobId}/${ref.taskIndex}`,
			try: largestInteger,
			status: "exited",
			cause: "stopped",
			stored: true,
		})),
	};
	const commands = Array.from({ length: maxListedTasks }, () => stop);
	for (const body of [
		heartbeat,
		heartbeatResponseBody(largestInteger, commands),
		directCommandsBody(largestInteger, largestInteger, commands),
	])
		assert.ok(stringifyJson(body).length <= maxBodyBytes, `${stringifyJson(body).length} bytes`);
});

describe("a worker's heartbeat", () => {
	test("is parsed with every field, every task state and every exit cause", () => {
		const wire = {
			host: "n-000231",
			endpoint: "10.1.0.232:9000",
			shape: "g8",
			hall: "a",
			loaners: true,
			shift: 1,
			tick: 88,
			baton: 41,
			recall_s: 12.5,
			pieces: [
				{ piece: "j-1/0", try: 1, status: "pulling" },
				{ piece: "j-1/1", try: 2, status: "running" },
				{ piece: "j-1/2", try: 3, status: "flushing" },
				{ piece: "j-1/3", try: 1, status: "exited", cause: "done" },
				{ piece: "j-1/4", try: 1, status: "exited", cause: "stopped", stored: true },
				{ piece: "j-1/5", try: 1, status: "exited", cause: "error" },
				{ piece: "j-1/6", try: 1, status: "exited", cause: "full" },
				{ piece: "j-1/7", try: 1, status: "exited", cause: "busy" },
				{ piece: "j-1/8", try: 1, status: "exited", cause: "no_such" },
			],
		};
		const task = (taskIndex: number, attempt: number) => ({ jobId: "j-1", taskIndex, attempt });
		const heartbeat = {
			machineId: "n-000231",
			endpoint: "10.1.0.232:9000",
			machineType: "g8",
			zone: "a",
			spot: true,
			agentEpoch: 1,
			sequence: 88,
			fencingToken: 41,
			reclaimInS: 12.5,
			tasks: [
				{ ...task(0, 1), state: "fetching", exitCause: null, checkpointed: false },
				{ ...task(1, 2), state: "running", exitCause: null, checkpointed: false },
				{ ...task(2, 3), state: "checkpointing", exitCause: null, checkpointed: false },
				{ ...task(3, 1), state: "exited", exitCause: "done", checkpointed: false },
				{ ...task(4, 1), state: "exited", exitCause: "stopped", checkpointed: true },
				{ ...task(5, 1), state: "exited", exitCause: "error", checkpointed: false },
				{ ...task(6, 1), state: "exited", exitCause: "no_room", checkpointed: false },
				{ ...task(7, 1), state: "exited", exitCause: "busy", checkpointed: false },
				{ ...task(8, 1), state: "exited", exitCause: "unknown", checkpointed: false },
			],
		};
		assert.deepStrictEqual(parseHeartbeat(JSON.stringify(wire)), heartbeat);
		assert.deepStrictEqual(parseDirectCommandsResponse(wire), heartbeat);
	});

	test("has decoded task states and exit causes, and no reclaim time unless one is given", () => {
		const heartbeat = parseHeartbeat(
			JSON.stringify({
				host: "n-1",
				endpoint: "10.1.0.1:9000",
				shape: "g8",
				hall: "a",
				loaners: true,
				shift: 1,
				tick: 8,
				baton: 41,
				pieces: [
					{ piece: "j-1/3", try: 2, status: "pulling" },
					{ piece: "j-1/4", try: 3, status: "exited", cause: "full" },
				],
			}),
		);
		assert.deepEqual(
			heartbeat.tasks.map(({ taskIndex, state, exitCause }) => [taskIndex, state, exitCause]),
			[
				[3, "fetching", null],
				[4, "exited", "no_room"],
			],
		);
		assert.equal(heartbeat.reclaimInS, null);
	});

	test("may omit the fencing token, which is then 0, and the exit cause, which is then error", () => {
		const pieces = [
			{ piece: "j-1/0", try: 1, status: "exited" },
			{ piece: "j-1/1", try: 1, status: "exited", cause: "of a later version" },
		];
		const heartbeat = parse({ baton: undefined, pieces });
		assert.equal(heartbeat.fencingToken, 0);
		assert.deepEqual(
			heartbeat.tasks.map(({ exitCause }) => exitCause),
			["error", "error"],
		);
	});

	test("is rejected with the name of the first invalid field", () => {
		const faults: [Parameters<typeof heartbeatBody>[0], RegExp][] = [
			[{ pieces: undefined, host: "" }, /^field "pieces" must be a list$/],
			[{ recall_s: "soon", host: "" }, /^field "recall_s" must be a number or null$/],
			[{ host: "" }, /^field "host" must be a string of 1 to 200 characters$/],
			[{ endpoint: "x".repeat(201) }, /^field "endpoint" must be a string of 1 to 200 characters$/],
			[{ shape: 8 }, /^field "shape" must be a string of 1 to 200 characters$/],
			[{ hall: null }, /^field "hall" must be a string of 1 to 200 characters$/],
			[{ shift: -1 }, /^field "shift" must be a whole number$/],
			[{ tick: 1.5 }, /^field "tick" must be a whole number$/],
			[{ baton: "41" }, /^field "baton" must be a whole number$/],
			[{ pieces: [null] }, /^field "pieces.piece" must be a string of 1 to 200 characters$/],
			[{ pieces: [{ piece: "j-1" }] }, /^field "pieces.piece" must look like "j-000412\/3"$/],
			[{ pieces: [{ piece: "j-1/" }] }, /^field "pieces.piece" must look like "j-000412\/3"$/],
			[{ pieces: [{ piece: "/1" }] }, /^field "pieces.piece" must look like "j-000412\/3"$/],
			[{ pieces: [{ piece: "j-1/x" }] }, /^field "pieces.piece" must look like "j-000412\/3"$/],
			[{ pieces: [{ piece: "j-1/0", status: "asleep" }] }, /^field "pieces.status" is not a known state$/],
			[{ pieces: [{ piece: "j-1/0", status: "running" }] }, /^field "pieces.try" must be a whole number$/],
		];
		for (const [fields, message] of faults) assert.throws(() => parse(fields), { message });
		assert.throws(() => parseHeartbeat('{"host":"n-1"}'), /"pieces" must be a list/);
	});
});

describe("commands to a worker", () => {
	const commands: WorkerCommand[] = [
		{ kind: "start", jobId: "j-000412", taskIndex: 4, attempt: 2 },
		{ kind: "stop", jobId: "j-000377", taskIndex: 1, attempt: 1, graceS: 10 },
		{ kind: "forget", jobId: "j-000398", taskIndex: 0, attempt: 1 },
	];
	const orders = [
		{ verb: "run", piece: "j-000412/4", try: 2 },
		{ verb: "halt", piece: "j-000377/1", try: 1, wind_down_s: 10 },
		{ verb: "forget", piece: "j-000398/0", try: 1 },
	];

	test("are encoded in the response to a heartbeat", () => {
		assert.deepStrictEqual(heartbeatResponseBody(41, commands), { baton: 41, orders });
	});

	test("are encoded in a direct request, with the agent epoch", () => {
		assert.deepStrictEqual(directCommandsBody(41, 1, commands), { baton: 41, shift: 1, orders });
	});

	test("that redirect it to another controller name that controller, if one is given", () => {
		assert.deepStrictEqual(redirectBody("runner-2"), { foreman: "runner-2" });
		assert.deepStrictEqual(redirectBody(null), {});
	});
});
