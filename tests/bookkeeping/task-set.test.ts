import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { countInPage, TaskSet, tasksPerPage } from "../../src/bookkeeping/task-set.js";

describe("a set of tasks", () => {
	test("of 100,000 tasks is restored from its pages, each of which is smaller than 1 KB", () => {
		const set = new TaskSet(100_000);
		const random = xoroshiro128plus(9);
		for (let i = 0; i < 60_000; i++) set.add(uniformInt(random, 0, 99_999));
		const copy = new TaskSet(100_000);
		let counted = 0;
		for (let page = 0; page * tasksPerPage < 100_000; page++) {
			const text = set.encodePage(page);
			assert.ok(text.length < 1024, "a value of the store holds several pages");
			counted += countInPage(text);
			copy.addPage(page, text);
		}
		assert.equal(copy.count, set.count);
		assert.equal(counted, set.count);
		for (let i = 0; i < 100_000; i += 97) assert.equal(copy.has(i), set.has(i));
		assert.equal(set.add(100_000), false);
	});

	test("holds each task once, and rejects numbers that the job does not have", () => {
		const set = new TaskSet(3);
		assert.deepEqual([set.add(2), set.add(2), set.add(3), set.add(-1)], [true, false, false, false]);
		assert.deepEqual(
			[set.count, set.full, set.has(2), set.has(3), set.has(-1)],
			[1, false, true, false, false],
		);
		set.add(0);
		set.add(1);
		assert.equal(set.full, true);
	});

	test("takes any page of its tasks, also one that is full, and keeps the members that it had", () => {
		for (const size of [5, 4096, 5000, 12_288]) {
			const last = Math.ceil(size / tasksPerPage) - 1;
			const full = new TaskSet(size);
			for (let i = 0; i < size; i++) full.add(i);
			const set = new TaskSet(size);
			set.add(size - 1);
			set.addPage(last, new TaskSet(size).encodePage(last));
			assert.deepEqual([set.count, set.has(size - 1)], [1, true], "an empty page removes nothing");
			for (let page = 0; page <= last; page++) set.addPage(page, full.encodePage(page));
			for (let page = 0; page <= last; page++) set.addPage(page, full.encodePage(page));
			set.addPage(0, new TaskSet(size).encodePage(0));
			assert.deepEqual([set.count, set.full, set.add(0)], [size, true, false]);
			for (let page = 0; page <= last; page++) {
				assert.equal(set.encodePage(page), full.encodePage(page));
				assert.equal(countInPage(set.encodePage(page)), Math.min(tasksPerPage, size - page * tasksPerPage));
			}
			set.addPage(last + 1, full.encodePage(0));
			assert.equal(set.count, size, "the job has no such page");
		}
	});
});
