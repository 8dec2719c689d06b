import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	loadOf,
	machinesToAdd,
	machinesToRemove,
	nextScalingDecision,
	rankOffers,
} from "../../../src/coordination/fleet/hill-climb.js";
import type { MachineType } from "../../../src/protocol/model/machine.js";
import { largeFleetSizes } from "../../support/large-fleets.js";
import { smallType } from "../../support/small-cluster.js";
import { mediumType, specOf } from "../../support/specs.js";

test("the counters trigger after enough rounds beyond a threshold, a multiple of the high one counting as several, and clear in a round between them", () => {
	const settings = { high: 1.2, low: 0.6, up_past: 3, down_at: 3, cap_s: 600 };
	let counters = { up: 0, down: 2 };
	const step = (load: number, machines = 4) => {
		const result = nextScalingDecision(counters, load, machines, 10, settings);
		counters = result.counters;
		return result.action;
	};
	assert.equal(step(13), "none");
	assert.deepEqual(counters, { up: 1, down: 0 });
	assert.equal(step(30), "none");
	assert.deepEqual(counters, { up: 3, down: 0 });
	assert.equal(step(13), "up");
	assert.deepEqual(counters, { up: 0, down: 0 });
	step(13);
	step(9);
	assert.deepEqual(counters, { up: 0, down: 0 });
	assert.equal(step(6), "none");
	assert.equal(step(6), "none");
	assert.equal(step(6), "down");
	step(6);
	assert.equal(step(6, 1), "none", "the last machine does not drain");
	assert.deepEqual(counters, { up: 0, down: 1 });
});

test("a scale-out adds just enough machines to bring the load down to the high threshold", () => {
	const highPerCpu = 12;
	for (const work of [100, 500, 2000]) {
		const added = machinesToAdd(work, 2, 8, 4, highPerCpu, 50);
		const loadPerCpu = (addedCount: number) =>
			loadOf(work, 2 + addedCount) / ((8 + addedCount * 4) / (2 + addedCount));
		assert.ok(loadPerCpu(added) <= highPerCpu);
		if (added > 0) assert.ok(loadPerCpu(added - 1) > highPerCpu);
	}
	assert.equal(machinesToAdd(1e9, 0, 0, 4, highPerCpu, 50), 50);
});

test("scale-in removes as many machines as keep the load within the low threshold, at least one and at most an eighth of the fleet", () => {
	const fourCpusEach = (n: number) => Array.from({ length: n }, () => 4);
	assert.equal(machinesToRemove(0, 400, 1600, fourCpusEach(400), 10), 50);
	assert.equal(machinesToRemove(0, 3, 12, fourCpusEach(3), 10), 1);
	assert.equal(
		machinesToRemove(0, 1, 4, fourCpusEach(1), 10),
		1,
		"the first removal is decided by the counter alone",
	);
	// 100 machines of 4 cores at 10 core seconds each: the threshold is reached with 95 of them.
	const removed = machinesToRemove(3780, 100, 400, fourCpusEach(100), 10);
	assert.equal(removed, 5);
	assert.ok(loadOf(3780, 100 - removed) <= 40 && loadOf(3780, 100 - removed - 1) > 40);
	assert.equal(
		machinesToRemove(5000, 100, 400, fourCpusEach(100), 10),
		1,
		"a second removal would exceed the threshold",
	);
});

test("offers are ranked by the cost per needed core", () => {
	const big: MachineType = { ...smallType, name: "big", cpus: 64, memoryGb: 128, price: 4, spotPrice: 1 };
	const offer = (type: MachineType) => ({ type, zone: "a", spot: true, hourlyPrice: type.spotPrice });
	const ranked = (needed: number) =>
		rankOffers([offer(smallType), offer(big)], specOf("j"), needed).map((o) => o.type.name);
	assert.deepEqual(ranked(64), ["big", "small"]);
	assert.deepEqual(ranked(4), ["small", "big"]);
});

describe("decisions for a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: one decision adds as many machines as a call allows, or removes an eighth of the fleet`, () => {
			const cpus = size * mediumType.cpus;
			const typeCpus = mediumType.cpus;
			assert.equal(machinesToAdd(cpus * 12, size, cpus, typeCpus, 10, 50), 50, "the limit of one call");
			const removableCpus = Array.from({ length: size }, () => typeCpus);
			assert.equal(machinesToRemove(cpus, size, cpus, removableCpus, 10), size / 8);
		});
});
