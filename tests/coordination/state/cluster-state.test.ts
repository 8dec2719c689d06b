import assert from "node:assert/strict";
import { test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { tablesWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

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
				assert.ok(Math.abs(clusterState.quotas.usage(team).cpus - used) < 1e-6);
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
