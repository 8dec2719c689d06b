import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../../src/bookkeeping/machine.js";
import { attemptOf, jobOf, machineOf, makeSchedulable } from "../support/machines.js";

/** Uses that the state of the machine allows, in the order from new tasks to none. */
const usesOf = ({
	schedulable,
	countsAsCapacity,
	acceptsAssignedStarts,
	usable,
	needsEvacuation,
}: Machine) => ({
	schedulable,
	countsAsCapacity,
	acceptsAssignedStarts,
	usable,
	needsEvacuation,
});

function schedulableMachine(): Machine {
	const machine = machineOf();
	makeSchedulable(machine);
	return machine;
}

describe("the uses of a machine", () => {
	test("a machine that is booting counts as capacity but takes no tasks", () => {
		assert.deepEqual(usesOf(machineOf()), {
			schedulable: false,
			countsAsCapacity: true,
			acceptsAssignedStarts: false,
			usable: true,
			needsEvacuation: false,
		});
	});

	test("a machine that is running, fenced and recorded takes new tasks", () => {
		assert.deepEqual(usesOf(schedulableMachine()), {
			schedulable: true,
			countsAsCapacity: true,
			acceptsAssignedStarts: true,
			usable: true,
			needsEvacuation: false,
		});
	});

	test("a draining machine takes no new tasks but starts those that are assigned", () => {
		const machine = schedulableMachine();
		machine.lifecycle.startDraining();
		assert.deepEqual(usesOf(machine), {
			schedulable: false,
			countsAsCapacity: false,
			acceptsAssignedStarts: true,
			usable: true,
			needsEvacuation: true,
		});
	});

	const noUses = {
		schedulable: false,
		countsAsCapacity: false,
		acceptsAssignedStarts: false,
		usable: false,
	};

	test("a machine that is quarantined, being reclaimed, unreachable, expired or deleting starts no tasks", () => {
		const startMissing = { leaseExpired: false, startMissing: true, startListed: false };
		const cases: [string, needsEvacuation: boolean, (machine: Machine) => void][] = [
			["quarantined", true, ({ health }) => health.quarantine("failures", 0)],
			["reclaimed", true, ({ lifecycle }) => lifecycle.heartbeatReceived(1000)],
			[
				"unreachable",
				true,
				({ agent }) => {
					for (const at of [0, 1]) agent.updateReachability(startMissing, 10_000, at);
				},
			],
			["expired", false, ({ agent }) => agent.expireLease()],
			["deleting", false, ({ lifecycle }) => lifecycle.startDeleting()],
		];
		for (const [condition, needsEvacuation, apply] of cases) {
			const machine = schedulableMachine();
			apply(machine);
			assert.deepEqual(usesOf(machine), { ...noUses, needsEvacuation }, condition);
		}
	});

	test("an overdue machine does not count as capacity but is usable", () => {
		const machine = machineOf();
		machine.lifecycle.setOverdue(true);
		assert.deepEqual([machine.countsAsCapacity, machine.usable], [false, true]);
	});
});

describe("the attempts on a machine", () => {
	test("use capacity until they are removed, and are removed only once", () => {
		const machine = machineOf();
		const job = jobOf("j-1", { cpus: 3 });
		const attempt = attemptOf(job, machine);
		machine.addAttempt(attempt);
		assert.equal(machine.attempts.get("j-1/0"), attempt);
		assert.equal(machine.capacity.freeCpus, 5);
		machine.removeAttempt(attemptOf(job, machine, { number: 2 }));
		assert.equal(machine.capacity.freeCpus, 5, "another attempt at the task is not on the machine");
		machine.removeAttempt(attempt);
		machine.removeAttempt(attempt);
		assert.equal(machine.attempts.size, 0);
		assert.equal(machine.capacity.freeCpus, 8);
	});
});

describe("the price of a machine", () => {
	test("is the spot price for a spot machine and the regular price otherwise", () => {
		assert.equal(machineOf({ spot: true }).hourlyPrice, 0.1);
		assert.equal(machineOf({ spot: false }).hourlyPrice, 0.4);
	});
});
