import assert from "node:assert/strict";
import { test } from "node:test";
import { candidate, electedInOutage } from "../../support/leadership-candidate.js";

test("a controller that has voted does not campaign until its vote has expired", async () => {
	const controller = candidate(["a"]);
	controller.leadership.endStartupHoldoff();
	controller.service.setOutage(true);
	controller.leadership.handleMessage("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await controller.time.advance(100);
	assert.deepEqual(controller.sentMessages.at(-1), {
		kind: "lease-extension-vote",
		term: 9,
		requestNumber: 1,
	});
	controller.service.setOutage(false);
	await controller.run(2700);
	assert.deepEqual(controller.wonTerms, []);
	await controller.run(1000);
	assert.equal(controller.wonTerms.length, 1);
});

test("a controller that the store serves does not vote", async () => {
	const controller = candidate(["a"]);
	controller.leadership.endStartupHoldoff();
	controller.leadership.handleMessage("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await controller.time.advance(500);
	assert.deepEqual(controller.sentMessages, []);
});

test("authority outlasts the lease only while every other controller votes", async () => {
	const controller = candidate(["a", "b"]);
	controller.leadership.endStartupHoldoff();
	await controller.run(500);
	const term = controller.wonTerms[0] as number;
	assert.equal(controller.leadership.authorizedTerm(), term);
	controller.service.setOutage(true);
	const answerRequests = async (ms: number, from: string[]) => {
		for (let t = 0; t < ms; t += 100) {
			await controller.run(100);
			for (const request of controller.sentMessages.splice(0)) {
				if (request.kind !== "lease-extension-request") continue;
				for (const node of from)
					controller.leadership.handleMessage(node, {
						kind: "lease-extension-vote",
						term,
						requestNumber: request.requestNumber,
					});
			}
		}
	};
	await answerRequests(8000, ["a", "b"]);
	assert.equal(controller.leadership.authorizedTerm(), term, "8 s into an outage, with all votes");
	await answerRequests(4000, ["a"]);
	assert.equal(controller.leadership.authorizedTerm(), null, "b has stopped voting");
	controller.service.setOutage(false);
	await controller.run(1000);
	assert.equal(
		controller.leadership.authorizedTerm(),
		term,
		"after the outage the store renews the lease again",
	);
});

test("votes do not restore authority once it has lapsed; a renewal does", async () => {
	const controller = candidate(["a", "b"]);
	const { term, vote } = await electedInOutage(controller);
	await vote(4000, {});
	assert.equal(controller.leadership.authorizedTerm(), null, "no controller has voted");
	await vote(2000, { a: [], b: [] });
	assert.equal(
		controller.leadership.authorizedTerm(),
		null,
		"an earlier process of a voter may have led since",
	);
	controller.service.setOutage(false);
	await controller.run(1000);
	assert.equal(controller.leadership.authorizedTerm(), term);
});

test("votes that list every cancellation extend authority through an outage of any length", async () => {
	const controller = candidate(["a", "b"]);
	const { term, vote } = await electedInOutage(controller);
	await vote(30_000, { a: [], b: [{ jobId: "j-000007", revision: 9, taskCount: 1, doneCount: 0 }] });
	assert.equal(controller.leadership.authorizedTerm(), term, "30 s, with a staleness bound of 20 s");
	assert.ok(controller.recordedCancellations.includes("j-000007"));
	// From here on b's votes list no cancellations, so the staleness bound counts from here.
	await vote(19_000, { a: [], b: undefined });
	assert.equal(controller.leadership.authorizedTerm(), term);
	await vote(2000, { a: [], b: undefined });
	assert.equal(controller.leadership.authorizedTerm(), null);
});
