/**
 * What a controller remembers of jobs that are over: their final records, their cancellations and what their tasks
 * took. All of it is bounded; what is forgotten is read from the store when it is asked for.
 */

import type { JobId, Revision } from "../protocol/model/identifiers.js";
import type { TaskDemand } from "../protocol/model/job.js";
import type { FinalJobRecord } from "../protocol/records/final-record.js";

/** Final records, and demands of tasks, that are kept at least. */
const minFinalRecords = 5000;

/** Cancellations that are kept at least, for votes that name them. */
const minCancellations = 2000;

/** What was learnt within this time is kept in any case, as far as the store's rate of changes tells. */
const keptForS = 300;

/** The end of a job is two changes of the store: its live record goes, and its final record comes. */
const changesPerFinalRecord = 2;

/** A job whose cancellation is in the store. */
export interface CancelledJob {
	jobId: JobId;
	record: FinalJobRecord;
	/** Revision of the write that cancelled the job. */
	revision: Revision;
}

/** Owns what is remembered of jobs that are over. Final records never change. */
export class FinalJobCache {
	private readonly recordsByJob = new Map<JobId, FinalJobRecord>();
	/** Cancellations since the first load of the replica, of which a user may have been told here. */
	private readonly cancellations = new Map<JobId, CancelledJob>();
	/** Cancellations up to this revision are not remembered one by one. */
	private cancellationsCompleteAfter: Revision = Number.POSITIVE_INFINITY;
	/** What a task takes, of jobs that were live here and are over. */
	private readonly demands = new Map<JobId, TaskDemand>();
	private readonly maxFinalRecords: number;
	private readonly maxCancellations: number;

	/** @param changesPerS Changes that the store takes in a second, which bounds how many jobs end. */
	constructor(changesPerS: number) {
		const finalRecords = (changesPerS * keptForS) / changesPerFinalRecord;
		this.maxFinalRecords = Math.max(minFinalRecords, finalRecords);
		this.maxCancellations = Math.max(minCancellations, finalRecords);
	}

	/** The latest final records that were seen. */
	get records(): ReadonlyMap<JobId, FinalJobRecord> {
		return this.recordsByJob;
	}

	/** The job is over since the write of that revision. */
	add(jobId: JobId, record: FinalJobRecord, revision: Revision): void {
		this.recordsByJob.set(jobId, record);
		dropOldestBeyond(this.recordsByJob, this.maxFinalRecords);
		if (record.status !== "cancelled") return;
		this.cancellations.set(jobId, { jobId, record, revision });
		const dropped = dropOldestBeyond(this.cancellations, this.maxCancellations);
		if (dropped)
			this.cancellationsCompleteAfter = Math.max(this.cancellationsCompleteAfter, dropped.revision);
	}

	/** What a task of a job takes that was live here and is over. */
	addDemand(jobId: JobId, demand: TaskDemand): void {
		this.demands.set(jobId, demand);
		dropOldestBeyond(this.demands, this.maxFinalRecords);
	}

	/** What a task of a job that is over takes; null: not known without asking the store. */
	demandOf(jobId: JobId): TaskDemand | null {
		return this.demands.get(jobId) ?? this.recordsByJob.get(jobId)?.demand ?? null;
	}

	/** The replica was loaded as of the revision: from there on every cancellation is remembered. */
	onReplicaLoaded(revision: Revision): void {
		this.cancellationsCompleteAfter = Math.min(this.cancellationsCompleteAfter, revision);
	}

	/**
	 * Every cancellation after the revision of which this node can have told a user. null: it cannot say, because
	 * too many have been forgotten since, or because an earlier process of the node may have told of some that this
	 * one never saw. Test: "a node names every cancellation since a revision ..." in store-replica.test.ts.
	 */
	cancellationsSince(revision: Revision): CancelledJob[] | null {
		if (revision < this.cancellationsCompleteAfter) return null;
		return [...this.cancellations.values()].filter((job) => job.revision > revision);
	}
}

/** Drops the oldest entry if there are more than so many, and returns its value. */
function dropOldestBeyond<K, V>(map: Map<K, V>, size: number): V | undefined {
	if (map.size <= size) return undefined;
	for (const [key, value] of map) {
		map.delete(key);
		return value;
	}
	return undefined;
}
