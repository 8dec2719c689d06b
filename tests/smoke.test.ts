import assert from "node:assert/strict";
import { test } from "node:test";
import { placerOf } from "../src/coordination/parting.js";

test("a team moves only when its own placer goes", () => {
	const teams = Array.from({ length: 50 }, (_, i) => `team-${i}`);
	const before = teams.map((t) => placerOf(t, ["a", "b", "c"]));
	const after = teams.map((t) => placerOf(t, ["a", "b"]));
	teams.forEach((_, i) => {
		if (before[i] !== "c") assert.equal(after[i], before[i]);
	});
	assert.equal(new Set(before).size, 3);
});
