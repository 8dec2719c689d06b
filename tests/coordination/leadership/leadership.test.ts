import assert from "node:assert/strict";
import { test } from "node:test";
import { candidate, inOutage } from "../../support/leadership-candidate.js";

test("a process that starts holds back as long as it may have promised, or until all say that they do not lead", async () => {
	const waits = candidate(["a", "b"]);
	await waits.run(2900);
	assert.deepEqual(waits.won, []);
	await waits.run(500);
	assert.equal(waits.won.length, 1);

	const told = candidate(["a", "b"]);
	told.leadership.handleMessage("a", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "inc",
	});
	await told.run(300);
	assert.deepEqual(told.won, [], "one of two has answered");
	// A late copy of what an earlier process of this node was told: it may have promised since.
	told.leadership.handleMessage("b", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "before",
	});
	await told.run(300);
	assert.deepEqual(told.won, []);
	told.leadership.handleMessage("b", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "inc",
	});
	await told.run(300);
	assert.equal(told.won.length, 1);
});

test("a leader that stood still within its lease acts only on an answer asked for since", async () => {
	const c = candidate(["a", "b"]);
	c.leadership.endStartupHoldoff();
	await c.run(500);
	const epoch = c.won[0] as number;
	await c.time.advance(2100);
	assert.equal(c.leadership.authorizedTerm(), epoch, "by its clock nobody else can lead yet");
	c.leadership.onProcessPause();
	assert.equal(c.leadership.authorizedTerm(), null);
	await c.run(200);
	assert.equal(c.leadership.authorizedTerm(), epoch, "the renewal was answered");

	// Refused by the store, it needs a promise of every other controller that was asked for since.
	c.service.setOutage(true);
	const promise = (from: string, number: number) =>
		c.leadership.handleMessage(from, {
			kind: "lease-extension-vote",
			term: epoch,
			requestNumber: number,
			cancellations: [],
		});
	const asked = () =>
		Math.max(0, ...c.told.map((m) => (m.kind === "lease-extension-request" ? m.requestNumber : 0)));
	await c.run(1200);
	const before = asked();
	for (const node of ["a", "b"]) promise(node, before);
	c.leadership.onProcessPause();
	assert.equal(c.leadership.authorizedTerm(), null, "promises of before the pause");
	await c.run(200);
	assert.ok(asked() > before);
	promise("a", asked());
	assert.equal(c.leadership.authorizedTerm(), null, "one of two");
	promise("b", asked());
	assert.equal(c.leadership.authorizedTerm(), epoch);
});

test("authority without the store ends in bounded time even with all promises", async () => {
	const c = candidate([]);
	c.leadership.endStartupHoldoff();
	await c.run(500);
	c.service.setOutage(true);
	await c.run(19_000);
	assert.notEqual(c.leadership.authorizedTerm(), null);
	await c.run(2_500);
	assert.equal(c.leadership.authorizedTerm(), null);
});

test("a leader whose watch is stuck while its renewals succeed gives up in time", async () => {
	const c = candidate(["a"]);
	c.leadership.endStartupHoldoff();
	await c.run(500);
	await c.run(5000);
	c.copy.stuck = true;
	await c.run(19_500);
	assert.notEqual(c.leadership.authorizedTerm(), null);
	await c.run(1000);
	assert.equal(c.leadership.authorizedTerm(), null);
	assert.deepEqual(c.lost, ["store changes do not arrive"]);
});

test("where cancel_s hardly exceeds a lease a leader that is served still leads, and none without the store", async () => {
	const c = candidate(["a"], 0);
	const { epoch, answer } = await inOutage(c);
	await answer(3500, { a: [] });
	assert.equal(c.leadership.authorizedTerm(), null, "promised or not");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authorizedTerm(), epoch);
	c.copy.stuck = true;
	await c.run(8500);
	assert.equal(c.leadership.authorizedTerm(), null);
});

test("a campaign without an answer is decided by reading the key back", async () => {
	const mine = candidate([]);
	mine.leadership.endStartupHoldoff();
	mine.faults.loseAnswers = true;
	await mine.run(300);
	assert.equal(mine.won[0], mine.service.rows.get("r/one/leader")?.stamp, "the put had been applied");

	const theirs = candidate([]);
	theirs.leadership.endStartupHoldoff();
	theirs.faults.loseAnswers = true;
	const changes = [{ put: "r/one/leader", v: { node: "a" } }];
	// biome-ignore lint/suspicious/noThenProperty: the state service's own word for the changes
	await theirs.service.handle("POST", "/multi", { when: [], then: changes }, "a");
	theirs.leadership.tick(null, true);
	await theirs.time.advance(500);
	assert.deepEqual(theirs.won, [], "the key is another node's");
	assert.deepEqual(theirs.service.rows.get("r/one/leader")?.v, { node: "a" });
});
