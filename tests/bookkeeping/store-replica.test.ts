import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { keys } from "../../src/protocol/records/keys.js";
import { spec } from "../support/reconciliation-setup.js";
import { specOf } from "../support/specs.js";

test("a job that has ended does not reappear after outdated changes of overlapping watches, confirmed writes or loads", () => {
	const replica = new StoreReplica();
	const record = encodeJobRecord({ spec, acceptedAt: 0 });
	replica.reset([], 5);
	const put = { key: keys.job("j-1"), value: record, revision: 6 };
	const removal = { key: keys.job("j-1"), value: undefined, revision: 8 };
	const final = { key: keys.final("j-1"), value: { status: "done", tasks: 4, done: 4 }, revision: 8 };
	replica.apply([put, removal, final], 8);
	replica.apply([put], 7);
	assert.equal(replica.jobs.has("j-1"), false);
	assert.equal(replica.finalRecords.get("j-1")?.status, "done");
	assert.equal(replica.revision, 8);
	replica.applyConfirmedWrite(keys.job("j-1"), record, 6);
	assert.equal(replica.jobs.has("j-1"), false);
	// A load of rows that were read before the job ended.
	replica.reset([{ key: keys.job("j-1"), value: record, revision: 6 }], 7);
	assert.equal(replica.jobs.has("j-1"), false);
});

test("cancellationsSince returns every cancellation after a revision, or null if the replica may lack some that the node has reported", () => {
	const replica = new StoreReplica();
	const cancelled = (id: string, revision: number) =>
		replica.applyConfirmedWrite(keys.final(id), { status: "cancelled", tasks: 2, done: 0 }, revision);
	assert.equal(replica.cancellationsSince(0), null, "the replica is not loaded");
	const record = encodeJobRecord({ spec: specOf("j-000001"), acceptedAt: 0 });
	replica.reset([{ key: keys.job("j-000001"), value: record, revision: 8 }], 10);
	assert.equal(
		replica.cancellationsSince(9),
		null,
		"an earlier process may have reported cancellations from before the load",
	);
	cancelled("j-000001", 12);
	assert.ok(
		!replica.jobs.has("j-000001"),
		"a job with a final record is not live, even if the watch has not reported its end",
	);
	cancelled("j-000002", 14);
	const cancelledIdsSince = (revision: number) =>
		replica.cancellationsSince(revision)?.map((job) => job.jobId);
	assert.deepEqual(cancelledIdsSince(10), ["j-000001", "j-000002"]);
	assert.deepEqual(cancelledIdsSince(12), ["j-000002"]);
	replica.reset([], 15);
	assert.deepEqual(cancelledIdsSince(10), ["j-000001", "j-000002"], "a new load keeps the cancellations");
	for (let i = 0; i < 2000; i++) cancelled(`j-${i + 100}`, 20 + i);
	assert.equal(cancelledIdsSince(10), undefined, "the oldest cancellations have been evicted");
	assert.equal(cancelledIdsSince(19)?.length, 2000);
});
