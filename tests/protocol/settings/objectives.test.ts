import assert from "node:assert/strict";
import { test } from "node:test";
import { startTimeObjectives } from "../../../src/protocol/settings/objectives.js";

test("only objectives for start times with a class and a time are returned", () => {
	const objectives = [
		{ kind: "wait", class: "web", within_s: 40, share: 0.88 },
		{ kind: "wait", within_s: 40 },
		{ kind: "wait", class: "web" },
		{ kind: "finished", class: "web", within_s: 250 },
		{ kind: "deadline", class: "batch", times: 1.5 },
	];
	assert.deepStrictEqual(startTimeObjectives(objectives), [{ jobClass: "web", withinS: 40 }]);
});
