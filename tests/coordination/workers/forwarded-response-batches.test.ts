import assert from "node:assert/strict";
import { test } from "node:test";
import {
	ForwardedResponseBatches,
	type ResponseRecipient,
} from "../../../src/coordination/workers/forwarded-response-batches.js";
import type { ForwardedResponse, PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";

/** Adds responses, and returns the messages that are sent. */
async function messagesOf(added: [ResponseRecipient, ForwardedResponse][]): Promise<PeerMessage[]> {
	const time = new FakeTime();
	const sent: PeerMessage[] = [];
	const peers = { send: (_to: string, message: PeerMessage) => sent.push(message) };
	const batches = new ForwardedResponseBatches(peers, time);
	for (const [recipient, response] of added) batches.add(recipient, response);
	await time.advance(100);
	return sent;
}

test("responses for one controller are sent as one message per term, each under the term that issued it", async () => {
	const recipient = { node: "runner-0", incarnation: "a" };
	const sent = await messagesOf([
		[
			{ ...recipient, term: 3 },
			{ requestId: 1, commands: [] },
		],
		[
			{ ...recipient, term: 3 },
			{ requestId: 2, commands: null },
		],
		[
			{ ...recipient, term: 4 },
			{ requestId: 1, commands: [] },
		],
	]);
	assert.deepEqual(sent, [
		{
			kind: "forwarded-responses",
			term: 3,
			incarnation: "a",
			responses: [
				{ requestId: 1, commands: [] },
				{ requestId: 2, commands: null },
			],
		},
		{ kind: "forwarded-responses", term: 4, incarnation: "a", responses: [{ requestId: 1, commands: [] }] },
	]);
});

test("responses to two processes of a node, one of them unnamed, are sent as one message each", async () => {
	const recipient = { node: "runner-0", term: 3 };
	const sent = await messagesOf([
		[
			{ ...recipient, incarnation: "a" },
			{ requestId: 1, commands: [] },
		],
		[
			{ ...recipient, incarnation: "b" },
			{ requestId: 1, commands: [] },
		],
		[
			{ ...recipient, incarnation: undefined },
			{ requestId: 1, commands: null },
		],
	]);
	const message = { kind: "forwarded-responses", term: 3 };
	assert.deepEqual(sent, [
		{ ...message, incarnation: "a", responses: [{ requestId: 1, commands: [] }] },
		{ ...message, incarnation: "b", responses: [{ requestId: 1, commands: [] }] },
		{ ...message, incarnation: undefined, responses: [{ requestId: 1, commands: null }] },
	]);
});
