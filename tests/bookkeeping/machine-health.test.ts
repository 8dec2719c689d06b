import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { isMuchSlower, MachineHealth } from "../../src/bookkeeping/machine-health.js";
import { jobOf, machineOf } from "../support/machines.js";

const probationDurationMs = 20_000;
const quarantineDurationMs = 40_000;

const stateOf = (health: MachineHealth) =>
	health.quarantined
		? `quarantined${health.onProbation ? ", probation pending" : ""}`
		: health.onProbation
			? "on probation"
			: "healthy";

describe("the probation of a machine", () => {
	test("starts with a failure and ends with a success", () => {
		const health = new MachineHealth();
		assert.equal(stateOf(health), "healthy");
		health.clearProbation();
		assert.equal(stateOf(health), "healthy");
		health.startProbation(0);
		assert.equal(stateOf(health), "on probation");
		health.clearProbation();
		assert.equal(stateOf(health), "healthy");
	});

	test("expires 20 s after the last failure", () => {
		const health = new MachineHealth();
		health.startProbation(0);
		health.startProbation(1000);
		health.applyExpiry(1000 + probationDurationMs);
		assert.equal(stateOf(health), "on probation");
		health.applyExpiry(1001 + probationDurationMs);
		assert.equal(stateOf(health), "healthy");
		health.applyExpiry(1_000_000);
		assert.equal(stateOf(health), "healthy");
	});
});

describe("the quarantine of a machine", () => {
	test("has a cause, because failures may later be attributed to jobs", () => {
		for (const cause of ["failures", "slow"] as const) {
			const health = new MachineHealth();
			assert.equal(health.quarantinedForFailures, false);
			health.quarantine(cause, 0);
			assert.equal(health.quarantined, true);
			assert.equal(health.quarantinedForFailures, cause === "failures");
		}
	});

	test("is followed by a probation when it expires, and its evidence is discarded", () => {
		const health = new MachineHealth();
		health.recordFailure(jobOf("j-1"));
		health.recordRun(20, 10);
		health.quarantine("failures", 0);
		health.applyExpiry(quarantineDurationMs);
		assert.equal(stateOf(health), "quarantined");
		health.applyExpiry(quarantineDurationMs + 1);
		assert.equal(stateOf(health), "on probation");
		assert.deepEqual([health.jobsWithFailures.size, health.comparedRuns], [0, 0]);
		health.applyExpiry(quarantineDurationMs + 1 + probationDurationMs);
		assert.equal(stateOf(health), "on probation");
		health.applyExpiry(quarantineDurationMs + 2 + probationDurationMs);
		assert.equal(stateOf(health), "healthy");
	});

	test("returns the machine to its state before when lifted, on probation if one is pending", () => {
		const health = new MachineHealth();
		health.liftQuarantine();
		assert.equal(stateOf(health), "healthy", "there was no quarantine");
		health.quarantine("failures", 0);
		health.liftQuarantine();
		assert.equal(stateOf(health), "healthy");
		health.startProbation(0);
		health.liftQuarantine();
		assert.equal(stateOf(health), "on probation", "lifting a quarantine ends no probation");
		health.quarantine("failures", 0);
		assert.equal(stateOf(health), "quarantined, probation pending");
		health.liftQuarantine();
		assert.equal(stateOf(health), "on probation");
	});

	test("stays when a task fails or succeeds, which changes only the pending probation", () => {
		const health = new MachineHealth();
		health.quarantine("failures", 0);
		health.startProbation(1000);
		assert.equal(stateOf(health), "quarantined, probation pending");
		health.clearProbation();
		assert.equal(stateOf(health), "quarantined");
		health.applyExpiry(1000 + quarantineDurationMs);
		assert.equal(stateOf(health), "quarantined", "it expires 40 s after the last failure");
		health.applyExpiry(1001 + quarantineDurationMs);
		assert.equal(stateOf(health), "on probation");
	});

	test("has the cause of the latest call", () => {
		const health = new MachineHealth();
		health.quarantine("failures", 0);
		health.quarantine("slow", 10);
		assert.equal(health.quarantinedForFailures, false);
	});
});

describe("the evidence against a machine", () => {
	test("is the set of jobs that failed on it, until a failure is removed or all are cleared", () => {
		const health = new MachineHealth();
		const [first, second] = [jobOf("j-1"), jobOf("j-2")];
		health.recordFailure(first);
		health.recordFailure(first);
		health.recordFailure(second);
		assert.deepEqual([...health.jobsWithFailures], [first, second]);
		health.removeFailure(first);
		health.removeFailure(first);
		assert.deepEqual([...health.jobsWithFailures], [second]);
		health.clearFailures();
		assert.equal(health.jobsWithFailures.size, 0);
	});
});

describe("the speed of a machine", () => {
	test("is the mean of its run times relative to the means of their jobs, with more weight on recent runs", () => {
		const health = new MachineHealth();
		health.recordRun(20, 10);
		assert.deepEqual([health.comparedRuns, health.slowdown], [1, 2]);
		health.recordRun(10, 10);
		assert.deepEqual([health.comparedRuns, health.slowdown], [2, 1.5]);
		for (let i = 0; i < 100; i++) health.recordRun(10, 10);
		assert.ok(Math.abs(health.slowdown - 1) < 0.001);
	});

	test("counts as much slower after 10 to 20 runs if it is far below that of others with the same work, and not for ordinary variance", () => {
		const random = xoroshiro128plus(21);
		const machines = ["n-1", "n-2", "n-3", "n-slow"].map((id) => machineOf({ id }));
		const [first, , , slow] = machines;
		assert.ok(first && slow);
		let noticedAfter = 0;
		for (let i = 1; i <= 60; i++) {
			for (const machine of machines) {
				const factor = 0.6 + uniformInt(random, 0, 80) / 100;
				// The mean of 20 s is too low for all machines alike, as if the long tasks of the job were still running.
				machine.health.recordRun((machine === slow ? 75 : 30) * factor, 20);
				const noticed = isMuchSlower(machine, machines);
				if (machine !== slow) assert.equal(noticed, false);
				else if (noticed && noticedAfter === 0) noticedAfter = i;
			}
		}
		assert.ok(noticedAfter >= 10 && noticedAfter <= 20, `after ${noticedAfter} runs`);
		assert.equal(isMuchSlower(slow, [first]), false, "a comparison needs two other machines");
	});
});
