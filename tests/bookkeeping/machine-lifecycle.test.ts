import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MachineLifecycle } from "../../src/bookkeeping/machine-lifecycle.js";

describe("the origin of a machine", () => {
	test("says whether this leader had it created, and whether its record is stored", () => {
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

	test("is the cloud's list alone until the worker sends a heartbeat", () => {
		const listed = new MachineLifecycle("listed", 0);
		assert.equal(listed.onlyListed, true);
		listed.heartbeatReceived(null);
		assert.equal(listed.onlyListed, false);
		for (const origin of ["created", "heartbeat", "record"] as const)
			assert.equal(new MachineLifecycle(origin, 0).onlyListed, false);
	});
});

describe("the life of a machine", () => {
	test("is recorded once the store has confirmed it, and stays so", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.markRecorded();
		lifecycle.markRecorded();
		assert.equal(lifecycle.recorded, true);
	});

	test("is overdue until the machine's first heartbeat", () => {
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

	test("may begin to drain and be wanted again, any number of times", () => {
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

	test("ends with the request to delete it, and there is no way back", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		lifecycle.startDeleting();
		lifecycle.startDeleting();
		lifecycle.cancelDraining();
		lifecycle.heartbeatReceived(null);
		lifecycle.markRecorded();
		assert.equal(lifecycle.deleting, true);
	});

	test("has the time at which the cloud reclaims it as the latest heartbeat says", () => {
		const lifecycle = new MachineLifecycle("created", 0);
		assert.equal(lifecycle.reclaimAt, null);
		lifecycle.heartbeatReceived(5000);
		assert.equal(lifecycle.reclaimAt, 5000);
		lifecycle.heartbeatReceived(null);
		assert.equal(lifecycle.reclaimAt, null);
	});
});
