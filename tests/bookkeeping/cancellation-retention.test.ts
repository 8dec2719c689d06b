import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { encodePeerMessage } from "../../src/protocol/peer/codec.js";
import { encodeFrame } from "../../src/transport/peers/frame.js";
import { maxLinkBytes } from "../support/large-fleets.js";

test("cancellations of five minutes at the store's maximum write rate are retained, and a vote that lists those of 30 s fits into a peer message", () => {
	const maxChangesPerS = 400;
	const replica = new StoreReplica(() => assert.fail("malformed"), maxChangesPerS);
	replica.reset([], 1);
	const cancellationCount = (maxChangesPerS / 2) * 300;
	for (let i = 0; i < cancellationCount; i++) {
		const value = { status: "cancelled", tasks: 1, done: 0, demand: { team: "red", cpus: 1, gpus: 0 } };
		replica.apply([{ key: `r/fin/j-${String(i).padStart(6, "0")}`, value, revision: i + 2 }], i + 2);
	}
	assert.equal(
		replica.cancellationsSince(1)?.length,
		cancellationCount,
		"five minutes in which every write is a cancellation",
	);
	// A leader requests the cancellations after the revision of its own replica, which is a few seconds old.
	const recent = replica.cancellationsSince(cancellationCount + 1 - (maxChangesPerS / 2) * 30) ?? [];
	const cancellations = recent.map(({ jobId, record, revision }) => ({
		jobId,
		revision,
		taskCount: record.taskCount,
		doneCount: record.doneCount,
	}));
	assert.equal(cancellations.length, (maxChangesPerS / 2) * 30);
	const vote = { kind: "lease-extension-vote", term: 1, requestNumber: 1, cancellations } as const;
	assert.ok(encodeFrame(encodePeerMessage(vote)).length < maxLinkBytes / 4);
});
