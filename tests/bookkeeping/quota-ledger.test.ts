import assert from "node:assert/strict";
import { test } from "node:test";
import { QuotaLedger } from "../../src/bookkeeping/quota-ledger.js";

test("quotas count room by the tighter of cores and accelerators", () => {
	const quotas = new QuotaLedger([
		{ name: "t", guaranteed: { cpus: 8, gpus: 1 }, limit: { cpus: 16, gpus: 2 } },
	]);
	assert.equal(quotas.room({ team: "t", cpus: 2, gpus: 0 }, "guaranteed"), 4);
	assert.equal(quotas.room({ team: "t", cpus: 2, gpus: 1 }, "limit"), 2);
	quotas.take({ team: "t", cpus: 15, gpus: 0 });
	assert.equal(quotas.room({ team: "t", cpus: 2, gpus: 0 }, "limit"), 0);
	assert.equal(quotas.fitsLimit({ team: "t", cpus: 1, gpus: 0 }), true);
	assert.equal(quotas.fitsLimit({ team: "t", cpus: 1.5, gpus: 0 }), false);
	assert.equal(quotas.fitsLimit({ team: "nobody", cpus: 0, gpus: 0 }), false);
});
