import assert from "node:assert/strict";
import { test } from "node:test";
import { candidate, inOutage } from "../../support/leadership-candidate.js";

test("a candidate that promised does not campaign until its promise has run out", async () => {
	const c = candidate(["a"]);
	c.leadership.endStartupHoldoff();
	c.service.setOutage(true);
	c.leadership.handleMessage("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await c.time.advance(100);
	assert.deepEqual(c.told.at(-1), { kind: "lease-extension-vote", term: 9, requestNumber: 1 });
	c.service.setOutage(false);
	await c.run(2700);
	assert.deepEqual(c.won, []);
	await c.run(1000);
	assert.equal(c.won.length, 1);
});

test("no promise is given by a node that the store serves", async () => {
	const c = candidate(["a"]);
	c.leadership.endStartupHoldoff();
	c.leadership.handleMessage("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await c.time.advance(500);
	assert.deepEqual(c.told, []);
});

test("authority outlasts the lease only while every other controller has promised", async () => {
	const c = candidate(["a", "b"]);
	c.leadership.endStartupHoldoff();
	await c.run(500);
	const epoch = c.won[0] as number;
	assert.equal(c.leadership.authorizedTerm(), epoch);
	c.service.setOutage(true);
	const answerAsks = async (ms: number, from: string[]) => {
		for (let t = 0; t < ms; t += 100) {
			await c.run(100);
			for (const ask of c.told.splice(0)) {
				if (ask.kind !== "lease-extension-request") continue;
				for (const node of from)
					c.leadership.handleMessage(node, {
						kind: "lease-extension-vote",
						term: epoch,
						requestNumber: ask.requestNumber,
					});
			}
		}
	};
	await answerAsks(8000, ["a", "b"]);
	assert.equal(c.leadership.authorizedTerm(), epoch, "8 s into an outage, with all promises");
	await answerAsks(4000, ["a"]);
	assert.equal(c.leadership.authorizedTerm(), null, "b has promised no more");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authorizedTerm(), epoch, "its lease had its full time again after the outage");
});

test("promises do not bring authority back once it has lapsed; a renewal does", async () => {
	const c = candidate(["a", "b"]);
	const { epoch, answer } = await inOutage(c);
	await answer(4000, {});
	assert.equal(c.leadership.authorizedTerm(), null, "nobody promised");
	await answer(2000, { a: [], b: [] });
	assert.equal(c.leadership.authorizedTerm(), null, "one of them may have led and ended since");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authorizedTerm(), epoch);
});

test("promises that name every cancellation carry authority through an outage of any length", async () => {
	const c = candidate(["a", "b"]);
	const { epoch, answer } = await inOutage(c);
	await answer(30_000, { a: [], b: [{ jobId: "j-000007", revision: 9, taskCount: 1, doneCount: 0 }] });
	assert.equal(c.leadership.authorizedTerm(), epoch, "30 s, though unknowing for at most 20 s");
	assert.ok(c.learnt.includes("j-000007"));
	// From here on b cannot say what it told its users: the time since counts as unknowing.
	await answer(19_000, { a: [], b: undefined });
	assert.equal(c.leadership.authorizedTerm(), epoch);
	await answer(2000, { a: [], b: undefined });
	assert.equal(c.leadership.authorizedTerm(), null);
});
