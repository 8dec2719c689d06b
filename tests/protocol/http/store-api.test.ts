import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	compareAndSwapBody,
	grantLeaseBody,
	leasePath,
	parseConflicts,
	parseEvents,
	parseLeaseId,
	parseRevision,
	parseRow,
	parseRows,
	renewLeaseBody,
	renewLeasePath,
	rowPath,
	rowsPath,
	watchPath,
} from "../../../src/protocol/http/store-api.js";

describe("the store's API encoding", () => {
	test("a row is read by its key, and rows below a prefix page by page", () => {
		assert.equal(rowPath("r/job/j-1"), "/store/r/job/j-1");
		const row = { key: "a/b", value: { x: 1 }, revision: 412 };
		const wire = { key: "a/b", v: { x: 1 }, stamp: 412, permit: 7 };
		assert.deepStrictEqual(parseRow(wire), row);
		assert.equal(rowsPath("c/", null, 200), "/store?prefix=c/&limit=200");
		assert.equal(rowsPath("c/", "c/7", 200), "/store?prefix=c/&from=c/7&limit=200");
		assert.deepStrictEqual(parseRows({ rows: [wire], truncated: true, epoch: 431 }), {
			rows: [row],
			hasMore: true,
			revision: 431,
		});
		assert.deepStrictEqual(parseRows({ rows: [], epoch: 431 }), { rows: [], hasMore: false, revision: 431 });
	});

	test("a compare-and-swap is encoded with conditions and changes, and its revision or conflicts are parsed", () => {
		const conditions = [{ key: "a/b", revision: 0 }];
		const changes = [
			{ put: "a/b", value: { x: 1 }, leaseId: 7 },
			{ put: "c/e", value: null },
			{ delete: "c/d" },
		];
		assert.deepStrictEqual(compareAndSwapBody(conditions, changes), {
			when: [{ key: "a/b", stamp: 0 }],
			// biome-ignore lint/suspicious/noThenProperty: the store's name of the field
			then: [{ put: "a/b", v: { x: 1 }, permit: 7 }, { put: "c/e", v: null }, { drop: "c/d" }],
		});
		assert.deepStrictEqual(compareAndSwapBody(conditions, []), { when: [{ key: "a/b", stamp: 0 }] });
		assert.equal(parseRevision({ epoch: 432 }), 432);
		assert.deepStrictEqual(parseConflicts({ failed: ["a/b"], epoch: 431 }), {
			conflicts: ["a/b"],
			revision: 431,
		});
	});

	test("requests to grant, renew and revoke leases are encoded, and the lease id is parsed", () => {
		assert.deepStrictEqual(grantLeaseBody(5000), { ttl_ms: 5000 });
		assert.equal(parseLeaseId({ permit: 7 }), 7);
		assert.equal(renewLeasePath(7), "/leases/7/renew");
		assert.deepStrictEqual(renewLeaseBody, {});
		assert.equal(leasePath(7), "/leases/7");
	});

	test("a watch is encoded, and its set and deleted keys are parsed", () => {
		assert.equal(watchPath("c/", 431, 10_000), "/watch?prefix=c/&from=431&block_ms=10000");
		const events = [
			{ put: "c/9", v: { x: 1 }, stamp: 433 },
			{ drop: "c/d", stamp: 432 },
		];
		assert.deepStrictEqual(parseEvents({ epoch: 433, events }), {
			events: [
				{ key: "c/9", value: { x: 1 }, revision: 433 },
				{ key: "c/d", value: undefined, revision: 432 },
			],
			revision: 433,
		});
	});
});
