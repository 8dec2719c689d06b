import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type ResponseEffects, WorkerAgent } from "../../src/bookkeeping/worker-agent.js";
import { heartbeatOf, machineOf } from "../support/machines.js";

const leaseMs = 10_000;

const noEvidence: ResponseEffects = { leaseExpired: false, startMissing: false, startListed: false };
const startMissing: ResponseEffects = { ...noEvidence, startMissing: true };
const startListed: ResponseEffects = { ...noEvidence, startListed: true };

/** An agent that has sent its first heartbeat. */
function runningAgent(agentEpoch = 1): WorkerAgent {
	const agent = new WorkerAgent(0);
	agent.heartbeatReceived(heartbeatOf(machineOf(), { agentEpoch, sequence: 7, endpoint: "n-1:9000" }), 100);
	return agent;
}

describe("a worker agent", () => {
	test("has no epoch, sequence or address before its first heartbeat", () => {
		const agent = new WorkerAgent(50);
		assert.deepEqual([agent.agentEpoch, agent.sequence, agent.endpoint], [0, -1, ""]);
		assert.deepEqual([agent.running, agent.fenced, agent.leaseExpired], [false, false, false]);
		assert.equal(agent.lastHeartbeatAt, Number.NEGATIVE_INFINITY);
		assert.equal(agent.lastResponseAt, 50, "a lease may have been renewed until then");
	});

	test("is running from its first heartbeat on", () => {
		const agent = runningAgent();
		assert.deepEqual([agent.agentEpoch, agent.sequence, agent.endpoint], [1, 7, "n-1:9000"]);
		assert.deepEqual([agent.running, agent.lastHeartbeatAt], [true, 100]);
	});

	test("gets its address from the cloud or a record only if none is known, and from each heartbeat", () => {
		const agent = new WorkerAgent(0);
		agent.setInitialEndpoint("listed:9000");
		agent.setInitialEndpoint("other:9000");
		assert.equal(agent.endpoint, "listed:9000");
		agent.heartbeatReceived(heartbeatOf(machineOf(), { endpoint: "n-1:9000" }), 1);
		agent.setInitialEndpoint("listed:9000");
		assert.equal(agent.endpoint, "n-1:9000");
	});

	test("is fenced once it has shown the leader's token, until its lease expires", () => {
		const agent = runningAgent();
		assert.equal(agent.fenced, false);
		agent.fencingConfirmed();
		agent.fencingConfirmed();
		assert.equal(agent.fenced, true);
		agent.expireLease();
		assert.equal(agent.fenced, false, "with a later epoch it must report the token again");
	});

	test("records the times of its last response and of its last redirect", () => {
		const agent = runningAgent();
		agent.responseSent(300);
		agent.redirectSent(400);
		assert.deepEqual([agent.lastResponseAt, agent.lastRedirectAt], [300, 400]);
	});

	test("counts a response to an outdated heartbeat from the receipt of the latest one, and never backwards", () => {
		const agent = runningAgent();
		agent.outdatedResponseSent();
		assert.equal(agent.lastResponseAt, 100);
		agent.responseSent(300);
		agent.outdatedResponseSent();
		assert.equal(agent.lastResponseAt, 300);
	});
});

describe("the expiry of a worker's lease", () => {
	test("raises the lowest valid epoch above the expired one", () => {
		const agent = runningAgent(3);
		assert.equal(agent.minAgentEpoch, 0);
		agent.expireLease();
		assert.deepEqual([agent.leaseExpired, agent.minAgentEpoch], [true, 4]);
		agent.expireLease();
		assert.equal(agent.minAgentEpoch, 4, "a second expiry changes nothing");
	});

	test("leaves every epoch valid if the worker has sent no heartbeat", () => {
		const agent = new WorkerAgent(0);
		agent.expireLease();
		assert.deepEqual([agent.leaseExpired, agent.minAgentEpoch], [true, 0]);
	});

	test("is cleared by the first heartbeat with a later epoch", () => {
		const agent = runningAgent(3);
		agent.expireLease();
		agent.heartbeatReceived(heartbeatOf(machineOf(), { agentEpoch: 4, sequence: 1 }), 20_000);
		assert.deepEqual([agent.leaseExpired, agent.agentEpoch, agent.minAgentEpoch], [false, 4, 4]);
	});
});

describe("a worker agent is unreachable", () => {
	test("after two ineffective responses in a row", () => {
		const agent = runningAgent();
		agent.updateReachability(startMissing, leaseMs, 1000);
		assert.deepEqual([agent.ineffectiveResponses, agent.unreachableSince], [1, null]);
		agent.updateReachability({ ...noEvidence, leaseExpired: true }, leaseMs, 2000);
		assert.deepEqual([agent.ineffectiveResponses, agent.unreachableSince], [2, 2000]);
		agent.updateReachability(startMissing, leaseMs, 3000);
		assert.equal(agent.unreachableSince, 2000, "unreachable since the second response");
	});

	test("not if a start is listed between the two ineffective responses", () => {
		const agent = runningAgent();
		agent.updateReachability(startMissing, leaseMs, 1000);
		agent.updateReachability(startListed, leaseMs, 2000);
		agent.updateReachability(startMissing, leaseMs, 3000);
		assert.deepEqual([agent.ineffectiveResponses, agent.unreachableSince], [1, null]);
	});

	test("also if a heartbeat without evidence, which does not count itself, comes between two ineffective responses", () => {
		const agent = runningAgent();
		agent.updateReachability(startMissing, leaseMs, 1000);
		agent.updateReachability(noEvidence, leaseMs, 2000);
		assert.equal(agent.unreachableSince, null);
		agent.updateReachability(startMissing, leaseMs, 3000);
		assert.equal(agent.unreachableSince, 3000);
	});

	test("until a start is listed", () => {
		const agent = runningAgent();
		for (const at of [1000, 2000]) agent.updateReachability(startMissing, leaseMs, at);
		agent.updateReachability(startListed, leaseMs, 2500);
		assert.deepEqual([agent.unreachableSince, agent.ineffectiveResponses], [null, 0]);
	});

	test("until its lease has held for 1.5 times the lease duration", () => {
		const agent = runningAgent();
		for (const at of [1000, 2000]) agent.updateReachability(startMissing, leaseMs, at);
		agent.updateReachability(noEvidence, leaseMs, 2000 + 1.5 * leaseMs);
		assert.equal(agent.unreachableSince, 2000);
		agent.updateReachability(noEvidence, leaseMs, 2001 + 1.5 * leaseMs);
		assert.deepEqual([agent.unreachableSince, agent.ineffectiveResponses], [null, 0]);
	});

	test("until assumeReachable is called, when the fault is more likely on the leader's side", () => {
		const agent = runningAgent();
		for (const at of [1000, 2000]) agent.updateReachability(startMissing, leaseMs, at);
		agent.assumeReachable();
		assert.deepEqual([agent.unreachableSince, agent.ineffectiveResponses], [null, 0]);
		agent.assumeReachable();
		agent.updateReachability(startMissing, leaseMs, 3000);
		assert.equal(agent.unreachableSince, null, "a single response may be lost");
	});
});
