import assert from "node:assert/strict";
import { test } from "node:test";
import { startTimeObjectives } from "../../../src/protocol/settings/objectives.js";

test("of the objectives those about start times are kept, where they name a class and a time", () => {
	const objectives = [
		{ kind: "wait", class: "web", within_s: 40, share: 0.88 },
		{ kind: "wait", within_s: 40 },
		{ kind: "wait", class: "web" },
		{ kind: "finished", class: "web", within_s: 250 },
		{ kind: "deadline", class: "batch", times: 1.5 },
	];
	assert.deepStrictEqual(startTimeObjectives(objectives), [{ jobClass: "web", withinS: 40 }]);
});
