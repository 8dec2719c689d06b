/**
 * Loads as many jobs as a controller with this process's heap accepts, as its replica, as a leader, and in a reload, and
 * prints their number. Run by tests/bookkeeping/job-memory.test.ts, with the heap of deploy/service.toml.
 */

import { getHeapStatistics } from "node:v8";
import { withSharedTexts } from "../../src/bookkeeping/done-task-pages.js";
import { liveJobBytes } from "../../src/bookkeeping/job-memory.js";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { TaskSet, tasksPerPage } from "../../src/bookkeeping/task-set.js";
import { jobCapacityBytes } from "../../src/coordination/jobs/job-capacity.js";
import { LiveJobs } from "../../src/coordination/jobs/live-jobs.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { TermAuthority } from "../../src/coordination/state/term-authority.js";
import type { StoreRow } from "../../src/protocol/http/store-api.js";
import type { JobSpec } from "../../src/protocol/model/job.js";
import { pageName } from "../../src/protocol/records/chunk.js";
import { encodeJobRecord } from "../../src/protocol/records/job-record.js";
import { keys } from "../../src/protocol/records/keys.js";
import { FakeTime } from "./fake-time.js";
import { silentLog } from "./silent-log.js";
import { specOf } from "./specs.js";

const longText = "x".repeat(150);

/** Jobs of which all are alike. */
interface JobKind {
	fields: Partial<JobSpec>;
	/** Number of tasks that were done since the job was accepted. */
	done: number;
	/** True if the first task of each page is not done, so that no page is full. */
	allPagesPartial?: boolean;
}

const kinds: Record<string, JobKind> = {
	small: { fields: { taskCount: 18 }, done: 17 },
	"largest records": {
		fields: { machineTypes: Array.from({ length: 80 }, (_, i) => `${longText}${i}`) },
		done: 1,
	},
	"largest arrays": { fields: { taskCount: 100_000 }, done: 99_000 },
	"largest arrays with partial pages": {
		fields: { taskCount: 100_000 },
		done: 100_000,
		allPagesPartial: true,
	},
};

const kind = kinds[process.argv[2] as string];
if (!kind) throw new Error(`unknown kind of jobs: ${process.argv[2]}`);
const heapLimitBytes = getHeapStatistics().heap_size_limit;

function specAt(index: number): JobSpec {
	return specOf(`j-${String(index).padStart(6, "0")}`, kind?.fields);
}

/** Returns the rows as a read of the store does: they share no texts with those of another read. */
function readRows(jobCount: number): StoreRow[] {
	const rows: StoreRow[] = [];
	for (let i = 0; i < jobCount; i++) {
		const spec = specAt(i);
		const record = encodeJobRecord({ spec, acceptedAt: 0 });
		const progress = { entries: progressEntries(spec) };
		for (const row of [
			{ key: keys.job(spec.id), value: record, revision: i + 1 },
			{ key: `${keys.progress}1-${i}`, value: progress, revision: i + 1 },
		])
			rows.push(withSharedTexts(JSON.parse(JSON.stringify(row)) as StoreRow));
	}
	return rows;
}

const doneTasks = new TaskSet(specAt(0).taskCount);
for (let i = 0; i < kind.done; i++) if (!kind.allPagesPartial || i % tasksPerPage > 0) doneTasks.add(i);

function progressEntries(spec: JobSpec): Record<string, string> {
	const entries: Record<string, string> = {};
	for (let page = 0; page * tasksPerPage < (kind?.done ?? 0); page++)
		entries[pageName(spec.id, page)] = doneTasks.encodePage(page);
	return entries;
}

function loadLeader(replica: StoreReplica): ClusterState {
	const clock = new FakeTime();
	const authority = new TermAuthority({ term: 1, mayAct: () => true, resign: () => {} });
	const clusterState = new ClusterState({ term: 1, teams: [], machineTypes: [] });
	const unused = () => {
		throw new Error("not expected in a load");
	};
	const store = {
		read: unused,
		readPrefix: unused,
		readPages: unused,
		compareAndSwap: unused,
		grantLease: unused,
		renewLease: unused,
		revokeLease: unused,
		watch: unused,
	};
	new LiveJobs({
		authority,
		clusterState,
		replica,
		store,
		chunkedRecords: {
			leaderCondition: authority.leaderCondition,
			maxChunkBytes: 13_000,
			maxChangesPerWrite: 12,
			store,
			post: unused,
			now: () => clock.now(),
			onLeaderKeyLost: unused,
			onWriteFailed: unused,
			onChunksRejected: unused,
		},
		clock,
		log: silentLog,
		post: unused,
		stopAttempts: unused,
	}).loadAll();
	return clusterState;
}

const jobCount = Math.floor(jobCapacityBytes(heapLimitBytes) / liveJobBytes(specAt(0)));
// What else a controller of a large fleet holds.
const bytesPerElement = 8;
const others = new Array(Math.floor(heapLimitBytes / 3 / bytesPerElement)).fill(1.5);
const replica = new StoreReplica();
replica.reset(readRows(jobCount), jobCount);
const clusterState = loadLeader(replica);
// A reload: the leader and its replica are in use until all rows are read.
replica.reset(readRows(jobCount), jobCount + 1);
if (clusterState.jobs.size !== jobCount || replica.jobs.size !== jobCount || others.length === 0)
	throw new Error("jobs are missing");
console.log(jobCount);
