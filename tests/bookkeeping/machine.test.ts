import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../../src/bookkeeping/machine.js";
import { attemptOf, jobOf, machineOf, makeSchedulable } from "../support/machines.js";

/** What the machine can be used for, in the order from new tasks to nothing. */
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

describe("what a machine can be used for", () => {
	test("a machine that is provisioning counts as capacity on its way", () => {
		assert.deepEqual(usesOf(machineOf()), {
			schedulable: false,
			countsAsCapacity: true,
			acceptsAssignedStarts: false,
			usable: true,
			needsEvacuation: false,
		});
	});

	test("a machine that runs, is fenced and recorded takes new tasks", () => {
		assert.deepEqual(usesOf(schedulableMachine()), {
			schedulable: true,
			countsAsCapacity: true,
			acceptsAssignedStarts: true,
			usable: true,
			needsEvacuation: false,
		});
	});

	test("a draining machine takes no new tasks but starts those assigned before", () => {
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

	const nothing = {
		schedulable: false,
		countsAsCapacity: false,
		acceptsAssignedStarts: false,
		usable: false,
	};

	test("a machine that is quarantined, reclaimed, unreachable, expired or deleting starts nothing", () => {
		const startMissing = { leaseExpired: false, startMissing: true, startListed: false };
		const troubles: [string, needsEvacuation: boolean, (machine: Machine) => void][] = [
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
		for (const [trouble, needsEvacuation, happens] of troubles) {
			const machine = schedulableMachine();
			happens(machine);
			assert.deepEqual(usesOf(machine), { ...nothing, needsEvacuation }, trouble);
		}
	});

	test("an overdue machine is no capacity that can be counted on", () => {
		const machine = machineOf();
		machine.lifecycle.setOverdue(true);
		assert.deepEqual([machine.countsAsCapacity, machine.usable], [false, true]);
	});
});

describe("the attempts on a machine", () => {
	test("take capacity until they are released, each once", () => {
		const machine = machineOf();
		const job = jobOf("j-1", { cpus: 3 });
		const attempt = attemptOf(job, machine);
		machine.addAttempt(attempt);
		assert.equal(machine.attempts.get("j-1/0"), attempt);
		assert.equal(machine.capacity.freeCpus, 5);
		machine.removeAttempt(attemptOf(job, machine, { number: 2 }));
		assert.equal(machine.capacity.freeCpus, 5, "another attempt at the task is not here");
		machine.removeAttempt(attempt);
		machine.removeAttempt(attempt);
		assert.equal(machine.attempts.size, 0);
		assert.equal(machine.capacity.freeCpus, 8);
	});
});

describe("the price of a machine", () => {
	test("is the present price of its kind", () => {
		assert.equal(machineOf({ spot: true }).hourlyPrice, 0.1);
		assert.equal(machineOf({ spot: false }).hourlyPrice, 0.4);
	});
});
