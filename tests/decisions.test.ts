import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Job } from "../src/bookkeeping/job.js";
import { Machine } from "../src/bookkeeping/machine.js";
import { isMuchSlower } from "../src/bookkeeping/machine-health.js";
import { QuotaLedger } from "../src/bookkeeping/quota-ledger.js";
import { remainingOfRunning, remainingOfWaiting } from "../src/bookkeeping/remaining-work.js";
import { countInPage, TaskSet, tasksPerPage } from "../src/bookkeeping/task-set.js";
import { Fleet } from "../src/coordination/fleet/fleet.js";
import {
	loadOf,
	machinesToCut,
	machinesToSpare,
	nextScalingDecision,
	rankOffers,
} from "../src/coordination/fleet/hill-climb.js";
import { placeableTasks, placeFirstFit, sampleOf } from "../src/coordination/placement/first-fit.js";
import { servingOrder, starved } from "../src/coordination/placement/job-order.js";
import { chooseVictims } from "../src/coordination/preemption/preemption-planner.js";
import { ownerOf } from "../src/coordination/sharding/rendezvous-hash.js";
import { ClusterState } from "../src/coordination/state/cluster-state.js";
import type { JobSpec, Priority } from "../src/protocol/model/job.js";
import type { MachineType } from "../src/protocol/model/machine.js";
import type { Grant, MachineCapacity } from "../src/protocol/peer/messages.js";
import { defaultOperator } from "../src/protocol/settings/operator.js";
import { FakeTime } from "./support/fake-time.js";
import { makeSchedulable } from "./support/machines.js";
import { silentLog } from "./support/silent-log.js";
import { specOf } from "./support/specs.js";

const small: MachineType = {
	name: "small",
	cpus: 4,
	gpus: 0,
	memoryGb: 16,
	cacheGb: 50,
	fetchGbPerS: 1,
	price: 0.4,
	spotPrice: 0.1,
	bootS: 30,
	zones: ["a", "b"],
};

function tablesWith(machines: number, cpusMax = 8): ClusterState {
	const clusterState = new ClusterState(
		7,
		["red", "blue"].map((name) => ({ name, cpus: 4, cpus_max: cpusMax, gpus: 0, gpus_max: 0 })),
		new Map([[small.name, small]]),
	);
	for (let i = 0; i < machines; i++) {
		const m = new Machine(
			{ id: `n-${i}`, type: small, zone: i % 2 ? "b" : "a", spot: true, origin: "heartbeat" },
			0,
		);
		makeSchedulable(m);
		clusterState.machines.set(m.id, m);
	}
	return clusterState;
}

test("a team moves only when its own placer goes, and every placer gets some", () => {
	const teams = Array.from({ length: 50 }, (_, i) => `team-${i}`);
	const before = teams.map((t) => ownerOf(t, ["a", "b", "c"]));
	const after = teams.map((t) => ownerOf(t, ["a", "b"]));
	teams.forEach((_, i) => {
		if (before[i] !== "c") assert.equal(after[i], before[i]);
	});
	assert.equal(new Set(before).size, 3);
	assert.equal(ownerOf("x", []), null);
});

test("first-fit never overfills a machine nor exceeds a grant, whatever the view", () => {
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
		const free = new Map(machines.map((m) => [m.id, { ...m }]));
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
			const m = free.get(p.machineId) as MachineCapacity;
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
		for (const m of free.values()) assert.ok(m.cpus >= 0 && m.memory >= 0 && m.slots >= 0);
		for (const g of grants) {
			const spec = specs.get(g.jobId) as JobSpec;
			assert.ok((count.get(g.jobId) ?? 0) <= g.count);
			const z = zones.get(g.jobId);
			if (spec.singleZone && z) assert.equal(z.size, 1);
			if (spec.spreadZones && z) assert.ok(Math.max(...z.values()) <= 10);
		}
	}
});

test("first-fit prefers machines that have the image", () => {
	const view = (id: string, images: string[]): MachineCapacity => ({
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
		[view("n-1", []), view("n-2", ["img"])],
		[{ jobId: "j", count: 1, avoidedMachines: [], tasksByZone: {} }],
		() => specOf("j"),
	);
	assert.deepEqual(placed, [{ jobId: "j", machineId: "n-2", count: 1 }]);
});

test("what machines could take of a job is counted by every demand and zone rule together", () => {
	const view = (zone: string, cpus: number, memory: number, spot = true): MachineCapacity => ({
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
	const views = [view("a", 4, 16), view("a", 2, 1), view("b", 3, 16, false)];
	const count = (more: Partial<JobSpec>, zones = {}) =>
		placeableTasks(specOf("j-1", { taskCount: 8, cpus: 1, memoryGb: 2, ...more }), zones, views);
	assert.equal(count({}), 7, "not where memory is short");
	assert.equal(count({ zone: "c" }), 0);
	assert.equal(count({ allowSpot: false }), 3);
	assert.equal(count({ singleZone: true }), 4);
	assert.equal(count({ singleZone: true }, { b: 1 }), 3);
	assert.equal(count({ spreadZones: true, taskCount: 4 }, { a: 1 }), 3, "one more in a, two in b");
});

test("work that waits beside a marked machine with room has its mark taken back, in time", async () => {
	const time = new FakeTime();
	const clusterState = tablesWith(4, 16);
	const [first] = [...clusterState.machines.values()] as [Machine];
	const busy = clusterState.addJob("j-1", specOf("j-1", { taskCount: 3, cpus: 4, estimatedRunS: 300 }), 0, 1);
	busy.resetWaitingTasks();
	// What runs is nearly done, so that the load lies between the marks and the counters do nothing.
	for (const machine of [...clusterState.machines.values()].slice(1)) {
		const attempt = clusterState.assignNextTask(busy, machine);
		if (attempt) attempt.runningAt = -1e6;
	}
	first.lifecycle.startDraining();
	const waits = clusterState.addJob(
		"j-2",
		specOf("j-2", { team: "blue", taskCount: 1, cpus: 4, estimatedRunS: 300 }),
		0,
		2,
	);
	waits.resetWaitingTasks();
	const fleet = new Fleet({
		clusterState,
		cloud: {
			machineTypes: async () => [],
			createMachines: async () => [],
			deleteMachines: async () => {},
			listMachines: async () => ({ machines: [], more: false }),
		},
		time,
		settings: defaultOperator(),
		objectives: [],
		listLagMs: 1000,
		leaseMs: 10_000,
		requestPrefix: "r",
		hooks: { post: (run) => run(), authority: () => true, gone() {} },
		log: silentLog,
	});
	// Held: its one task runs, so nothing returns it while it is marked.
	first.hold("j-9/0", {
		job: busy,
		taskIndex: 99,
		number: 1,
		machine: first,
		phase: "running",
		relocateTo: null,
		runningAt: 0,
		stop: null,
		charge: null,
	});
	first.capacity.clear();
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 500) {
			fleet.tick();
			await time.advance(500);
		}
	};
	await run(18_000);
	assert.ok(first.lifecycle.draining, "it may still come in elsewhere");
	await run(4000);
	assert.ok(!first.lifecycle.draining);
});

test("the last replica goes beside another of its job where there is no machine apart", () => {
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
	const apart = { ...machine, id: "n-2", cpus: 2 };
	assert.deepEqual(
		placeFirstFit([{ ...machine, cpus: 2 }, apart], [grant], () => spec),
		[{ jobId: "j-1", machineId: "n-2", count: 1 }],
		"apart first",
	);
});

test("room for work that few machines may hold is sought on those, whatever the sample of all holds", () => {
	const clusterState = tablesWith(30, 400);
	const ordinary = new Machine(
		{ id: "n-ordinary", type: small, zone: "a", spot: false, origin: "heartbeat" },
		0,
	);
	makeSchedulable(ordinary);
	clusterState.machines.set(ordinary.id, ordinary);
	const batch = clusterState.addJob(
		"j-1",
		specOf("j-1", { taskCount: 40, cpus: 4, estimatedRunS: 100 }),
		0,
		1,
	);
	batch.resetWaitingTasks();
	for (const machine of clusterState.machines.values()) {
		const attempt = clusterState.assignNextTask(batch, machine);
		if (attempt) Object.assign(attempt, { phase: "running", runningAt: 0 });
	}
	const live = clusterState.addJob(
		"j-2",
		specOf("j-2", {
			form: "service",
			priority: "critical",
			taskCount: 1,
			cpus: 1,
			allowSpot: false,
			estimatedRunS: 0,
		}),
		0,
		2,
	);
	live.resetWaitingTasks();
	const few = (machines: Machine[]) => machines.slice(0, 5);
	const victims = chooseVictims(clusterState, [live], 1000, few);
	assert.deepEqual(
		victims.map((victim) => victim.machine.id),
		["n-ordinary"],
	);
});

test("a sample holds distinct machines and no more than asked for", () => {
	const all = Array.from({ length: 50 }, (_, i) => i);
	const some = sampleOf(all, 10, xoroshiro128plus(3));
	assert.equal(new Set(some).size, 10);
	assert.deepEqual(sampleOf(all, 50, xoroshiro128plus(3)), all);
});

test("decisions never pass a team's limit or a machine's cores, in any order of starts and ends", () => {
	const random = xoroshiro128plus(5);
	for (let round = 0; round < 50; round++) {
		const clusterState = tablesWith(4);
		const jobs = ["j-1", "j-2", "j-3"].map((id, i) => {
			const job = clusterState.addJob(
				id,
				specOf(id, { taskCount: 10, cpus: uniformInt(random, 1, 3), team: i % 2 ? "red" : "blue" }),
				0,
				1,
			);
			job.resetWaitingTasks();
			return job;
		});
		const seen = new Set<number>();
		for (let step = 0; step < 80; step++) {
			const job = jobs[uniformInt(random, 0, 2)] as (typeof jobs)[number];
			const machine = clusterState.machines.get(`n-${uniformInt(random, 0, 3)}`) as Machine;
			if (uniformInt(random, 0, 2) > 0) {
				const attempt = clusterState.assignNextTask(job, machine);
				if (attempt) {
					assert.ok(!seen.has(attempt.number), "attempt numbers never repeat");
					assert.ok(Number.isSafeInteger(attempt.number));
					seen.add(attempt.number);
				}
			} else {
				const attempt = [...machine.attempts.values()][0];
				if (attempt) {
					if (uniformInt(random, 0, 1)) clusterState.markTaskDone(attempt.job, attempt.taskIndex);
					clusterState.endAttempt(attempt);
				}
			}
			for (const team of ["red", "blue"]) {
				let used = 0;
				for (const j of jobs) if (j.spec.team === team) used += j.attempts.size * j.spec.cpus;
				assert.ok(used <= 8);
				assert.ok(Math.abs(clusterState.quotas.use(team).cpus - used) < 1e-6);
			}
			for (const m of clusterState.machines.values()) assert.ok(m.capacity.freeCpus >= -1e-9);
		}
	}
});

test("nothing is decided while a machine of an earlier leader is unheard", () => {
	const clusterState = tablesWith(2);
	const job = clusterState.addJob("j-1", specOf("j-1"), 0, 1);
	job.resetWaitingTasks();
	const [first, second] = [...clusterState.machines.values()] as [Machine, Machine];
	clusterState.markUnreconciled(second);
	assert.equal(clusterState.assignNextTask(job, first), null);
	clusterState.markReconciled(second);
	assert.notEqual(clusterState.assignNextTask(job, first), null);
});

test("quotas count room by the tighter of cores and accelerators", () => {
	const quotas = new QuotaLedger([{ name: "t", cpus: 8, cpus_max: 16, gpus: 1, gpus_max: 2 }]);
	assert.equal(quotas.room("t", 2, 0, true), 4);
	assert.equal(quotas.room("t", 2, 1, false), 2);
	quotas.add("t", 15, 0);
	assert.equal(quotas.room("t", 2, 0, false), 0);
	assert.equal(quotas.fitsLimit("t", 1, 0), true);
	assert.equal(quotas.fitsLimit("t", 1.5, 0), false);
	assert.equal(quotas.fitsLimit("nobody", 0, 0), false);
});

test("remaining work: percentage is capped at 99, work at the cap, waiting counts in full", () => {
	assert.equal(remainingOfRunning(2, 5, 10, 600), 10);
	assert.ok(Math.abs(remainingOfRunning(2, 50, 10, 600) - 0.2) < 1e-9);
	assert.equal(remainingOfRunning(1, 0, 5000, 600), 600);
	assert.equal(remainingOfWaiting(4, 10, 600), 40);
	assert.equal(loadOf(30, 2), 20);
});

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

test("serving order: tiers, then due time, then shortest remaining; best effort yields a little", () => {
	const clusterState = tablesWith(0);
	const add = (id: string, priority: Priority, tasks: number, deadlineS: number | null = null) =>
		clusterState.addJob(id, specOf(id, { priority, taskCount: tasks, deadlineS }), 0, 1);
	add("j-long", "normal", 40);
	add("j-short", "normal", 8);
	add("j-effort", "best_effort", 8);
	add("j-late", "urgent", 4, 90);
	add("j-soon", "urgent", 4, 50);
	add("j-crit", "critical", 4);
	const order = servingOrder([...clusterState.jobs.values()], (t) => clusterState.quotas.team(t), 0).map(
		(j) => j.id,
	);
	assert.deepEqual(order, ["j-crit", "j-soon", "j-late", "j-short", "j-effort", "j-long"]);
});

test("work that cannot make its deadline any more does not make others late", () => {
	const clusterState = tablesWith(0);
	const add = (id: string, deadlineS: number) =>
		clusterState.addJob(id, specOf(id, { priority: "urgent", deadlineS, estimatedRunS: 10 }), 0, 1);
	add("j-soon", 20);
	add("j-later", 29);
	add("j-last", 60);
	const order = (date: number) =>
		servingOrder([...clusterState.jobs.values()], (t) => clusterState.quotas.team(t), date).map((j) => j.id);
	assert.deepEqual(order(0), ["j-soon", "j-later", "j-last"]);
	assert.deepEqual(order(15_000), ["j-later", "j-soon", "j-last"], "j-soon has until 30 s now");
	assert.deepEqual(
		order(25_000),
		["j-later", "j-last", "j-soon"],
		"j-later has until 43.5 s, j-soon is past hope",
	);
	assert.deepEqual(order(45_000), ["j-last", "j-soon", "j-later"]);
});

test("whatever stream of small jobs comes, the largest begins within four minutes and ends", () => {
	for (const seed of [1, 2, 3, 4]) {
		const random = xoroshiro128plus(seed);
		const clusterState = tablesWith(0);
		const jobs = new Map<string, { job: Job; left: number; began: number | null }>();
		const add = (id: string, tasks: number, at: number, priority: Priority) => {
			const job = clusterState.addJob(id, specOf(id, { taskCount: tasks, cpus: 1, priority }), at * 1000, 1);
			jobs.set(id, { job, left: tasks, began: null });
		};
		// Eight tasks run at once, and small jobs come for nearly all of that, the first ones in a burst.
		const free: number[] = Array.from({ length: 8 }, () => 0);
		add("j-largest", 60, 0, seed % 2 === 0 ? "best_effort" : "normal");
		for (let i = 0; i < 60; i++) add(`j-first-${i}`, 3, 0, "normal");
		for (let s = 0; s < 900; s++) {
			if (s % 2 === 0) add(`j-${s}`, uniformInt(random, 1, 2), s, "normal");
			const date = s * 1000;
			for (let slot = 0; slot < free.length; slot++) {
				if ((free[slot] as number) > s) continue;
				const waiting = [...jobs.values()].filter((j) => j.left > 0).map((j) => j.job);
				const next =
					waiting.find((job) => starved(job, date)) ??
					servingOrder(waiting, (team) => clusterState.quotas.team(team), date)[0];
				const entry = next && jobs.get(next.id);
				if (!entry) continue;
				entry.left -= 1;
				entry.began ??= s;
				entry.job.doneTasks.add(entry.left);
				free[slot] = s + 10;
			}
		}
		const largest = jobs.get("j-largest");
		assert.ok(largest?.began != null && largest.began < 240, `seed ${seed}: began at ${largest?.began}`);
		assert.ok(largest.left < 30, `seed ${seed}: ${largest.left} of 60 tasks never began`);
	}
});

test("with 1000 machines, 16 teams and a backlog of hundreds of arrays the largest still begin within four minutes", () => {
	const teams = Array.from({ length: 16 }, (_, i) => `team-${i}`);
	const limit = { cpus: 300, cpus_max: 800, gpus: 0, gpus_max: 0 };
	const clusterState = new ClusterState(
		1,
		teams.map((name) => ({ name, ...limit })),
		new Map(),
	);
	const random = xoroshiro128plus(5);
	const state = new Map<Job, { left: number; began: number | null }>();
	const largest: Job[] = [];
	const add = (team: string, tasks: number, atS: number, priority: Priority) => {
		const id = `j-${state.size}`;
		const job = clusterState.addJob(
			id,
			specOf(id, { team, taskCount: tasks, cpus: 1, priority, estimatedRunS: 18 }),
			atS * 1000,
			1,
		);
		state.set(job, { left: tasks, began: null });
		return job;
	};
	for (const [i, team] of teams.entries()) {
		largest.push(add(team, 2500, 0, i % 2 === 0 ? "normal" : "best_effort"));
		for (let n = 0; n < 20; n++) add(team, uniformInt(random, 100, 700), 0, "normal");
	}
	// 4000 tasks run at once, 18 s each; what comes later takes three quarters of that.
	let free = 4000;
	const used = new Map<string, number>();
	const ends = new Map<number, Map<string, number>>();
	const stepS = 2;
	for (let s = 0; s < 320; s += stepS) {
		for (let n = 0; n < 4; n++) {
			add(teams[uniformInt(random, 0, 15)] as string, uniformInt(random, 20, 140), s, "normal");
		}
		for (const [team, n] of ends.get(s) ?? []) {
			free += n;
			used.set(team, (used.get(team) ?? 0) - n);
		}
		const date = s * 1000;
		const waiting = [...state].filter(([, { left }]) => left > 0).map(([job]) => job);
		const serve = (job: Job, most: number) => {
			const entry = state.get(job) as { left: number; began: number | null };
			const { team } = job.spec;
			const n = Math.min(entry.left, most, free, limit.cpus_max - (used.get(team) ?? 0));
			if (n <= 0) return;
			entry.left -= n;
			entry.began ??= s;
			for (let i = 0; i < n; i++) job.doneTasks.add(entry.left + i);
			free -= n;
			used.set(team, (used.get(team) ?? 0) + n);
			const at = ends.get(s + 18) ?? new Map<string, number>();
			ends.set(s + 18, at.set(team, (at.get(team) ?? 0) + n));
		};
		for (const job of waiting) if (starved(job, date)) serve(job, 1);
		for (const job of servingOrder(waiting, (team) => clusterState.quotas.team(team), date, 250)) {
			if (free <= 0) break;
			serve(job, Number.POSITIVE_INFINITY);
		}
	}
	for (const job of largest) {
		const { began } = state.get(job) as { began: number | null };
		assert.ok(began !== null && began < 240, `${job.id} of ${job.spec.team} began at ${began}`);
	}
	assert.ok(
		[...state.values()].filter(({ left }) => left > 0).length > 100,
		"there was a backlog to the end",
	);
});

function running(clusterState: ClusterState, id: string, more: Partial<JobSpec>, n: number, since: number) {
	const job = clusterState.addJob(id, specOf(id, { taskCount: n, ...more }), 0, 1);
	job.resetWaitingTasks();
	for (const machine of clusterState.machines.values()) {
		for (;;) {
			const attempt = clusterState.assignNextTask(job, machine);
			if (!attempt) break;
			attempt.phase = "running";
			attempt.runningAt = since;
		}
	}
	return job;
}

test("an urgent task takes the place of its own team's youngest lower work, no more than needed", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	const urgent = clusterState.addJob(
		"j-2",
		specOf("j-2", { priority: "urgent", taskCount: 1, cpus: 2 }),
		0,
		1,
	);
	urgent.resetWaitingTasks();
	const victims = chooseVictims(clusterState, [urgent], 1000);
	assert.equal(victims.length, 2);
	for (const victim of victims) victim.stop = { graceS: 0, reason: "preempted" };
	assert.equal(chooseVictims(clusterState, [urgent], 1500).length, 0, "what was stopped already is counted");
});

test("work of the same priority is stopped only beyond a guarantee and for one", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { team: "blue", estimatedRunS: 100 }, 4, 0);
	const other = clusterState.addJob("j-2", specOf("j-2", { taskCount: 4 }), 0, 1);
	other.resetWaitingTasks();
	const victims = chooseVictims(clusterState, [other], 1000);
	assert.equal(victims.length, 2, "blue runs 8 of 4 guaranteed cores, red has a right to 4");
	assert.ok(victims.every((v) => v.job.id === "j-1"));

	const fair = tablesWith(1);
	running(fair, "j-1", { team: "blue", estimatedRunS: 100 }, 2, 0);
	const late = fair.addJob("j-2", specOf("j-2"), 0, 1);
	late.resetWaitingTasks();
	assert.deepEqual(chooseVictims(fair, [late], 1000), [], "blue is within its guarantee");
});

test("a task more than half done is not thrown away", () => {
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 40_000).length, 2);
	assert.deepEqual(chooseVictims(clusterState, [urgent], 60_000), []);
});

test("nothing is stopped for tasks that places coming free by themselves will hold", () => {
	for (const [estimatedRunS, stopped] of [
		[100, 2],
		[2, 0],
	] as const) {
		const clusterState = tablesWith(2);
		running(clusterState, "j-1", { cpus: 1, team: "blue", estimatedRunS }, 8, 0);
		const urgent = clusterState.addJob(
			"j-2",
			specOf("j-2", { priority: "urgent", taskCount: 1, cpus: 2 }),
			0,
			1,
		);
		urgent.resetWaitingTasks();
		assert.equal(chooseVictims(clusterState, [urgent], 1000).length, stopped, `runs of ${estimatedRunS} s`);
	}
	// A team at its limit is helped by none but its own.
	const clusterState = tablesWith(2);
	running(clusterState, "j-1", { cpus: 1, estimatedRunS: 100 }, 8, 0);
	running(clusterState, "j-3", { cpus: 1, team: "blue", estimatedRunS: 1 }, 8, 0);
	const urgent = clusterState.addJob("j-2", specOf("j-2", { priority: "urgent", taskCount: 1 }), 0, 1);
	urgent.resetWaitingTasks();
	assert.equal(chooseVictims(clusterState, [urgent], 1000).length, 2);
});

test("a machine much slower than others with the same work is noticed, ordinary spread is not", () => {
	const machine = (id: string) =>
		new Machine({ id, type: small, zone: "a", spot: true, origin: "heartbeat" }, 0);
	const random = xoroshiro128plus(21);
	const all = ["n-1", "n-2", "n-3", "n-slow"].map(machine);
	let noticedAfter = 0;
	for (let i = 1; i <= 60; i++) {
		for (const m of all) {
			const factor = 0.6 + uniformInt(random, 0, 80) / 100;
			// The mean of a job whose long tasks still run is too low, for all alike.
			m.health.noteRun((m.id === "n-slow" ? 75 : 30) * factor, 20);
			const slow = isMuchSlower(m, all);
			if (m.id !== "n-slow") assert.equal(slow, false);
			else if (slow && noticedAfter === 0) noticedAfter = i;
		}
	}
	assert.ok(noticedAfter >= 10 && noticedAfter <= 20, `after ${noticedAfter} runs`);
	assert.equal(
		isMuchSlower(all[3] as Machine, [all[0] as Machine]),
		false,
		"one other machine is no measure",
	);
});

test("a done-set survives its pages, also one of 100,000 tasks in a store of small values", () => {
	const set = new TaskSet(100_000);
	const random = xoroshiro128plus(9);
	for (let i = 0; i < 60_000; i++) set.add(uniformInt(random, 0, 99_999));
	const copy = new TaskSet(100_000);
	let counted = 0;
	for (let page = 0; page * tasksPerPage < 100_000; page++) {
		const text = set.page(page);
		assert.ok(text.length < 1024, "several pages share a value");
		counted += countInPage(text);
		copy.addPage(page, text);
	}
	assert.equal(copy.count, set.count);
	assert.equal(counted, set.count);
	for (let i = 0; i < 100_000; i += 97) assert.equal(copy.has(i), set.has(i));
	assert.equal(set.add(100_000), false);
});
