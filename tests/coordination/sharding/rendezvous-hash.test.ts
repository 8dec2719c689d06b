import assert from "node:assert/strict";
import { test } from "node:test";
import { ownerOf } from "../../../src/coordination/sharding/rendezvous-hash.js";

test("the removal of a node moves only the keys that it owned, and every node owns some keys", () => {
	const teams = Array.from({ length: 50 }, (_, i) => `team-${i}`);
	const before = teams.map((t) => ownerOf(t, ["a", "b", "c"]));
	const after = teams.map((t) => ownerOf(t, ["a", "b"]));
	teams.forEach((_, i) => {
		if (before[i] !== "c") assert.equal(after[i], before[i]);
	});
	assert.equal(new Set(before).size, 3);
	assert.equal(ownerOf("x", []), null);
});
