import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	loadOf,
	machinesToCut,
	machinesToSpare,
	nextScalingDecision,
	rankOffers,
} from "../../../src/coordination/fleet/hill-climb.js";
import type { MachineType } from "../../../src/protocol/model/machine.js";
import { largeFleetSizes } from "../../support/large-fleets.js";
import { small } from "../../support/small-cluster.js";
import { mediumType, specOf } from "../../support/specs.js";

test("the counters act after load over the high mark adds up, and clear between the marks", () => {
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
	assert.equal(step(6, 1), "none", "the last machine is not marked");
	assert.deepEqual(counters, { up: 0, down: 1 });
});

test("a rental asks for just enough machines to bring the load to the high mark", () => {
	const highPerCpu = 12;
	for (const work of [100, 500, 2000]) {
		const k = machinesToCut(work, 2, 8, 4, highPerCpu, 50);
		const load = (extra: number) => loadOf(work, 2 + extra) / ((8 + extra * 4) / (2 + extra));
		assert.ok(load(k) <= highPerCpu);
		if (k > 0) assert.ok(load(k - 1) > highPerCpu);
	}
	assert.equal(machinesToCut(1e9, 0, 0, 4, highPerCpu, 50), 50);
});

test("as many machines go as bring the load to the low mark, at most an eighth at once", () => {
	const small = (n: number) => Array.from({ length: n }, () => 4);
	assert.equal(machinesToSpare(0, 400, 1600, small(400), 10), 50);
	assert.equal(machinesToSpare(0, 3, 12, small(3), 10), 1);
	assert.equal(machinesToSpare(0, 1, 4, small(1), 10), 1, "the counter has decided about the first");
	// 100 machines of 4 cores at 10 core seconds each: the mark is reached with 95 of them.
	const k = machinesToSpare(3780, 100, 400, small(100), 10);
	assert.equal(k, 5);
	assert.ok(loadOf(3780, 100 - k) <= 40 && loadOf(3780, 100 - k - 1) > 40);
	assert.equal(machinesToSpare(5000, 100, 400, small(100), 10), 1, "no room for more than one");
});

test("offers are ranked by what a needed core costs", () => {
	const big: MachineType = { ...small, name: "big", cpus: 64, memoryGb: 128, price: 4, spotPrice: 1 };
	const offer = (type: MachineType) => ({ type, zone: "a", spot: true, price: type.spotPrice });
	const ranked = (needed: number) =>
		rankOffers([offer(small), offer(big)], specOf("j"), needed).map((o) => o.type.name);
	assert.deepEqual(ranked(64), ["big", "small"]);
	assert.deepEqual(ranked(4), ["small", "big"]);
});

describe("decisions for a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: one decision grows the fleet by a full call, or shrinks it by an eighth`, () => {
			const cpus = size * mediumType.cpus;
			const typeCpus = mediumType.cpus;
			assert.equal(machinesToCut(cpus * 12, size, cpus, typeCpus, 10, 50), 50, "one call's worth at a time");
			const leaving = Array.from({ length: size }, () => typeCpus);
			assert.equal(machinesToSpare(cpus, size, cpus, leaving, 10), size / 8);
		});
});
