import assert from "node:assert/strict";
import { test } from "node:test";
import { candidate, electedInOutage } from "../../support/leadership-candidate.js";

test("a new process campaigns once any vote of the node's earlier process has expired, or all other controllers reply that they do not lead", async () => {
	const unanswered = candidate(["a", "b"]);
	await unanswered.run(2900);
	assert.deepEqual(unanswered.wonTerms, []);
	await unanswered.run(500);
	assert.equal(unanswered.wonTerms.length, 1);

	const answered = candidate(["a", "b"]);
	answered.leadership.handleMessage("a", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "inc",
	});
	await answered.run(300);
	assert.deepEqual(answered.wonTerms, [], "one of two controllers has replied");
	// A late copy of a reply to an earlier process of this node, which may have voted after the reply.
	answered.leadership.handleMessage("b", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "before",
	});
	await answered.run(300);
	assert.deepEqual(answered.wonTerms, []);
	answered.leadership.handleMessage("b", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "inc",
	});
	await answered.run(300);
	assert.equal(answered.wonTerms.length, 1);
});

test("after a process pause a leader has authority only once a renewal or all votes requested since arrive", async () => {
	const controller = candidate(["a", "b"]);
	controller.leadership.endStartupHoldoff();
	await controller.run(500);
	const term = controller.wonTerms[0] as number;
	await controller.time.advance(2100);
	assert.equal(controller.leadership.authorizedTerm(), term, "by its clock its lease is valid");
	controller.leadership.onProcessPause();
	assert.equal(controller.leadership.authorizedTerm(), null);
	await controller.run(200);
	assert.equal(controller.leadership.authorizedTerm(), term, "a renewal succeeded after the pause");

	// In a store outage the leader needs a vote of every other controller that was requested since the pause.
	controller.service.setOutage(true);
	const receiveVote = (from: string, number: number) =>
		controller.leadership.handleMessage(from, {
			kind: "lease-extension-vote",
			term,
			requestNumber: number,
			cancellations: [],
		});
	const latestRequestNumber = () =>
		Math.max(
			0,
			...controller.sentMessages.map((m) => (m.kind === "lease-extension-request" ? m.requestNumber : 0)),
		);
	await controller.run(1200);
	const requestBeforePause = latestRequestNumber();
	for (const node of ["a", "b"]) receiveVote(node, requestBeforePause);
	controller.leadership.onProcessPause();
	assert.equal(controller.leadership.authorizedTerm(), null, "both votes were requested before the pause");
	await controller.run(200);
	assert.ok(latestRequestNumber() > requestBeforePause);
	receiveVote("a", latestRequestNumber());
	assert.equal(controller.leadership.authorizedTerm(), null, "one of two controllers has voted");
	receiveVote("b", latestRequestNumber());
	assert.equal(controller.leadership.authorizedTerm(), term);
});

test("a leader without other controllers loses its authority in a store outage at the staleness bound", async () => {
	const controller = candidate([]);
	controller.leadership.endStartupHoldoff();
	await controller.run(500);
	controller.service.setOutage(true);
	await controller.run(19_000);
	assert.notEqual(controller.leadership.authorizedTerm(), null);
	await controller.run(2_500);
	assert.equal(controller.leadership.authorizedTerm(), null);
});

test("a leader whose watch is stuck while its renewals succeed resigns at the staleness bound", async () => {
	const controller = candidate(["a"]);
	controller.leadership.endStartupHoldoff();
	await controller.run(500);
	await controller.run(5000);
	controller.replica.watchStalled = true;
	await controller.run(19_500);
	assert.notEqual(controller.leadership.authorizedTerm(), null);
	await controller.run(1000);
	assert.equal(controller.leadership.authorizedTerm(), null);
	assert.deepEqual(controller.resignationReasons, ["store changes do not arrive"]);
});

test("if cancel_s hardly exceeds a worker's lease, a leader has authority while the store serves it, but not in an outage", async () => {
	const controller = candidate(["a"], 0);
	const { term, vote } = await electedInOutage(controller);
	await vote(3500, { a: [] });
	assert.equal(controller.leadership.authorizedTerm(), null, "in spite of the vote");
	controller.service.setOutage(false);
	await controller.run(1000);
	assert.equal(controller.leadership.authorizedTerm(), term);
	controller.replica.watchStalled = true;
	await controller.run(8500);
	assert.equal(controller.leadership.authorizedTerm(), null);
});

test("a campaign whose write got no response is decided by reading the leader key back", async () => {
	const applied = candidate([]);
	applied.leadership.endStartupHoldoff();
	applied.faults.dropResponses = true;
	await applied.run(300);
	assert.equal(
		applied.wonTerms[0],
		applied.service.rows.get("r/one/leader")?.stamp,
		"the put had been applied",
	);

	const notApplied = candidate([]);
	notApplied.leadership.endStartupHoldoff();
	notApplied.faults.dropResponses = true;
	const changes = [{ put: "r/one/leader", v: { node: "a" } }];
	// biome-ignore lint/suspicious/noThenProperty: the state service's own word for the changes
	await notApplied.service.handle("POST", "/multi", { when: [], then: changes }, "a");
	notApplied.leadership.tick(null, true);
	await notApplied.time.advance(500);
	assert.deepEqual(notApplied.wonTerms, [], "another node holds the leader key");
	assert.deepEqual(notApplied.service.rows.get("r/one/leader")?.v, { node: "a" });
});
