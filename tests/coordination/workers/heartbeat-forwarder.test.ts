import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { HeartbeatForwarder } from "../../../src/coordination/workers/heartbeat-forwarder.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import type { ForwardedResponse, PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";
import { forwardedHeartbeat } from "../../support/forwarded-heartbeat.js";
import { silentLog } from "../../support/silent-log.js";

/** Creates a forwarder that follows a leader, and records the messages that it sends. */
function forwarderTo(leader: string, term: number, incarnation = "a") {
	const time = new FakeTime();
	const sent: { to: string; message: PeerMessage }[] = [];
	const peers = { send: (to: string, message: PeerMessage) => sent.push({ to, message }) };
	const forwarder = new HeartbeatForwarder({ incarnation, peers, clock: time, log: silentLog });
	forwarder.followLeader(leader, term);
	/** Forwards a heartbeat. The commands are undefined until the response arrives. */
	const forward = () => {
		const result: { commands?: WorkerCommand[] | null } = {};
		const response = forwarder.forward(forwardedHeartbeat);
		response?.then((commands) => {
			result.commands = commands;
		});
		return response && result;
	};
	/** Request ids of the forwarded heartbeats, in the order of sending. */
	const sentRequestIds = () =>
		sent.flatMap(({ message }) =>
			message.kind === "forwarded-heartbeats" ? message.heartbeats.map(({ requestId }) => requestId) : [],
		);
	/** Receives a response to a process of the node, by default to this one. */
	const receive = (from: string, responseTerm: number, response: ForwardedResponse, process = incarnation) =>
		forwarder.handleResponses(from, {
			kind: "forwarded-responses",
			term: responseTerm,
			incarnation: process,
			responses: [response],
		});
	return { time, sent, sentRequestIds, forwarder, forward, receive };
}

const start: WorkerCommand = { kind: "start", jobId: "j-1", taskIndex: 4, attempt: 1 };

describe("forwarding heartbeats to the leader", () => {
	test("heartbeats that arrive together are sent as one message, and each gets its own response", async () => {
		const { time, sent, forwarder, forward } = forwarderTo("runner-1", 3);
		const [first, second] = [forward(), forward()];
		await time.advance(100);
		assert.equal(sent.length, 1);
		assert.ok(sent[0]);
		const { to, message } = sent[0];
		assert.ok(to === "runner-1" && message.kind === "forwarded-heartbeats" && message.term === 3);
		const [firstId, secondId] = message.heartbeats.map(({ requestId }) => requestId);
		assert.ok(firstId !== undefined && secondId !== undefined && message.heartbeats.length === 2);
		const stop: WorkerCommand = { kind: "stop", jobId: "j-1", taskIndex: 4, attempt: 1, graceS: 0 };
		const responses = [
			{ requestId: secondId, commands: [stop] },
			{ requestId: firstId, commands: null },
		];
		forwarder.handleResponses("runner-1", {
			kind: "forwarded-responses",
			term: 3,
			incarnation: "a",
			responses,
		});
		await time.advance(1);
		assert.deepEqual([first?.commands, second?.commands], [null, [stop]]);
	});

	test("when the leader changes, pending requests are abandoned and responses of the previous leader are dropped", async () => {
		const { time, sentRequestIds, forwarder, forward, receive } = forwarderTo("runner-1", 3);
		const requestToPreviousLeader = forward();
		forwarder.followLeader("runner-2", 9);
		await time.advance(1);
		assert.equal(requestToPreviousLeader?.commands, null);
		const requestToNextLeader = forward();
		await time.advance(100);
		const requestId = sentRequestIds().at(-1) as number;
		receive("runner-1", 3, { requestId, commands: [] });
		receive("runner-1", 9, { requestId, commands: [] });
		await time.advance(1);
		assert.equal(
			requestToNextLeader?.commands,
			undefined,
			"only the leader that received the request may answer it",
		);
		receive("runner-2", 9, { requestId, commands: [] });
		await time.advance(1);
		assert.deepEqual(requestToNextLeader?.commands, []);
	});

	test("a request without a response is abandoned before its worker times out, and nothing is forwarded for 3 s", async () => {
		const { time, forwarder, forward } = forwarderTo("runner-1", 3);
		const unanswered = forward();
		for (let elapsedMs = 0; elapsedMs <= 3900; elapsedMs += 100) {
			await time.advance(100);
			forwarder.tick();
		}
		assert.equal(unanswered?.commands, null);
		assert.equal(forward(), null);
		await time.advance(3000);
		assert.notEqual(forward(), null);
	});

	// review/1: the next process of a node took a response to the last one for its own.
	test("a response to an earlier process of the node is dropped, whatever its request id", async () => {
		const { time, sentRequestIds, forward, receive } = forwarderTo("runner-1", 3, "b");
		const request = forward();
		await time.advance(100);
		const requestId = sentRequestIds()[0] as number;
		receive("runner-1", 3, { requestId, commands: [start] }, "a");
		await time.advance(1);
		assert.equal(request?.commands, undefined);
		receive("runner-1", 3, { requestId, commands: [] }, "b");
		await time.advance(1);
		assert.deepEqual(request?.commands, []);
	});

	// Leaders of versions up to 0.8.0 return the request id alone.
	test("no request id of a process is one of an earlier process of the node", async () => {
		const processes = ["a", "b", "c"].map((incarnation) => forwarderTo("runner-1", 3, incarnation));
		for (const { time, forward } of processes) {
			for (let i = 0; i < 1000; i++) forward();
			await time.advance(100);
		}
		const requestIds = processes.flatMap(({ sentRequestIds }) => sentRequestIds());
		assert.equal(requestIds.length, 3000);
		assert.equal(new Set(requestIds).size, 3000);
		assert.ok(requestIds.every(Number.isSafeInteger));
	});
});
