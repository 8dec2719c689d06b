import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { FailureHistory } from "../../src/bookkeeping/failure-history.js";
import { machineOf } from "../support/machines.js";
import { mediumType } from "../support/specs.js";

const machinesOf = (count: number, type = mediumType) =>
	Array.from({ length: count }, (_, i) => machineOf({ id: `${type.name}-${i}`, type }));

describe("the failures of a job", () => {
	test("count by machine, in a row, and by the time of the last one", () => {
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

	test("of a replica that ran well before do not count against machines", () => {
		const failures = new FailureHistory(true);
		for (const machine of machinesOf(2)) failures.recordFailure(machine, 100);
		failures.clearFailedMachines();
		assert.deepEqual([failures.failedMachines.size, failures.consecutiveFailures], [0, 2]);
	});
});

describe("a job that fails everywhere", () => {
	test("has failed on three machines that are not quarantined for failures", () => {
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
			"what a faulty machine does to a job says nothing of the job",
		);
		failures.recordFailure(d, 5);
		assert.equal(failures.failsEverywhere, true);
	});

	test("has failed eight times, where there are too few machines to tell", () => {
		const failures = new FailureHistory(false);
		const [a, b] = machinesOf(2);
		assert.ok(a && b);
		for (let i = 0; i < 7; i++) failures.recordFailure(i % 2 ? a : b, i);
		assert.equal(failures.failsEverywhere, false);
		failures.recordFailure(a, 8);
		assert.equal(failures.failsEverywhere, true);
	});

	test("has not failed on one machine only, however often", () => {
		const failures = new FailureHistory(false);
		const [machine] = machinesOf(1);
		assert.ok(machine);
		for (let i = 0; i < 20; i++) failures.recordFailure(machine, i);
		assert.equal(failures.failsEverywhere, false);
	});

	test("is never a service job: its replicas are tried all along", () => {
		const failures = new FailureHistory(true);
		for (const machine of machinesOf(9)) failures.recordFailure(machine, 1);
		assert.equal(failures.failsEverywhere, false);
	});
});

describe("machine types that do not suit a job", () => {
	const narrow = { ...mediumType, name: "narrow" };

	test("are those on several machines of which it failed, while it succeeds on another type", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(2, narrow)) failures.recordFailure(machine, 1);
		assert.deepEqual([...failures.unfitTypes], [], "so far nothing speaks for the job");
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], ["narrow"]);
	});

	test("are not those of which a single machine failed", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(1, narrow)) failures.recordFailure(machine, 1);
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], []);
	});

	test("suit it from its first success there on", () => {
		const failures = new FailureHistory(false);
		for (const machine of machinesOf(2, narrow)) failures.recordFailure(machine, 1);
		failures.recordSuccess("medium");
		failures.recordSuccess("narrow");
		assert.deepEqual([...failures.unfitTypes], []);
		failures.recordSuccess("medium");
		assert.deepEqual([...failures.unfitTypes], [], "the type is proven");
	});
});
