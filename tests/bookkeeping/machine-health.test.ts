import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { isMuchSlower, MachineHealth } from "../../src/bookkeeping/machine-health.js";
import { jobOf, machineOf } from "../support/machines.js";

const probationMs = 20_000;
const quarantineMs = 40_000;

const stateOf = (health: MachineHealth) =>
	health.quarantined
		? `quarantined${health.onProbation ? ", probation pending" : ""}`
		: health.onProbation
			? "on probation"
			: "healthy";

describe("the probation of a machine", () => {
	test("starts with a failure, and a success ends it", () => {
		const health = new MachineHealth();
		assert.equal(stateOf(health), "healthy");
		health.clearProbation();
		assert.equal(stateOf(health), "healthy");
		health.startProbation(0);
		assert.equal(stateOf(health), "on probation");
		health.clearProbation();
		assert.equal(stateOf(health), "healthy");
	});

	test("ends by itself, counted from the last failure", () => {
		const health = new MachineHealth();
		health.startProbation(0);
		health.startProbation(1000);
		health.applyExpiry(1000 + probationMs);
		assert.equal(stateOf(health), "on probation");
		health.applyExpiry(1001 + probationMs);
		assert.equal(stateOf(health), "healthy");
		health.applyExpiry(1_000_000);
		assert.equal(stateOf(health), "healthy");
	});
});

describe("the quarantine of a machine", () => {
	test("has a cause, since failures may turn out to be the fault of jobs", () => {
		for (const cause of ["failures", "slow"] as const) {
			const health = new MachineHealth();
			assert.equal(health.quarantinedForFailures, false);
			health.quarantine(cause, 0);
			assert.equal(health.quarantined, true);
			assert.equal(health.quarantinedForFailures, cause === "failures");
		}
	});

	test("is followed by a probation, and the evidence before it does not count any more", () => {
		const health = new MachineHealth();
		health.recordFailure(jobOf("j-1"));
		health.recordRun(20, 10);
		health.quarantine("failures", 0);
		health.applyExpiry(quarantineMs);
		assert.equal(stateOf(health), "quarantined");
		health.applyExpiry(quarantineMs + 1);
		assert.equal(stateOf(health), "on probation");
		assert.deepEqual([health.jobsWithFailures.size, health.comparedRuns], [0, 0]);
		health.applyExpiry(quarantineMs + 1 + probationMs);
		assert.equal(stateOf(health), "on probation");
		health.applyExpiry(quarantineMs + 2 + probationMs);
		assert.equal(stateOf(health), "healthy");
	});

	test("that is released leaves the machine as it was, on probation if that was not over", () => {
		const health = new MachineHealth();
		health.liftQuarantine();
		assert.equal(stateOf(health), "healthy", "there was no quarantine");
		health.quarantine("failures", 0);
		health.liftQuarantine();
		assert.equal(stateOf(health), "healthy");
		health.startProbation(0);
		health.liftQuarantine();
		assert.equal(stateOf(health), "on probation", "a release ends no probation");
		health.quarantine("failures", 0);
		assert.equal(stateOf(health), "quarantined, probation pending");
		health.liftQuarantine();
		assert.equal(stateOf(health), "on probation");
	});

	test("goes on when a task fails or succeeds, which changes only the probation after it", () => {
		const health = new MachineHealth();
		health.quarantine("failures", 0);
		health.startProbation(1000);
		assert.equal(stateOf(health), "quarantined, probation pending");
		health.clearProbation();
		assert.equal(stateOf(health), "quarantined");
		health.applyExpiry(1000 + quarantineMs);
		assert.equal(stateOf(health), "quarantined", "counted from the last failure");
		health.applyExpiry(1001 + quarantineMs);
		assert.equal(stateOf(health), "on probation");
	});

	test("takes the latest cause", () => {
		const health = new MachineHealth();
		health.quarantine("failures", 0);
		health.quarantine("slow", 10);
		assert.equal(health.quarantinedForFailures, false);
	});
});

describe("the evidence against a machine", () => {
	test("is the jobs that failed on it, each once, until one is found to blame or a task succeeds", () => {
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
	test("is the mean of its runs against the means of their jobs, the latest ones weighing more than old ones", () => {
		const health = new MachineHealth();
		health.recordRun(20, 10);
		assert.deepEqual([health.comparedRuns, health.slowdown], [1, 2]);
		health.recordRun(10, 10);
		assert.deepEqual([health.comparedRuns, health.slowdown], [2, 1.5]);
		for (let i = 0; i < 100; i++) health.recordRun(10, 10);
		assert.ok(Math.abs(health.slowdown - 1) < 0.001);
	});

	test("is noticed if it is much lower than that of others with the same work; ordinary spread is not", () => {
		const random = xoroshiro128plus(21);
		const machines = ["n-1", "n-2", "n-3", "n-slow"].map((id) => machineOf({ id }));
		const [first, , , slow] = machines;
		assert.ok(first && slow);
		let noticedAfter = 0;
		for (let i = 1; i <= 60; i++) {
			for (const machine of machines) {
				const factor = 0.6 + uniformInt(random, 0, 80) / 100;
				// The mean of a job whose long tasks still run is too low, for all alike.
				machine.health.recordRun((machine === slow ? 75 : 30) * factor, 20);
				const noticed = isMuchSlower(machine, machines);
				if (machine !== slow) assert.equal(noticed, false);
				else if (noticed && noticedAfter === 0) noticedAfter = i;
			}
		}
		assert.ok(noticedAfter >= 10 && noticedAfter <= 20, `after ${noticedAfter} runs`);
		assert.equal(isMuchSlower(slow, [first]), false, "one other machine is no measure");
	});
});
