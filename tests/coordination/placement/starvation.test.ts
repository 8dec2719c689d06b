import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Job } from "../../../src/bookkeeping/job.js";
import { isStarved, schedulingOrder } from "../../../src/coordination/placement/job-order.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { Priority } from "../../../src/protocol/model/job.js";
import { clusterStateWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("under a continuous stream of small jobs, the largest job starts within four minutes and most of its tasks start", () => {
	for (const seed of [1, 2, 3, 4]) {
		const random = xoroshiro128plus(seed);
		const clusterState = clusterStateWith(0);
		const jobs = new Map<string, { job: Job; unstarted: number; startedAtS: number | null }>();
		const add = (id: string, tasks: number, at: number, priority: Priority) => {
			const job = clusterState.addJob(id, specOf(id, { taskCount: tasks, cpus: 1, priority }), at * 1000, 1);
			jobs.set(id, { job, unstarted: tasks, startedAtS: null });
		};
		// Eight tasks run at once. Small jobs, many of them in an initial burst, demand nearly all of that capacity.
		const slotFreeAtS: number[] = Array.from({ length: 8 }, () => 0);
		add("j-largest", 60, 0, seed % 2 === 0 ? "best_effort" : "normal");
		for (let i = 0; i < 60; i++) add(`j-first-${i}`, 3, 0, "normal");
		for (let s = 0; s < 900; s++) {
			if (s % 2 === 0) add(`j-${s}`, uniformInt(random, 1, 2), s, "normal");
			const wallClockMs = s * 1000;
			for (let slot = 0; slot < slotFreeAtS.length; slot++) {
				if ((slotFreeAtS[slot] as number) > s) continue;
				const waiting = [...jobs.values()].filter((j) => j.unstarted > 0).map((j) => j.job);
				const next =
					waiting.find((job) => isStarved(job, wallClockMs)) ??
					schedulingOrder(waiting, (team) => clusterState.quotas.quotaOf(team), wallClockMs)[0];
				const entry = next && jobs.get(next.id);
				if (!entry) continue;
				entry.unstarted -= 1;
				entry.startedAtS ??= s;
				entry.job.markTaskDone(entry.unstarted);
				slotFreeAtS[slot] = s + 10;
			}
		}
		const largest = jobs.get("j-largest");
		assert.ok(
			largest?.startedAtS != null && largest.startedAtS < 240,
			`seed ${seed}: started at ${largest?.startedAtS}`,
		);
		assert.ok(largest.unstarted < 30, `seed ${seed}: ${largest.unstarted} of 60 tasks were not started`);
	}
});

test("with 1000 machines, 16 teams and a backlog of hundreds of array jobs, the largest jobs start within four minutes", () => {
	const teams = Array.from({ length: 16 }, (_, i) => `team-${i}`);
	const quota = { guaranteed: { cpus: 300, gpus: 0 }, limit: { cpus: 800, gpus: 0 } };
	const clusterState = new ClusterState({
		term: 1,
		teams: teams.map((name) => ({ name, ...quota })),
		machineTypes: [],
	});
	const random = xoroshiro128plus(5);
	const progress = new Map<Job, { unstarted: number; startedAtS: number | null }>();
	const largest: Job[] = [];
	const add = (team: string, tasks: number, atS: number, priority: Priority) => {
		const id = `j-${progress.size}`;
		const job = clusterState.addJob(
			id,
			specOf(id, { team, taskCount: tasks, cpus: 1, priority, estimatedRunS: 18 }),
			atS * 1000,
			1,
		);
		progress.set(job, { unstarted: tasks, startedAtS: null });
		return job;
	};
	for (const [i, team] of teams.entries()) {
		largest.push(add(team, 2500, 0, i % 2 === 0 ? "normal" : "best_effort"));
		for (let n = 0; n < 20; n++) add(team, uniformInt(random, 100, 700), 0, "normal");
	}
	// 4000 tasks run at once, 18 s each; the jobs that are submitted later demand three quarters of that capacity.
	let freeSlots = 4000;
	const runningByTeam = new Map<string, number>();
	const endingByTime = new Map<number, Map<string, number>>();
	const stepS = 2;
	for (let s = 0; s < 320; s += stepS) {
		for (let n = 0; n < 4; n++) {
			add(teams[uniformInt(random, 0, 15)] as string, uniformInt(random, 20, 140), s, "normal");
		}
		for (const [team, n] of endingByTime.get(s) ?? []) {
			freeSlots += n;
			runningByTeam.set(team, (runningByTeam.get(team) ?? 0) - n);
		}
		const wallClockMs = s * 1000;
		const waiting = [...progress].filter(([, { unstarted }]) => unstarted > 0).map(([job]) => job);
		const start = (job: Job, maxTasks: number) => {
			const entry = progress.get(job) as { unstarted: number; startedAtS: number | null };
			const { team } = job.spec;
			const n = Math.min(
				entry.unstarted,
				maxTasks,
				freeSlots,
				quota.limit.cpus - (runningByTeam.get(team) ?? 0),
			);
			if (n <= 0) return;
			entry.unstarted -= n;
			entry.startedAtS ??= s;
			for (let i = 0; i < n; i++) job.markTaskDone(entry.unstarted + i);
			freeSlots -= n;
			runningByTeam.set(team, (runningByTeam.get(team) ?? 0) + n);
			const ending = endingByTime.get(s + 18) ?? new Map<string, number>();
			endingByTime.set(s + 18, ending.set(team, (ending.get(team) ?? 0) + n));
		};
		for (const job of waiting) if (isStarved(job, wallClockMs)) start(job, 1);
		for (const job of schedulingOrder(
			waiting,
			(team) => clusterState.quotas.quotaOf(team),
			wallClockMs,
			250,
		)) {
			if (freeSlots <= 0) break;
			start(job, Number.POSITIVE_INFINITY);
		}
	}
	for (const job of largest) {
		const { startedAtS } = progress.get(job) as { startedAtS: number | null };
		assert.ok(
			startedAtS !== null && startedAtS < 240,
			`${job.id} of ${job.spec.team} started at ${startedAtS}`,
		);
	}
	assert.ok(
		[...progress.values()].filter(({ unstarted }) => unstarted > 0).length > 100,
		"a backlog remains until the end",
	);
});
