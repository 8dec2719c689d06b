import assert from "node:assert/strict";
import { test } from "node:test";
import {
	ForwardedResponseBatches,
	HeartbeatForwarder,
} from "../../../src/coordination/workers/heartbeat-forwarding.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import type { PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";
import { report } from "../../support/forwarded-heartbeat.js";

function relayTo(leader: string, epoch: number) {
	const time = new FakeTime();
	const sent: { to: string; message: PeerMessage }[] = [];
	const peers = {
		send: (to: string, message: unknown) => sent.push({ to, message: message as PeerMessage }),
	};
	const relay = new HeartbeatForwarder(peers, time);
	relay.newLeader(leader, epoch);
	/** What came of a report: undefined while it waits. */
	const pass = () => {
		const result: { orders?: WorkerCommand[] | null } = {};
		const taken = relay.forward(report);
		taken?.then((orders) => {
			result.orders = orders;
		});
		return taken && result;
	};
	return { time, sent, relay, pass, peers };
}

test("reports of one moment go to the leader as one message, and each gets its own answer", async () => {
	const { time, sent, relay, pass } = relayTo("runner-1", 3);
	const [one, two] = [pass(), pass()];
	await time.advance(100);
	assert.equal(sent.length, 1);
	const { to, message } = sent[0] as { to: string; message: PeerMessage };
	assert.ok(to === "runner-1" && message.kind === "forwarded-heartbeats" && message.term === 3);
	const numbers = message.heartbeats.map(({ requestId }) => requestId);
	const stop: WorkerCommand = { kind: "stop", jobId: "j-1", taskIndex: 4, attempt: 1, graceS: 0 };
	relay.handleResponses("runner-1", 3, [
		{ requestId: numbers[1] as number, commands: [stop] },
		{ requestId: numbers[0] as number, commands: null },
	]);
	await time.advance(1);
	assert.deepEqual([one?.orders, two?.orders], [null, [stop]]);
});

test("answers of a leader that was replaced are dropped, and whoever waits for one is set free", async () => {
	const { time, relay, pass } = relayTo("runner-1", 3);
	const before = pass();
	relay.newLeader("runner-2", 9);
	await time.advance(1);
	assert.equal(before?.orders, null);
	const after = pass();
	relay.handleResponses("runner-1", 3, [{ requestId: 2, commands: [] }]);
	relay.handleResponses("runner-1", 9, [{ requestId: 2, commands: [] }]);
	await time.advance(1);
	assert.equal(after?.orders, undefined, "only the leader asked may answer");
	relay.handleResponses("runner-2", 9, [{ requestId: 2, commands: [] }]);
	await time.advance(1);
	assert.deepEqual(after?.orders, []);
});

test("a report without an answer is given up before its worker does, and nothing is passed on for a while", async () => {
	const { time, relay, pass } = relayTo("runner-1", 3);
	const lost = pass();
	for (let at = 0; at <= 3900; at += 100) {
		await time.advance(100);
		relay.tick();
	}
	assert.equal(lost?.orders, null);
	assert.equal(pass(), null);
	await time.advance(3000);
	assert.notEqual(pass(), null);
});

test("answers to one relay go together, each under the epoch that it was decided in", async () => {
	const { time, sent, peers } = relayTo("runner-1", 3);
	const answers = new ForwardedResponseBatches(peers, time);
	answers.add("runner-0", 3, { requestId: 1, commands: [] });
	answers.add("runner-0", 3, { requestId: 2, commands: null });
	answers.add("runner-0", 4, { requestId: 1, commands: [] });
	await time.advance(100);
	assert.deepEqual(
		sent.map(({ message }) => message),
		[
			{
				kind: "forwarded-responses",
				term: 3,
				responses: [
					{ requestId: 1, commands: [] },
					{ requestId: 2, commands: null },
				],
			},
			{ kind: "forwarded-responses", term: 4, responses: [{ requestId: 1, commands: [] }] },
		],
	);
});
