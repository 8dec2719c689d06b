import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { QuotaLedger } from "../../src/bookkeeping/quota-ledger.js";

const quota = { name: "t", guaranteed: { cpus: 8, gpus: 1 }, limit: { cpus: 16, gpus: 2 } };
const demand = (cpus: number, gpus: number, team = "t") => ({ team, cpus, gpus });

describe("the quota of a team", () => {
	test("has headroom for as many tasks as the scarcer of CPUs and accelerators allows", () => {
		const quotas = new QuotaLedger([quota]);
		assert.equal(quotas.taskHeadroom(demand(2, 0), "guaranteed"), 4);
		assert.equal(quotas.taskHeadroom(demand(2, 1), "limit"), 2);
		quotas.allocate(demand(15, 0));
		assert.equal(quotas.taskHeadroom(demand(2, 0), "limit"), 0);
		assert.equal(quotas.fitsLimit(demand(1, 0)), true);
		assert.equal(quotas.fitsLimit(demand(1.5, 0)), false);
		assert.equal(quotas.fitsLimit(demand(0, 0, "nobody")), false);
	});

	test("has less headroom by the pending usage", () => {
		const quotas = new QuotaLedger([quota]);
		assert.equal(quotas.taskHeadroom(demand(2, 0), "limit", { cpus: 4, gpus: 0 }), 6);
		assert.equal(quotas.taskHeadroom(demand(2, 0), "guaranteed", { cpus: 9, gpus: 0 }), 0);
	});

	test("with an infinite limit has infinite headroom within the limit but a bounded one within the guarantee", () => {
		const unlimited = { cpus: Number.POSITIVE_INFINITY, gpus: Number.POSITIVE_INFINITY };
		const quotas = new QuotaLedger([{ ...quota, limit: unlimited }]);
		quotas.allocate(demand(1000, 0));
		assert.equal(quotas.fitsLimit(demand(1000, 0)), true);
		assert.equal(quotas.taskHeadroom(demand(1, 0), "limit"), Number.POSITIVE_INFINITY);
		assert.equal(quotas.taskHeadroom(demand(1, 0), "guaranteed"), 0);
	});

	test("counts a task until it is released, and the usage never becomes negative", () => {
		const quotas = new QuotaLedger([quota]);
		quotas.allocate(demand(3, 1));
		quotas.allocate(demand(4, 0));
		assert.deepEqual(quotas.usage("t"), { cpus: 7, gpus: 1 });
		quotas.release(demand(3, 1));
		assert.deepEqual(quotas.usage("t"), { cpus: 4, gpus: 0 });
		quotas.release(demand(4.0000001, 0));
		assert.deepEqual(quotas.usage("t"), { cpus: 0, gpus: 0 });
	});

	test("can be replaced for teams in the platform's settings, and is ignored for others", () => {
		const quotas = new QuotaLedger([quota]);
		const lower = { ...quota, limit: { cpus: 8, gpus: 2 } };
		quotas.setQuota(lower);
		quotas.setQuota({ ...quota, name: "other" });
		assert.equal(quotas.quotaOf("t"), lower);
		assert.equal(quotas.quotaOf("other"), undefined);
		assert.deepEqual([...quotas.teams], ["t"]);
		assert.equal(quotas.fitsLimit(demand(9, 0)), false);
	});
});
