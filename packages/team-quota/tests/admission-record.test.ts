import assert from "node:assert/strict";
import { test } from "node:test";
import { allot, newRecord } from "../src/record.js";
import { AdmissionRecord } from "./support/admission-record.js";
import { findViolations, type History } from "./support/history.js";
import { StoredAllotments } from "./support/stored-allotments.js";

const admittedAt = 100;
const expiresAt = 700;

function admit(): AdmissionRecord {
	const record = new AdmissionRecord("t1", "red", { cpus: 1000, gpus: 0 }, admittedAt);
	record.expiresAt = expiresAt;
	return record;
}

function violationsOf(record: AdmissionRecord): string[] {
	const limit = { team: "red", at: 0, limit: [2000, 0], guarantee: [0, 0] } as const;
	const history: History = {
		tasks: [record.toHistory(1000)],
		refusals: [],
		limitChanges: [limit],
		maxInformationAgeMs: 0,
	};
	return findViolations(history);
}

// Guards against seeds 321 and 359 of the simulation: a lost proposal of an ended process counted until the expiry.
test("an admission of an ended process counts until no copy can be delivered and its stored allotment is removed", () => {
	const lost = admit();
	lost.admittingProcessEnded(150);
	assert.equal(lost.toHistory(1000).endedAt, expiresAt, "its allotment is stored as before");
	lost.storedAllotmentRemoved(300);
	assert.equal(lost.toHistory(1000).endedAt, 300);
	const inFlight = admit();
	inFlight.copySent();
	inFlight.copySent();
	inFlight.admittingProcessEnded(150);
	inFlight.storedAllotmentRemoved(180);
	inFlight.copyGone(200);
	assert.equal(inFlight.toHistory(250).endedAt, 250, "the second copy may still start the task");
	inFlight.copyGone(300);
	assert.equal(inFlight.toHistory(1000).endedAt, 300);
});

// Guards against seeds 711 and 2132 of the simulation: a settled admission counted until its holder heard of that.
test("an admission settled by a later reply counts until a write after that takes its amount off the allotment", () => {
	const record = admit();
	record.sentWith(7);
	record.copySent();
	record.replyDelivered(6, 120);
	record.replyDelivered(7, 130);
	record.releaseIfUnableToStart(140);
	assert.equal(
		record.toHistory(1000).endedAt,
		expiresAt,
		"only an earlier reply, and its own, were delivered",
	);
	record.replyDelivered(8, 150);
	assert.equal(record.toHistory(1000).endedAt, expiresAt, "nothing was written since");
	record.releaseIfUnableToStart(160);
	assert.equal(record.toHistory(1000).endedAt, 160);
	record.recordStart(170);
	assert.deepEqual(violationsOf(record), ["170 red: t1 started, but was unable to start since 150"]);
});

test("a write releases no more settled admissions than the amount that it takes off", () => {
	const allotments = new StoredAllotments();
	const write = (cpus: number, now: number) => {
		const limits = { limit: { cpus: 9000, gpus: 0 }, guarantee: { cpus: 0, gpus: 0 } };
		const empty = newRecord("red", limits);
		allotments.recordWrite(allot(empty, "b", "p1", { cpus, gpus: 0 }), now);
	};
	write(4000, 90);
	const records = [admit(), admit(), admit()];
	for (const record of records) {
		allotments.recordAdmission("p1", record);
		record.sentWith(1);
		record.replyDelivered(2, 110);
	}
	write(2500, 120);
	const endsOf = () => records.map((record) => record.toHistory(1000).endedAt);
	assert.deepEqual(endsOf(), [120, 120, expiresAt]);
	write(3500, 130);
	assert.deepEqual(endsOf(), [120, 120, expiresAt], "a write that adds releases nothing");
	write(0, 140);
	assert.deepEqual(endsOf(), [120, 120, 140], "a write that removes the allotment releases all");
});

test("a lost admission of a live process counts until its holder drops it or its allotment expires", () => {
	const record = admit();
	record.copySent();
	record.copyGone(120);
	assert.equal(record.toHistory(1000).endedAt, expiresAt);
	record.recordUnableToStart(400);
	assert.equal(record.toHistory(1000).endedAt, 400);
});

test("a task that starts from a copy of an ended process counts until its end", () => {
	const record = admit();
	record.copySent();
	record.admittingProcessEnded(150);
	record.recordStart(200);
	record.copyGone(200);
	record.recordEnd(900);
	assert.equal(record.toHistory(1000).endedAt, 900);
	assert.deepEqual(violationsOf(record), []);
});

test("a task that starts after it was recorded as unable to start, or twice, is a violation", () => {
	const dropped = admit();
	dropped.copySent();
	dropped.recordUnableToStart(300);
	dropped.recordStart(301);
	assert.deepEqual(violationsOf(dropped), ["301 red: t1 started, but was unable to start since 300"]);
	const ended = admit();
	ended.admittingProcessEnded(150);
	ended.recordStart(150);
	assert.match(violationsOf(ended)[0] ?? "", /unable to start since 150/);
	const twice = admit();
	twice.recordStart(110);
	twice.recordStart(120);
	assert.deepEqual(violationsOf(twice), ["110 red: t1 started 2 times"]);
});
