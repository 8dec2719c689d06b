import assert from "node:assert/strict";
import { test } from "node:test";
import { demandAmount, limitAmount, unlimited, zeroAmount } from "../src/amount.js";
import { changeLimit, LimitChangeError } from "../src/limit-change.js";
import { packValue, unpackValue } from "../src/packed-record.js";
import {
	allot,
	allotmentOf,
	capOf,
	enforcePendingLimit,
	newRecord,
	parseRecord,
	QuotaInvariantError,
	recall,
	releaseReclaimed,
	requestLimit,
	revoke,
	unallotted,
} from "../src/record.js";

const settings = { limit: limitAmount(4, 0), guarantee: limitAmount(2, 0) };
const cpus = (units: number) => limitAmount(units, 0);

function dividedRecord() {
	return allot(allot(newRecord("red", settings), "a", "p1", cpus(3)), "b", "p2", cpus(3));
}

test("an allotment gets no more than the unallotted part of the limit", () => {
	const record = dividedRecord();
	assert.deepEqual(allotmentOf(record, "a")?.amount, cpus(3));
	assert.deepEqual(allotmentOf(record, "b")?.amount, cpus(1));
	assert.deepEqual(unallotted(record), zeroAmount);
});

test("a recalled amount becomes unallotted only once the holder has confirmed the recall and no longer uses it", () => {
	const recalled = recall(dividedRecord(), "a", cpus(1), "wanted elsewhere");
	assert.deepEqual(capOf(allotmentOf(recalled, "a")), cpus(1));
	assert.deepEqual(unallotted(recalled), zeroAmount);
	const inUse = releaseReclaimed(recalled, "a", cpus(2));
	assert.deepEqual([allotmentOf(inUse, "a")?.amount, unallotted(inUse)], [cpus(2), cpus(1)]);
	const released = releaseReclaimed(inUse, "a", cpus(0));
	assert.deepEqual([allotmentOf(released, "a")?.amount, allotmentOf(released, "a")?.reason], [cpus(1), null]);
	assert.deepEqual(unallotted(revoke(released, "a")), cpus(3));
});

test("a higher limit is in force at once, a lower one once all allotments fit within it", () => {
	const higher = requestLimit(dividedRecord(), { limit: cpus(9), guarantee: cpus(2) }, 1);
	assert.deepEqual([higher.inForce.limit, higher.pending, higher.revision], [cpus(9), null, 2]);
	const lower = requestLimit(dividedRecord(), { limit: cpus(2), guarantee: cpus(1) }, 1);
	assert.deepEqual([lower.inForce.limit, lower.pending?.revision], [cpus(4), 2]);
	assert.deepEqual(allot(lower, "b", "p2", cpus(1)), lower, "nothing more is allotted meanwhile");
	const again = requestLimit(lower, { limit: cpus(3), guarantee: cpus(1) }, 2);
	assert.equal(again.pending?.revision, 3, "the later of two changes replaces the earlier one");
	const settled = releaseReclaimed(recall(again, "a", cpus(2), "limit lowered"), "a", zeroAmount);
	const inForce = enforcePendingLimit(settled);
	assert.deepEqual([inForce.inForce.limit, inForce.revision, inForce.pending], [cpus(3), 3, null]);
});

test("invalid limit changes are refused with the reason", () => {
	const none = zeroAmount;
	const refused = (request: object, reason: RegExp, capacity = cpus(100), others = none) =>
		assert.throws(() => changeLimit(dividedRecord(), request, 0, others, capacity), {
			name: "Error",
			message: reason,
			constructor: LimitChangeError,
		});
	refused({ guaranteedCpus: 5 }, /guarantee must not exceed the limit/);
	refused({ cpus: 200, guaranteedCpus: 150 }, /exceed the capacity/);
	refused({ cpus: 90, guaranteedCpus: 50 }, /exceed the capacity/, cpus(100), cpus(60));
	refused({ cpus: -1 }, /"cpus" must be/);
	refused({ gpus: Number.NaN }, /"gpus" must be/);
	assert.equal(changeLimit(dividedRecord(), { cpus: Infinity }, 0, none, null).inForce.limit.cpus, unlimited);
});

test("packed records are read back unchanged, and an unreadable record does not hide the others", () => {
	const record = requestLimit(
		recall(dividedRecord(), "a", cpus(1), "another placer"),
		{ limit: cpus(1), guarantee: cpus(1) },
		5,
	);
	const value = JSON.parse(JSON.stringify(packValue([record, newRecord("blue", settings)])));
	value.teams.bad = { ...value.teams.red, allotments: [["a", "p", -1, 0, 0, 0, 0]] };
	value.teams.huge = { ...value.teams.red, allotments: [["a", "p", 2 ** 60, 0, 0, 0, 0]] };
	value.teams.over = { ...value.teams.red, allotments: [["a", "p", 9000, 0, 0, 0, 0]] };
	value.teams.odd = { revision: 1 };
	const { records, faults } = unpackValue(value);
	assert.deepEqual(records.get("red"), record);
	assert.deepEqual([...records.keys()], ["red", "blue"]);
	assert.deepEqual(
		faults.map(({ team, fault }) => [team, fault.includes('field "')]),
		[
			["bad", true],
			["huge", true],
			["over", true],
			["odd", true],
		],
	);
	assert.deepEqual(unpackValue(17).faults.length, 1);
});

test("a record that allows more than the limit is refused, naming the field", () => {
	const record = dividedRecord();
	const twice = { ...record, allotments: [...record.allotments, ...record.allotments] };
	assert.throws(() => parseRecord(twice), /"a" is named twice/);
	const more = { ...record, inForce: { ...record.inForce, limit: cpus(3.5) } };
	assert.throws(() => parseRecord(more), QuotaInvariantError);
	assert.throws(
		() => parseRecord({ ...record, inForce: { limit: cpus(4), guarantee: cpus(5) } }),
		/guarantee/,
	);
});

test("fractions of thousandths are rounded up in task sizes and down in limits", () => {
	assert.deepEqual(demandAmount(0.1 + 0.2, 0.0001), { cpus: 300, gpus: 1 });
	assert.deepEqual(limitAmount(0.3, 0.0019), { cpus: 300, gpus: 1 });
});
