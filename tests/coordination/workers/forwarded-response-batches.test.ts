import assert from "node:assert/strict";
import { test } from "node:test";
import { ForwardedResponseBatches } from "../../../src/coordination/workers/forwarded-response-batches.js";
import type { PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";

test("responses for one controller are sent as one message per term, each under the term that issued it", async () => {
	const time = new FakeTime();
	const sent: PeerMessage[] = [];
	const peers = { send: (_to: string, message: PeerMessage) => sent.push(message) };
	const batches = new ForwardedResponseBatches(peers, time);
	batches.add("runner-0", 3, { requestId: 1, commands: [] });
	batches.add("runner-0", 3, { requestId: 2, commands: null });
	batches.add("runner-0", 4, { requestId: 1, commands: [] });
	await time.advance(100);
	assert.deepEqual(sent, [
		{
			kind: "forwarded-responses",
			term: 3,
			responses: [
				{ requestId: 1, commands: [] },
				{ requestId: 2, commands: null },
			],
		},
		{ kind: "forwarded-responses", term: 4, responses: [{ requestId: 1, commands: [] }] },
	]);
});
