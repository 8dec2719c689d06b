/**
 * Loads arrays of the largest size into the state of a leader, starts and completes some of their tasks, and prints how
 * many tasks have started. Run as a process with a small heap by tests/bookkeeping/job-memory.test.ts.
 */

import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import type { StoreRow } from "../../src/protocol/http/store-api.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { keys } from "../../src/protocol/records/keys.js";
import { attemptOf, machineOf } from "./machines.js";
import { specOf } from "./specs.js";

const jobCount = Number(process.argv[2]);
const taskCount = 100_000;
const startsPerJob = 20;

const rows: StoreRow[] = [];
for (let i = 0; i < jobCount; i++) {
	const id = `j-${i}`;
	const value = encodeJobRecord({ spec: specOf(id, { taskCount }), acceptedAt: 0 });
	rows.push({ key: keys.job(id), value, revision: i + 1 });
}
const replica = new StoreReplica();
replica.reset(rows, jobCount + 1);
const clusterState = new ClusterState({ term: 1, teams: [], machineTypes: [] });
let started = 0;
for (const [id, { value, revision }] of replica.jobs) {
	const job = clusterState.addJob(id, value.spec, value.acceptedAt, revision);
	job.load(replica.donePagesOf(id), 0);
	for (let n = 0; n < startsPerJob; n++) {
		const taskIndex = job.dequeueWaitingTask();
		if (taskIndex === undefined) continue;
		const attempt = attemptOf(job, machineOf(), { taskIndex });
		job.addAttempt(attempt);
		started += 1;
		job.markTaskDone(taskIndex);
		job.removeAttempt(attempt);
	}
}
console.log(started);
