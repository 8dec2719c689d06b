/**
 * Measures the memory and the load time of live jobs by the number of jobs and of tasks: `npm run measure:jobs`, for
 * other sizes with `-- JOBS,TASKS,DONE ...`. Not part of CI. Each line is the replica of a controller and the state of
 * a leader after a load; `DONE` is the number of tasks of each job that were done before the load.
 */

import { Job } from "../../src/bookkeeping/job.js";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { TaskSet, tasksPerPage } from "../../src/bookkeeping/task-set.js";
import type { StoreRow } from "../../src/protocol/http/store-api.js";
import { pageName } from "../../src/protocol/records/chunk.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { keys } from "../../src/protocol/records/keys.js";
import { specOf } from "./specs.js";

/** Jobs, tasks of each job, and done tasks of each job. */
type Size = [jobs: number, tasks: number, done: number];

const defaultSizes: Size[] = [
	[100, 1, 0],
	[100, 700, 0],
	[100, 10_000, 0],
	[20, 100_000, 0],
	[20, 100_000, 50_000],
	[1000, 18, 0],
	[5000, 18, 0],
];

const bytesPerKb = 1024;

function usedBytes(): number {
	globalThis.gc?.();
	globalThis.gc?.();
	const { heapUsed, arrayBuffers } = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** Returns a copy as it is read from the store, which shares no strings with the original. */
function asRead(row: StoreRow): StoreRow {
	return JSON.parse(JSON.stringify(row)) as StoreRow;
}

function jobRow(index: number, tasks: number): StoreRow {
	const id = `j-${String(index).padStart(6, "0")}`;
	const record = encodeJobRecord({ spec: specOf(id, { taskCount: tasks }), acceptedAt: 0 });
	return asRead({ key: keys.job(id), value: record, revision: index + 1 });
}

/** Returns a chunk with the pages of a job whose first tasks are done. */
function progressRow(index: number, tasks: number, done: number): StoreRow {
	const id = `j-${String(index).padStart(6, "0")}`;
	const set = new TaskSet(tasks);
	for (let i = 0; i < done; i++) set.add(i);
	const entries: Record<string, string> = {};
	for (let page = 0; page * tasksPerPage < done; page++) entries[pageName(id, page)] = set.encodePage(page);
	return asRead({ key: `${keys.progress}1-${index}`, value: { entries }, revision: index + 1 });
}

/** Returns the line of one measurement. */
function measure([jobCount, tasks, done]: Size): string {
	const before = usedBytes();
	const rows: StoreRow[] = [];
	for (let i = 0; i < jobCount; i++) {
		rows.push(jobRow(i, tasks));
		if (done > 0) rows.push(progressRow(i, tasks, done));
	}
	const replica = new StoreReplica();
	replica.reset(rows, jobCount + 1);
	rows.length = 0;
	const replicaBytes = usedBytes() - before;
	const startedAt = performance.now();
	const jobs: Job[] = [];
	for (const [id, { value, revision }] of replica.jobs) {
		const job = new Job(id, value.spec, value.acceptedAt, revision);
		job.load(replica.donePagesOf(id), 0);
		jobs.push(job);
	}
	const loadMs = performance.now() - startedAt;
	const leaderBytes = usedBytes() - before - replicaBytes;
	const perJob = (bytes: number) => `${(bytes / jobs.length / bytesPerKb).toFixed(2)} KB`;
	const size = `${jobs.length} jobs of ${tasks} tasks, ${done} done`;
	return `${size}: replica ${perJob(replicaBytes)} a job, leader ${perJob(leaderBytes)} a job, load ${loadMs.toFixed(1)} ms`;
}

const sizes = process.argv.slice(2).map((text) => text.split(",").map(Number) as Size);
// The first measurements include what is allocated once.
for (let i = 0; i < 3; i++) measure([100, 18, 9]);
for (const size of sizes.length > 0 ? sizes : defaultSizes) console.log(measure(size));
