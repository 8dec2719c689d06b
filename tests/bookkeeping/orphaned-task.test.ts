import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { OrphanedTask } from "../../src/bookkeeping/orphaned-task.js";

const ref = { jobId: "j-1", taskIndex: 3, attempt: 7 };

describe("an orphaned task", () => {
	test("has no demand and no charge until they are set", () => {
		const task = new OrphanedTask(ref);
		assert.deepEqual([task.demand, task.charge], [null, null]);
		const demand = { team: "red", cpus: 2, gpus: 0 };
		task.setDemand(demand, null);
		assert.deepEqual([task.demand, task.charge], [demand, null], "team quota is not in use");
		const charge = { team: "red", node: "runner-0", amount: { cpus: 2000, gpus: 0 } };
		task.setDemand(demand, charge);
		assert.deepEqual([task.demand, task.charge], [demand, charge]);
	});

	test("is the same attempt as a reference with the same job, task and attempt number", () => {
		const task = new OrphanedTask(ref);
		assert.equal(task.isSameAttempt({ ...ref }), true);
		assert.equal(task.isSameAttempt({ ...ref, jobId: "j-2" }), false);
		assert.equal(task.isSameAttempt({ ...ref, taskIndex: 4 }), false);
		assert.equal(task.isSameAttempt({ ...ref, attempt: 8 }), false);
	});
});
