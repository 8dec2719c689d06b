import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { HeartbeatForwarder } from "../../../src/coordination/workers/heartbeat-forwarder.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import type { PeerMessage } from "../../../src/protocol/peer/messages.js";
import { FakeTime } from "../../support/fake-time.js";
import { forwardedHeartbeat } from "../../support/forwarded-heartbeat.js";
import { silentLog } from "../../support/silent-log.js";

/** Creates a forwarder that follows a leader, and records the messages that it sends. */
function forwarderTo(leader: string, term: number) {
	const time = new FakeTime();
	const sent: { to: string; message: PeerMessage }[] = [];
	const peers = { send: (to: string, message: PeerMessage) => sent.push({ to, message }) };
	const forwarder = new HeartbeatForwarder({ peers, clock: time, log: silentLog });
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
	return { time, sent, forwarder, forward };
}

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
		forwarder.handleResponses("runner-1", 3, [
			{ requestId: secondId, commands: [stop] },
			{ requestId: firstId, commands: null },
		]);
		await time.advance(1);
		assert.deepEqual([first?.commands, second?.commands], [null, [stop]]);
	});

	test("when the leader changes, pending requests are abandoned and responses of the previous leader are dropped", async () => {
		const { time, forwarder, forward } = forwarderTo("runner-1", 3);
		const requestToPreviousLeader = forward();
		forwarder.followLeader("runner-2", 9);
		await time.advance(1);
		assert.equal(requestToPreviousLeader?.commands, null);
		const requestToNextLeader = forward();
		forwarder.handleResponses("runner-1", 3, [{ requestId: 2, commands: [] }]);
		forwarder.handleResponses("runner-1", 9, [{ requestId: 2, commands: [] }]);
		await time.advance(1);
		assert.equal(
			requestToNextLeader?.commands,
			undefined,
			"only the leader that received the request may answer it",
		);
		forwarder.handleResponses("runner-2", 9, [{ requestId: 2, commands: [] }]);
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
});
