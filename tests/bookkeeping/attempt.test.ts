import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { attemptOf, jobOf, machineOf } from "../support/machines.js";

describe("the phase of an attempt", () => {
	test("is assigned at first, then sent, and then the state that heartbeats report", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.equal(attempt.phase, "assigned");
		assert.equal(attempt.taskId, "j-1/0");
		attempt.markSent();
		assert.equal(attempt.phase, "sent");
		assert.equal(attempt.updatePhase("fetching", 100), false);
		assert.equal(attempt.phase, "fetching");
		assert.equal(attempt.updatePhase("running", 200), true);
		assert.equal(attempt.phase, "running");
		assert.equal(attempt.updatePhase("checkpointing", 300), false);
		assert.equal(attempt.phase, "checkpointing");
	});

	test("allows a start command to be sent only once, unless it was lost", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.throws(() => attempt.markStartLost(), /start of j-1\/0\/1 was lost in phase assigned/);
		attempt.markSent();
		assert.throws(() => attempt.markSent(), /start of j-1\/0\/1 was sent in phase sent/);
		attempt.markStartLost();
		assert.equal(attempt.phase, "assigned");
		attempt.markSent();
		attempt.updatePhase("running", 1);
		assert.throws(() => attempt.markStartLost(), /phase running/);
		assert.throws(() => attempt.markSent(), /phase running/);
		assert.equal(attempt.phase, "running");
	});

	test("runningSince is the time of the first heartbeat that reports the attempt as running", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.equal(attempt.runningSince, null);
		assert.equal(attempt.updatePhase("running", 200), true);
		assert.equal(attempt.updatePhase("running", 300), false, "it was reported as running before");
		assert.equal(attempt.runningSince, 200);
		attempt.updatePhase("checkpointing", 400);
		assert.equal(attempt.runningSince, 200);
	});
});

describe("the stop request of an attempt", () => {
	test("can be made in any phase and stands until a later request replaces it", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.equal(attempt.stopRequest, null);
		attempt.requestStop("preempted", 8);
		assert.deepEqual(attempt.stopRequest, { reason: "preempted", graceS: 8 });
		attempt.updatePhase("running", 1);
		attempt.requestStop("job ended", 0);
		assert.deepEqual(
			attempt.stopRequest,
			{ reason: "job ended", graceS: 0 },
			"the checkpoint of an ended job has no use",
		);
		attempt.updatePhase("checkpointing", 2);
		assert.deepEqual(attempt.stopRequest, { reason: "job ended", graceS: 0 });
	});
});

describe("the relocation of a replica", () => {
	const demand = { form: "service", cpus: 2, memoryGb: 4, checkpointCostS: 3 } as const;

	test("reserves resources on the target and requests the stop of the attempt", () => {
		const target = machineOf({ id: "n-2" });
		const attempt = attemptOf(jobOf("j-1", demand), machineOf());
		attempt.relocateTo(target);
		assert.equal(attempt.relocationTarget, target);
		assert.deepEqual(attempt.stopRequest, { reason: "relocation", graceS: 3 });
		assert.equal(target.capacity.freeCpus, target.type.cpus - 2);
	});

	test("releases the reservation when it ends, and ends only once", () => {
		const target = machineOf({ id: "n-2" });
		const attempt = attemptOf(jobOf("j-1", demand), machineOf());
		assert.equal(attempt.endRelocation(), null, "the attempt is not being relocated");
		attempt.relocateTo(target);
		assert.equal(attempt.endRelocation(), target);
		assert.equal(attempt.endRelocation(), null);
		assert.equal(attempt.relocationTarget, null);
		assert.equal(target.capacity.freeCpus, target.type.cpus);
		assert.equal(target.capacity.freeMemoryGb, target.type.memoryGb);
	});

	test("to another target releases the reservation on the previous target", () => {
		const [first, second] = [machineOf({ id: "n-2" }), machineOf({ id: "n-3" })];
		const attempt = attemptOf(jobOf("j-1", demand), machineOf());
		attempt.relocateTo(first);
		attempt.relocateTo(second);
		assert.equal(first.capacity.freeCpus, first.type.cpus);
		assert.equal(second.capacity.freeCpus, second.type.cpus - 2);
		assert.equal(attempt.relocationTarget, second);
	});

	test("keeps its reservation when another stop request replaces its own", () => {
		const target = machineOf({ id: "n-2" });
		const attempt = attemptOf(jobOf("j-1", demand), machineOf());
		attempt.relocateTo(target);
		attempt.requestStop("job ended", 0);
		assert.equal(attempt.relocationTarget, target);
		assert.equal(target.capacity.freeCpus, target.type.cpus - 2);
	});
});

describe("the protection of an attempt from preemption", () => {
	test("is absent at first, and ends at the given time", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.equal(attempt.isProtectedFromPreemption(0), false);
		attempt.protectFromPreemption(100);
		assert.equal(attempt.isProtectedFromPreemption(99), true);
		assert.equal(attempt.isProtectedFromPreemption(100), false);
	});
});

describe("the charge of an attempt", () => {
	test("is null until the attempt is charged to an allotment", () => {
		const attempt = attemptOf(jobOf("j-1"), machineOf());
		assert.equal(attempt.charge, null);
		const charge = { team: "red", node: "runner-0", amount: { cpus: 2000, gpus: 0 } };
		attempt.setCharge(charge);
		assert.equal(attempt.charge, charge);
		attempt.setCharge(null);
		assert.equal(attempt.charge, null);
	});
});
