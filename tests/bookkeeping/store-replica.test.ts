import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { keys } from "../../src/protocol/records/keys.js";
import { spec } from "../support/reconciliation-setup.js";
import { specOf } from "../support/specs.js";

test("answers of overlapping watches never bring back what has ended", () => {
	const replica = new StoreReplica();
	const record = encodeJobRecord({ spec, acceptedAt: 0 });
	replica.reset([], 5);
	const put = { key: keys.job("j-1"), value: record, revision: 6 };
	const drop = { key: keys.job("j-1"), value: undefined, revision: 8 };
	const final = { key: keys.final("j-1"), value: { status: "done", tasks: 4, done: 4 }, revision: 8 };
	replica.apply([put, drop, final], 8);
	replica.apply([put], 7);
	assert.equal(replica.jobs.has("j-1"), false);
	assert.equal(replica.finalRecords.get("j-1")?.status, "done");
	assert.equal(replica.revision, 8);
	replica.applyConfirmedWrite(keys.job("j-1"), record, 6);
	assert.equal(replica.jobs.has("j-1"), false);
	// Made anew from rows that were read before the job ended.
	replica.reset([{ key: keys.job("j-1"), value: record, revision: 6 }], 7);
	assert.equal(replica.jobs.has("j-1"), false);
});

test("a node names every cancellation since an epoch that it can have told of, or says that it cannot", () => {
	const replica = new StoreReplica();
	const cancelled = (id: string, revision: number) =>
		replica.applyConfirmedWrite(keys.final(id), { status: "cancelled", tasks: 2, done: 0 }, revision);
	assert.equal(replica.cancellationsSince(0), null, "nothing is loaded");
	const record = encodeJobRecord({ spec: specOf("j-000001"), acceptedAt: 0 });
	replica.reset([{ key: keys.job("j-000001"), value: record, revision: 8 }], 10);
	assert.equal(
		replica.cancellationsSince(9),
		null,
		"an earlier process may have told of what came before the load",
	);
	cancelled("j-000001", 12);
	assert.ok(
		!replica.jobs.has("j-000001"),
		"a job whose end is known is not live, whatever the watch has brought",
	);
	cancelled("j-000002", 14);
	const since = (epoch: number) => replica.cancellationsSince(epoch)?.map((job) => job.jobId);
	assert.deepEqual(since(10), ["j-000001", "j-000002"]);
	assert.deepEqual(since(12), ["j-000002"]);
	replica.reset([], 15);
	assert.deepEqual(since(10), ["j-000001", "j-000002"], "a copy made anew forgets nothing that was told");
	for (let i = 0; i < 2000; i++) cancelled(`j-${i + 100}`, 20 + i);
	assert.equal(since(10), undefined, "too many to keep");
	assert.equal(since(19)?.length, 2000);
});
