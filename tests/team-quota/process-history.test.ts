import assert from "node:assert/strict";
import { test } from "node:test";
import { ProcessHistory } from "../support/quota-process-history.js";

const task = { id: "p1.1", team: "red", size: { cpus: 1000, gpus: 0 }, runMs: 5, admittedAt: 10 };

// Guards against a failure of the process test: a leader paused between an admission and its start, deposed meanwhile.
test("an admission whose start a worker refuses, since a later leader has reported, counts until the refusal", () => {
	let now = 10;
	const history = new ProcessHistory(() => now);
	history.leaderReported(1);
	history.admitted(task, Number.POSITIVE_INFINITY);
	now = 20;
	history.leaderReported(2);
	now = 30;
	assert.equal(history.started(1, task), false);
	now = 100;
	assert.equal(history.build().tasks[0]?.endedAt, 30);
});

test("an admission counts while its task runs, and until it is dropped or its process ends if it never starts", () => {
	let now = 10;
	const history = new ProcessHistory(() => now);
	history.leaderReported(1);
	for (const id of ["p1.1", "p1.2", "p2.1"]) history.admitted({ ...task, id }, 500);
	assert.equal(history.started(1, task), true);
	now = 20;
	history.processEnded("p1");
	history.dropped(["p2.1"], 15);
	now = 40;
	history.ended("p1.1");
	const endedAt = new Map(history.build().tasks.map(({ id, endedAt }) => [id, endedAt]));
	assert.deepEqual(
		[...endedAt],
		[
			["p1.1", 40],
			["p1.2", 20],
			["p2.1", 15],
		],
	);
});
