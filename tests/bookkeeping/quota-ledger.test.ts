import assert from "node:assert/strict";
import { test } from "node:test";
import { QuotaLedger } from "../../src/bookkeeping/quota-ledger.js";

test("quotas count room by the tighter of cores and accelerators", () => {
	const quotas = new QuotaLedger([{ name: "t", cpus: 8, cpus_max: 16, gpus: 1, gpus_max: 2 }]);
	assert.equal(quotas.room("t", 2, 0, true), 4);
	assert.equal(quotas.room("t", 2, 1, false), 2);
	quotas.add("t", 15, 0);
	assert.equal(quotas.room("t", 2, 0, false), 0);
	assert.equal(quotas.fitsLimit("t", 1, 0), true);
	assert.equal(quotas.fitsLimit("t", 1.5, 0), false);
	assert.equal(quotas.fitsLimit("nobody", 0, 0), false);
});
