import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	remainingCpuSecondsOfAttempt,
	remainingCpuSecondsOfRunning,
	remainingCpuSecondsOfWaiting,
} from "../../src/bookkeeping/remaining-work.js";
import { loadOf } from "../../src/coordination/fleet/hill-climb.js";
import { attemptOf, jobOf, machineOf } from "../support/machines.js";

describe("the remaining work of tasks", () => {
	test("is at least a hundredth of the estimate, at most the cap, and the whole estimate while a task waits", () => {
		assert.equal(remainingCpuSecondsOfRunning(2, 5, 10, 600), 10);
		assert.ok(Math.abs(remainingCpuSecondsOfRunning(2, 50, 10, 600) - 0.2) < 1e-9);
		assert.equal(remainingCpuSecondsOfRunning(1, 0, 5000, 600), 600);
		assert.equal(remainingCpuSecondsOfWaiting(4, 10, 600), 40);
		assert.equal(loadOf(30, 2), 20);
	});

	test("of an attempt decreases from the first heartbeat that reports it as running", () => {
		const attempt = attemptOf(jobOf("j-1", { cpus: 2, estimatedRunS: 10 }), machineOf());
		assert.equal(remainingCpuSecondsOfAttempt(attempt, 5000, 600), 20);
		attempt.updatePhase("running", 5000);
		assert.equal(remainingCpuSecondsOfAttempt(attempt, 10_000, 600), 10);
	});
});
