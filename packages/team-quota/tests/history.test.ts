import assert from "node:assert/strict";
import { test } from "node:test";
import {
	type AdmittedTask,
	duplicateIds,
	findViolations,
	type History,
	type Size,
} from "./support/history.js";

function task(id: string, admittedAt: number, endedAt: number | null, size: Size = [1000, 0]): AdmittedTask {
	return { id, team: "red", size, admittedAt, endedAt };
}

function history(tasks: AdmittedTask[], refusalsAt: number[] = []): History {
	const limit = { team: "red", at: 0, limit: [2000, 1000] as Size, guarantee: [1000, 0] as Size };
	const lowered = { ...limit, at: 100, limit: [1000, 1000] as Size };
	const refusals = refusalsAt.map((at) => ({ team: "red", size: [1000, 0] as Size, at }));
	return { tasks, refusals, limitChanges: [limit, lowered], maxInformationAgeMs: 5 };
}

test("a valid history has no violations and no duplicate ids", () => {
	const tasks = [task("a", 1, 50), task("b", 2, 10), task("c", 10, 90, [1000, 1000]), task("d", 120, null)];
	assert.deepEqual(findViolations(history(tasks, [20, 40, 130])), []);
	assert.deepEqual(duplicateIds(tasks), []);
});

test("an admission above the limit is found in either dimension, even if it lasts for one instant", () => {
	const aboveCpuLimit = [task("a", 1, 50), task("b", 2, 60), task("c", 49, 70)];
	assert.match(findViolations(history(aboveCpuLimit))[0] ?? "", /^49 red: 3000,0 above 2000,1000 at c/);
	const aboveGpuLimit = [task("a", 1, 50, [0, 1000]), task("b", 2, 3, [0, 1])];
	assert.match(findViolations(history(aboveGpuLimit))[0] ?? "", /^2 red: 0,1001 above/);
});

test("a task that still runs above a lower limit when that comes into force is found", () => {
	assert.match(
		findViolations(history([task("a", 1, 150), task("b", 2, 101)]))[0] ?? "",
		/at a change of limit/,
	);
});

test("a refusal within the guarantee is found, unless the guarantee was in use within the information age", () => {
	assert.match(findViolations(history([task("a", 1, 20)], [30]))[0] ?? "", /^30 red: 1000,0 refused/);
	assert.deepEqual(
		findViolations(history([task("a", 1, 20)], [24])),
		[],
		"the guarantee was in use recently",
	);
});

test("a slot granted twice and an id admitted twice are found", () => {
	const slotGrantedTwice = [task("a", 1, 20), task("b", 1, 20), task("c", 1, 20)];
	assert.equal(findViolations(history(slotGrantedTwice)).length, 1);
	assert.deepEqual(duplicateIds([task("a", 1, 20), task("a", 30, 40)]), ["a"]);
});
