import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { encodePeerMessage } from "../../src/protocol/peer/codec.js";
import { encodeFrame } from "../../src/transport/peers/frame.js";
import { maxLinkBytes } from "../support/large-fleets.js";

test("final records are kept as long as the store's write rate asks, and a vote with all of them is a message that links take", () => {
	const changesPerS = 400;
	const replica = new StoreReplica(() => assert.fail("malformed"), changesPerS);
	replica.reset([], 1);
	const finalRecords = (changesPerS / 2) * 300;
	for (let i = 0; i < finalRecords; i++) {
		const value = { status: "cancelled", tasks: 1, done: 0, demand: { team: "red", cpus: 1, gpus: 0 } };
		replica.apply([{ key: `r/fin/j-${String(i).padStart(6, "0")}`, value, revision: i + 2 }], i + 2);
	}
	assert.equal(
		replica.cancellationsSince(1)?.length,
		finalRecords,
		"five minutes of nothing but cancellations",
	);
	// A leader asks for what came after the revision that it knows, which is seconds old.
	const recent = replica.cancellationsSince(finalRecords + 1 - (changesPerS / 2) * 30) ?? [];
	const cancellations = recent.map(({ jobId, record, revision }) => ({
		jobId,
		revision,
		taskCount: record.taskCount,
		doneCount: record.doneCount,
	}));
	assert.equal(cancellations.length, (changesPerS / 2) * 30);
	const vote = { kind: "lease-extension-vote", term: 1, requestNumber: 1, cancellations } as const;
	assert.ok(encodeFrame(encodePeerMessage(vote)).length < maxLinkBytes / 4);
});
