import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { tasksByZone, tasksByZoneExcluding, zoneTaskHeadroom } from "../../src/bookkeeping/zone-rules.js";
import { attemptOf, jobOf, machineOf } from "../support/machines.js";
import { specOf } from "../support/specs.js";

describe("the number of further tasks that zone rules allow", () => {
	test("is infinite without a rule", () => {
		assert.equal(zoneTaskHeadroom(specOf("j-1"), { a: 100 }, "a"), Number.POSITIVE_INFINITY);
	});

	test("is 0 in all zones but one if all tasks must be in a single zone", () => {
		const spec = specOf("j-1", { singleZone: true });
		assert.equal(zoneTaskHeadroom(spec, {}, "a"), Number.POSITIVE_INFINITY);
		assert.equal(zoneTaskHeadroom(spec, { a: 1, b: 0 }, "a"), Number.POSITIVE_INFINITY);
		assert.equal(zoneTaskHeadroom(spec, { a: 1, b: 0 }, "b"), 0);
	});

	test("is half of the tasks, rounded up, less those in the zone, if the tasks are spread", () => {
		const spec = specOf("j-1", { spreadZones: true, taskCount: 9 });
		assert.equal(zoneTaskHeadroom(spec, {}, "a"), 5);
		assert.equal(zoneTaskHeadroom(spec, { a: 3 }, "a"), 2);
		assert.equal(zoneTaskHeadroom(spec, { a: 6 }, "a"), 0, "never negative");
	});

	test("is the minimum over both rules if both apply", () => {
		const spec = specOf("j-1", { singleZone: true, spreadZones: true, taskCount: 4 });
		assert.equal(zoneTaskHeadroom(spec, { a: 1 }, "a"), 1);
		assert.equal(zoneTaskHeadroom(spec, { a: 1 }, "b"), 0);
	});
});

describe("the tasks of a job by zone", () => {
	test("count every attempt except those excluded", () => {
		const job = jobOf("j-1");
		const zones = ["a", "b", "b"];
		const attempts = zones.map((zone, taskIndex) => attemptOf(job, machineOf({ zone }), { taskIndex }));
		for (const attempt of attempts) job.addAttempt(attempt);
		assert.deepEqual(tasksByZone(job), { a: 1, b: 2 });
		assert.deepEqual(tasksByZoneExcluding(job, attempts.slice(0, 2)), { a: 0, b: 1 });
	});
});
