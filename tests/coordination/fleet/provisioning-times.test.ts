import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine, unknownMachineType } from "../../../src/bookkeeping/machine.js";
import { ProvisioningTimes } from "../../../src/coordination/fleet/provisioning-times.js";
import { heartbeatOf } from "../../support/machines.js";

const type = { ...unknownMachineType("t"), bootS: 40 };

const otherType = { ...unknownMachineType("u"), bootS: 40 };

function requestedMachine(requestedAtS: number, machineType = type): Machine {
	return new Machine(
		{ id: `n-${requestedAtS}`, type: machineType, zone: "a", spot: true, origin: "heartbeat" },
		requestedAtS * 1000,
	);
}

test("an overdue machine does not count as capacity, and is no longer overdue once it is up", () => {
	const provisioningTimes = new ProvisioningTimes(3);
	const overdue = requestedMachine(0);
	assert.equal(
		provisioningTimes.isOverdue(overdue, 60_000),
		false,
		"one and a half times the stated time is usual",
	);
	assert.equal(provisioningTimes.isOverdue(overdue, 65_000), true);
	assert.equal(provisioningTimes.isBootTimedOut(overdue, 200_000), false, "the whole type may boot slowly");
	assert.equal(
		provisioningTimes.isBootTimedOut(overdue, 241_000),
		true,
		"the boot times out at twice the configured timeout",
	);
	overdue.lifecycle.setOverdue(true);
	assert.equal(overdue.countsAsCapacity, false);
	overdue.agent.heartbeatReceived(heartbeatOf(overdue), 64_000);
	assert.equal(provisioningTimes.isOverdue(overdue, 65_000), false);
	assert.equal(provisioningTimes.isBootTimedOut(overdue, 500_000), false);
});

test("the boot of a machine times out early once another of its type has overtaken it; other types do not count", () => {
	const provisioningTimes = new ProvisioningTimes(3);
	const neverUp = requestedMachine(0);
	provisioningTimes.recordBoot(requestedMachine(10, otherType), 50_000);
	assert.equal(provisioningTimes.isBootTimedOut(neverUp, 85_000), false);
	provisioningTimes.recordBoot(requestedMachine(0), 44_000);
	assert.equal(provisioningTimes.isBootTimedOut(neverUp, 79_000), false);
	assert.equal(provisioningTimes.isBootTimedOut(neverUp, 81_000), true);
});

test("machines of a type that boots slowly are overdue later, until the type boots fast again", () => {
	const provisioningTimes = new ProvisioningTimes(3);
	provisioningTimes.recordBoot(requestedMachine(0), 150_000);
	const next = requestedMachine(100);
	assert.equal(provisioningTimes.isOverdue(next, 270_000), false);
	assert.equal(provisioningTimes.isOverdue(next, 281_000), true);
	for (let i = 0; i < 8; i++) provisioningTimes.recordBoot(requestedMachine(300 + i), 302_000 + i * 1000);
	assert.equal(
		provisioningTimes.isOverdue(requestedMachine(400), 465_000),
		true,
		"the slow boot is not among the recorded ones any more",
	);
});
