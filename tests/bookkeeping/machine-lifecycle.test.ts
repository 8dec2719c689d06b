import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MachineLifecycle } from "../../src/bookkeeping/machine-lifecycle.js";

describe("the origin of a machine", () => {
	test("determines whether this leader created the machine and whether its record is stored", () => {
		const origins = ["created", "listed", "heartbeat", "record"] as const;
		const lifecycles = origins.map((origin) => new MachineLifecycle(origin, 100));
		assert.deepEqual(
			lifecycles.map(({ createdByThisLeader }) => createdByThisLeader),
			[true, false, false, false],
		);
		assert.deepEqual(
			lifecycles.map(({ recorded }) => recorded),
			[false, false, false, true],
		);
		for (const lifecycle of lifecycles) assert.equal(lifecycle.requestedAt, 100);
	});

	test("of a listed machine is the cloud's list alone until the worker sends a heartbeat", () => {
		const listed = new MachineLifecycle("listed", 0);
		assert.equal(listed.onlyListed, true);
		listed.heartbeatReceived(null);
		assert.equal(listed.onlyListed, false);
		for (const origin of ["created", "heartbeat", "record"] as const)
			assert.equal(new MachineLifecycle(origin, 0).onlyListed, false);
	});
});

describe("the lifecycle of a machine", () => {
	test("has a stored record once the store has confirmed it", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.markRecorded();
		lifecycle.markRecorded();
		assert.equal(lifecycle.recorded, true);
	});

	test("can be overdue, until a heartbeat arrives or the overdue flag is cleared", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.setOverdue(true);
		lifecycle.setOverdue(true);
		assert.equal(lifecycle.overdue, true);
		lifecycle.heartbeatReceived(null);
		assert.equal(lifecycle.overdue, false);
		lifecycle.setOverdue(true);
		lifecycle.setOverdue(false);
		assert.equal(lifecycle.overdue, false);
	});

	test("can start and cancel draining any number of times", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.cancelDraining();
		assert.equal(lifecycle.draining, false);
		for (let i = 0; i < 2; i++) {
			lifecycle.startDraining();
			lifecycle.startDraining();
			assert.equal(lifecycle.draining, true);
			lifecycle.cancelDraining();
			assert.equal(lifecycle.draining, false);
		}
	});

	test("stays deleting once the deletion is requested", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.startDeleting();
		lifecycle.startDeleting();
		lifecycle.cancelDraining();
		lifecycle.heartbeatReceived(null);
		lifecycle.markRecorded();
		assert.equal(lifecycle.deleting, true);
	});

	test("has the reclaim time of the latest heartbeat", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		assert.equal(lifecycle.reclaimAt, null);
		lifecycle.heartbeatReceived(5000);
		assert.equal(lifecycle.reclaimAt, 5000);
		lifecycle.heartbeatReceived(null);
		assert.equal(lifecycle.reclaimAt, null);
	});
});
