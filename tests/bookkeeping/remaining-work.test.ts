import assert from "node:assert/strict";
import { test } from "node:test";
import { remainingOfRunning, remainingOfWaiting } from "../../src/bookkeeping/remaining-work.js";
import { loadOf } from "../../src/coordination/fleet/hill-climb.js";

test("remaining work: percentage is capped at 99, work at the cap, waiting counts in full", () => {
	assert.equal(remainingOfRunning(2, 5, 10, 600), 10);
	assert.ok(Math.abs(remainingOfRunning(2, 50, 10, 600) - 0.2) < 1e-9);
	assert.equal(remainingOfRunning(1, 0, 5000, 600), 600);
	assert.equal(remainingOfWaiting(4, 10, 600), 40);
	assert.equal(loadOf(30, 2), 20);
});
