import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
	placeableTasks,
	placeFirstFit,
	randomSample,
} from "../../../src/coordination/placement/first-fit.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import type { Grant, MachineCapacity } from "../../../src/protocol/peer/messages.js";
import { specOf } from "../../support/specs.js";

test("first fit exceeds neither the capacity of a machine nor a grant, and respects the job's constraints, for any machines", () => {
	const random = xoroshiro128plus(11);
	for (let round = 0; round < 200; round++) {
		const machines: MachineCapacity[] = Array.from({ length: uniformInt(random, 1, 8) }, (_, i) => ({
			id: `n-${i}`,
			type: "small",
			zone: uniformInt(random, 0, 1) ? "a" : "b",
			spot: uniformInt(random, 0, 1) === 1,
			cpus: uniformInt(random, 0, 16),
			gpus: 0,
			memory: uniformInt(random, 0, 32),
			slots: uniformInt(random, 0, 9),
			images: uniformInt(random, 0, 1) ? ["img"] : [],
		}));
		const specs = new Map<string, JobSpec>();
		const grants: Grant[] = Array.from({ length: uniformInt(random, 1, 4) }, (_, i) => {
			const spec = specOf(`j-${i}`, {
				cpus: uniformInt(random, 1, 5),
				memoryGb: uniformInt(random, 0, 9),
				taskCount: 20,
				singleZone: uniformInt(random, 0, 1) === 1,
				spreadZones: uniformInt(random, 0, 1) === 1,
				allowSpot: uniformInt(random, 0, 1) === 1,
			});
			specs.set(spec.id, spec);
			return { jobId: spec.id, count: uniformInt(random, 1, 20), avoidedMachines: ["n-0"], tasksByZone: {} };
		});
		const remaining = new Map(machines.map((m) => [m.id, { ...m }]));
		const placed = placeFirstFit(
			machines.map((m) => ({ ...m })),
			grants,
			(id) => specs.get(id),
			uniformInt(random, 0, machines.length - 1),
		);
		const count = new Map<string, number>();
		const zones = new Map<string, Map<string, number>>();
		for (const p of placed) {
			const spec = specs.get(p.jobId) as JobSpec;
			const m = remaining.get(p.machineId) as MachineCapacity;
			m.cpus -= p.count * spec.cpus;
			m.memory -= p.count * spec.memoryGb;
			m.slots -= p.count;
			count.set(p.jobId, (count.get(p.jobId) ?? 0) + p.count);
			const z = zones.get(p.jobId) ?? new Map<string, number>();
			z.set(m.zone, (z.get(m.zone) ?? 0) + p.count);
			zones.set(p.jobId, z);
			assert.notEqual(p.machineId, "n-0");
			assert.ok(spec.allowSpot || !m.spot);
		}
		for (const m of remaining.values()) assert.ok(m.cpus >= 0 && m.memory >= 0 && m.slots >= 0);
		for (const g of grants) {
			const spec = specs.get(g.jobId) as JobSpec;
			assert.ok((count.get(g.jobId) ?? 0) <= g.count);
			const z = zones.get(g.jobId);
			if (spec.singleZone && z) assert.equal(z.size, 1);
			if (spec.spreadZones && z) assert.ok(Math.max(...z.values()) <= 10);
		}
	}
});

test("first fit prefers machines that have the image cached", () => {
	const capacityOf = (id: string, images: string[]): MachineCapacity => ({
		id,
		type: "small",
		zone: "a",
		spot: false,
		cpus: 4,
		gpus: 0,
		memory: 8,
		slots: 9,
		images,
	});
	const placed = placeFirstFit(
		[capacityOf("n-1", []), capacityOf("n-2", ["img"])],
		[{ jobId: "j", count: 1, avoidedMachines: [], tasksByZone: {} }],
		() => specOf("j"),
	);
	assert.deepEqual(placed, [{ jobId: "j", machineId: "n-2", count: 1 }]);
});

test("the number of placeable tasks respects all demands and zone constraints of the job together", () => {
	const capacityOf = (zone: string, cpus: number, memory: number, spot = true): MachineCapacity => ({
		id: `${zone}-${cpus}`,
		type: "small",
		zone,
		spot,
		cpus,
		gpus: 0,
		memory,
		slots: 100,
		images: [],
	});
	const capacities = [capacityOf("a", 4, 16), capacityOf("a", 2, 1), capacityOf("b", 3, 16, false)];
	const count = (specOverrides: Partial<JobSpec>, tasksByZone = {}) =>
		placeableTasks(
			specOf("j-1", { taskCount: 8, cpus: 1, memoryGb: 2, ...specOverrides }),
			tasksByZone,
			capacities,
		);
	assert.equal(count({}), 7, "none on the machine without enough memory");
	assert.equal(count({ zone: "c" }), 0);
	assert.equal(count({ allowSpot: false }), 3);
	assert.equal(count({ singleZone: true }), 4);
	assert.equal(count({ singleZone: true }, { b: 1 }), 3);
	assert.equal(count({ spreadZones: true, taskCount: 4 }, { a: 1 }), 3, "one more in a, two in b");
});

test("a replica is placed beside another of its job only if every machine that fits has one", () => {
	const spec = specOf("j-1", { form: "service", taskCount: 2, cpus: 1 });
	const machine: MachineCapacity = {
		id: "n-1",
		type: "small",
		zone: "a",
		spot: true,
		cpus: 2,
		gpus: 0,
		memory: 8,
		slots: 100,
		images: [],
	};
	const grant: Grant = {
		jobId: "j-1",
		count: 1,
		avoidedMachines: [],
		tasksByZone: {},
		replicaMachines: ["n-1"],
	};
	assert.deepEqual(
		placeFirstFit([machine], [grant], () => spec),
		[{ jobId: "j-1", machineId: "n-1", count: 1 }],
	);
	const withoutReplica = { ...machine, id: "n-2", cpus: 2 };
	assert.deepEqual(
		placeFirstFit([{ ...machine, cpus: 2 }, withoutReplica], [grant], () => spec),
		[{ jobId: "j-1", machineId: "n-2", count: 1 }],
		"the machine without a replica comes first",
	);
});

test("a sample contains distinct items, and no more than requested", () => {
	const items = Array.from({ length: 50 }, (_, i) => i);
	const sample = randomSample(items, 10, xoroshiro128plus(3));
	assert.equal(new Set(sample).size, 10);
	assert.deepEqual(randomSample(items, 50, xoroshiro128plus(3)), items);
});
