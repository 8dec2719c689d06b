import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Job } from "../../../src/bookkeeping/job.js";
import { servingOrder, starved } from "../../../src/coordination/placement/job-order.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { Priority } from "../../../src/protocol/model/job.js";
import { tablesWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

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
					servingOrder(waiting, (team) => clusterState.quotas.quotaOf(team), date)[0];
				const entry = next && jobs.get(next.id);
				if (!entry) continue;
				entry.left -= 1;
				entry.began ??= s;
				entry.job.markTaskDone(entry.left);
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
	const quota = { guaranteed: { cpus: 300, gpus: 0 }, limit: { cpus: 800, gpus: 0 } };
	const clusterState = new ClusterState({
		term: 1,
		teams: teams.map((name) => ({ name, ...quota })),
		machineTypes: [],
	});
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
			const n = Math.min(entry.left, most, free, quota.limit.cpus - (used.get(team) ?? 0));
			if (n <= 0) return;
			entry.left -= n;
			entry.began ??= s;
			for (let i = 0; i < n; i++) job.markTaskDone(entry.left + i);
			free -= n;
			used.set(team, (used.get(team) ?? 0) + n);
			const at = ends.get(s + 18) ?? new Map<string, number>();
			ends.set(s + 18, at.set(team, (at.get(team) ?? 0) + n));
		};
		for (const job of waiting) if (starved(job, date)) serve(job, 1);
		for (const job of servingOrder(waiting, (team) => clusterState.quotas.quotaOf(team), date, 250)) {
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
