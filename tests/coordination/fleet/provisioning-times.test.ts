import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine, unknownMachineType } from "../../../src/bookkeeping/machine.js";
import { ProvisioningTimes } from "../../../src/coordination/fleet/provisioning-times.js";
import { heartbeatOf } from "../../support/machines.js";

const type = { ...unknownMachineType("t"), bootS: 40 };

const other = { ...unknownMachineType("u"), bootS: 40 };

function rented(at: number, of = type): Machine {
	return new Machine({ id: `n-${at}`, type: of, zone: "a", spot: true, origin: "heartbeat" }, at * 1000);
}

test("a machine that is late no longer counts as coming, and counts again once it is up", () => {
	const boots = new ProvisioningTimes(3);
	const late = rented(0);
	assert.equal(boots.isOverdue(late, 60_000), false, "one and a half times the stated time is usual");
	assert.equal(boots.isOverdue(late, 65_000), true);
	assert.equal(boots.isGivenUp(late, 200_000), false, "it may be all of its type");
	assert.equal(boots.isGivenUp(late, 241_000), true, "nobody waits and pays for ever");
	late.lifecycle.setOverdue(true);
	assert.equal(late.countsAsCapacity, false);
	late.agent.heartbeatReceived(heartbeatOf(late), 64_000);
	assert.equal(boots.isOverdue(late, 65_000), false);
	assert.equal(boots.isGivenUp(late, 500_000), false);
});

test("a machine that others of its type overtook goes back; those of another type say nothing", () => {
	const boots = new ProvisioningTimes(3);
	const dead = rented(0);
	boots.noteUp(rented(10, other), 50_000);
	assert.equal(boots.isGivenUp(dead, 85_000), false);
	boots.noteUp(rented(0), 44_000);
	assert.equal(boots.isGivenUp(dead, 79_000), false);
	assert.equal(boots.isGivenUp(dead, 81_000), true);
});

test("where a type boots slowly all its machines are given time, until it boots fast again", () => {
	const boots = new ProvisioningTimes(3);
	boots.noteUp(rented(0), 150_000);
	const next = rented(100);
	assert.equal(boots.isOverdue(next, 270_000), false);
	assert.equal(boots.isOverdue(next, 281_000), true);
	for (let i = 0; i < 8; i++) boots.noteUp(rented(300 + i), 302_000 + i * 1000);
	assert.equal(boots.isOverdue(rented(400), 465_000), true, "what was slow is forgotten");
});
