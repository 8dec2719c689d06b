import assert from "node:assert/strict";
import { test } from "node:test";
import { schedulingOrder } from "../../../src/coordination/placement/job-order.js";
import type { Priority } from "../../../src/protocol/model/job.js";
import { clusterStateWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

test("scheduling order is by priority tier, due time and shortest remaining time; best effort follows normal work of equal length", () => {
	const clusterState = clusterStateWith(0);
	const add = (id: string, priority: Priority, tasks: number, deadlineS: number | null = null) =>
		clusterState.addJob(id, specOf(id, { priority, taskCount: tasks, deadlineS }), 0, 1);
	add("j-long", "normal", 40);
	add("j-short", "normal", 8);
	add("j-effort", "best_effort", 8);
	add("j-late", "urgent", 4, 90);
	add("j-soon", "urgent", 4, 50);
	add("j-crit", "critical", 4);
	const order = schedulingOrder(
		[...clusterState.jobs.values()],
		(t) => clusterState.quotas.quotaOf(t),
		0,
	).map((j) => j.id);
	assert.deepEqual(order, ["j-crit", "j-soon", "j-late", "j-short", "j-effort", "j-long"]);
});

test("a job that can no longer meet its deadline does not delay jobs that can meet theirs", () => {
	const clusterState = clusterStateWith(0);
	const add = (id: string, deadlineS: number) =>
		clusterState.addJob(id, specOf(id, { priority: "urgent", deadlineS, estimatedRunS: 10 }), 0, 1);
	add("j-soon", 20);
	add("j-later", 29);
	add("j-last", 60);
	const order = (wallClockMs: number) =>
		schedulingOrder([...clusterState.jobs.values()], (t) => clusterState.quotas.quotaOf(t), wallClockMs).map(
			(j) => j.id,
		);
	assert.deepEqual(order(0), ["j-soon", "j-later", "j-last"]);
	assert.deepEqual(
		order(15_000),
		["j-later", "j-soon", "j-last"],
		"j-soon can no longer end within 20 s, so it is ordered as if due at 30 s",
	);
	assert.deepEqual(
		order(25_000),
		["j-later", "j-last", "j-soon"],
		"j-later is ordered as if due at 43.5 s, and j-soon comes last",
	);
	assert.deepEqual(order(45_000), ["j-last", "j-soon", "j-later"]);
});
