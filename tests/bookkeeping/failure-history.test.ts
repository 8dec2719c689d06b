import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FailureHistory } from "../../src/bookkeeping/failure-history.js";
import { machineOf } from "../support/machines.js";
import { mediumType } from "../support/specs.js";

const machinesOf = (count: number, type = mediumType) =>
	Array.from({ length: count }, (_, i) => machineOf({ id: `${type.name}-${i}`, type }));

describe("the failures of a job", () => {
	test("are recorded with their machines, their number in a row and the time of the last one", () => {
		const failures = new FailureHistory(false);
		const [machine, other] = machinesOf(2);
		assert.ok(machine && other);
		failures.recordFailure(machine, 100);
		failures.recordFailure(machine, 200);
		assert.deepEqual(
			[failures.failedMachines.size, failures.consecutiveFailures, failures.lastFailureAt],
			[1, 2, 200],
		);
		assert.equal(failures.failedOnSeveralMachines, false);
		failures.recordFailure(other, 300);
		assert.equal(failures.failedOnSeveralMachines, true);
	});

	test("are cleared by a success, except for the time of the last one", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(3)) failures.recordFailure(machine, 100);
		failures.backOffUntil(900);
		failures.clear();
		assert.deepEqual(
			[
				failures.failedMachines.size,
				failures.consecutiveFailures,
				failures.retryNotBefore,
				failures.lastFailureAt,
			],
			[0, 0, 0, 100],
		);
		failures.clear();
		assert.equal(failures.failsEverywhere, false);
	});

	test("keep their number when the failed machines are cleared after a long run of a replica", () => {
		const failures = new FailureHistory(true);
		for (const machine of machinesOf(2)) failures.recordFailure(machine, 100);
		failures.clearFailedMachines();
		assert.deepEqual([failures.failedMachines.size, failures.consecutiveFailures], [0, 2]);
	});
});

describe("a job counts as failing everywhere", () => {
	test("after failures on three machines that are not quarantined for failures", () => {
		const failures = new FailureHistory(false);
		const [a, b, c, d] = machinesOf(4);
		assert.ok(a && b && c && d);
		failures.recordFailure(a, 1);
		failures.recordFailure(b, 2);
		assert.equal(failures.failsEverywhere, false);
		failures.recordFailure(c, 3);
		assert.equal(failures.failsEverywhere, true);
		a.health.quarantine("failures", 4);
		assert.equal(
			failures.failsEverywhere,
			false,
			"a failure on a faulty machine is no evidence against the job",
		);
		failures.recordFailure(d, 5);
		assert.equal(failures.failsEverywhere, true);
	});

	test("after eight failures in a row on fewer machines", () => {
		const failures = new FailureHistory(false);
		const [a, b] = machinesOf(2);
		assert.ok(a && b);
		for (let i = 0; i < 7; i++) failures.recordFailure(i % 2 ? a : b, i);
		assert.equal(failures.failsEverywhere, false);
		failures.recordFailure(a, 8);
		assert.equal(failures.failsEverywhere, true);
	});

	test("never if it failed on one machine only, however often", () => {
		const failures = new FailureHistory(false);
		const [machine] = machinesOf(1);
		assert.ok(machine);
		for (let i = 0; i < 20; i++) failures.recordFailure(machine, i);
		assert.equal(failures.failsEverywhere, false);
	});

	test("never if it is a service job, whose replicas are always retried", () => {
		const failures = new FailureHistory(true);
		for (const machine of machinesOf(9)) failures.recordFailure(machine, 1);
		assert.equal(failures.failsEverywhere, false);
	});
});

describe("machine types that are unfit for a job", () => {
	const narrow = { ...mediumType, name: "narrow" };

	test("are those on several machines of which it failed, once it succeeds on another type", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(2, narrow)) failures.recordFailure(machine, 1);
		assert.deepEqual([...failures.unfitTypes], [], "the job has succeeded nowhere yet");
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], ["narrow"]);
	});

	test("do not include a type on a single machine of which it failed", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(1, narrow)) failures.recordFailure(machine, 1);
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], []);
	});

	test("are fit again after the job's first success on them", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(2, narrow)) failures.recordFailure(machine, 1);
		failures.recordSuccess("medium");
		failures.recordSuccess("narrow");
		assert.deepEqual([...failures.unfitTypes], []);
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], [], "a type with a success stays fit");
	});
});
