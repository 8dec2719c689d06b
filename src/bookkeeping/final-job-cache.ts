/**
 * A controller's cache of jobs that have ended: their final records, their cancellations and the demands of their
 * tasks. The cache is bounded; evicted entries are read from the store when they are needed.
 */

import type { JobId, Revision } from "../protocol/model/identifiers.js";
import type { TaskDemand } from "../protocol/model/job.js";
import { maxUint64, minUint64 } from "../protocol/model/uint64.js";
import type { FinalJobRecord } from "../protocol/records/final-record.js";

/** Lower bound of the cache's size, for final records and for demands. */
const minFinalRecords = 5000;

/** Lower bound of the cache's size for cancellations, which lease extension votes list. */
const minCancellations = 2000;

/** Entries are retained for at least this time, given the maximum write rate of the store. */
const retentionS = 300;

/** The end of a job is two changes in the store: its live record is deleted and its final record is written. */
const changesPerFinalRecord = 2;

/** A job whose cancellation is in the store. */
export interface CancelledJob {
	jobId: JobId;
	record: FinalJobRecord;
	/** Revision of the write that cancelled the job. */
	revision: Revision;
}

/** Cache of jobs that have ended. Final records never change. */
export class FinalJobCache {
	private readonly recordsByJob = new Map<JobId, FinalJobRecord>();
	/** Cancellations since the first load of the replica, which this controller may have confirmed to users. */
	private readonly cancellations = new Map<JobId, CancelledJob>();
	/** The revision after which every cancellation is in the cache. */
	private cancellationsCompleteAfter: Revision = Number.POSITIVE_INFINITY;
	/** Demand of a task, for ended jobs that were live in this replica. */
	private readonly demands = new Map<JobId, TaskDemand>();
	private readonly maxFinalRecords: number;
	private readonly maxCancellations: number;

	/** @param maxChangesPerS Maximum number of changes per second in the store, which bounds how many jobs end. */
	constructor(maxChangesPerS: number) {
		const recordsInRetention = (maxChangesPerS * retentionS) / changesPerFinalRecord;
		this.maxFinalRecords = Math.max(minFinalRecords, recordsInRetention);
		this.maxCancellations = Math.max(minCancellations, recordsInRetention);
	}

	/** The most recent final records. */
	get records(): ReadonlyMap<JobId, FinalJobRecord> {
		return this.recordsByJob;
	}

	/** Adds a job that ended with the write of this revision. */
	add(jobId: JobId, record: FinalJobRecord, revision: Revision): void {
		this.recordsByJob.set(jobId, record);
		evictOldestBeyond(this.recordsByJob, this.maxFinalRecords);
		if (record.status !== "cancelled") return;
		this.cancellations.set(jobId, { jobId, record, revision });
		const evicted = evictOldestBeyond(this.cancellations, this.maxCancellations);
		if (evicted)
			this.cancellationsCompleteAfter = maxUint64(this.cancellationsCompleteAfter, evicted.revision);
	}

	/** Adds the demand of a task of an ended job that was live in this replica. */
	addDemand(jobId: JobId, demand: TaskDemand): void {
		this.demands.set(jobId, demand);
		evictOldestBeyond(this.demands, this.maxFinalRecords);
	}

	/** Demand of a task of an ended job; null: not in the cache, the store must be read. */
	demandOf(jobId: JobId): TaskDemand | null {
		return this.demands.get(jobId) ?? this.recordsByJob.get(jobId)?.demand ?? null;
	}

	/** Called when the replica was loaded as of this revision: from then on every later cancellation is added. */
	onReplicaLoaded(revision: Revision): void {
		this.cancellationsCompleteAfter = minUint64(this.cancellationsCompleteAfter, revision);
	}

	/**
	 * Returns every cancellation after the revision that this node may have confirmed to a user. null: the list would
	 * be incomplete, because cancellations after the revision were evicted, or because an earlier process of the node
	 * may have confirmed some that this process never received. Test: "cancellationsSince returns every cancellation ..."
	 * in store-replica.test.ts.
	 */
	cancellationsSince(revision: Revision): CancelledJob[] | null {
		if (revision < this.cancellationsCompleteAfter) return null;
		return [...this.cancellations.values()].filter((job) => job.revision > revision);
	}
}

/** Evicts the oldest entry if the map is larger than this size, and returns the evicted value. */
function evictOldestBeyond<K, V>(map: Map<K, V>, maxSize: number): V | undefined {
	if (map.size <= maxSize) return undefined;
	for (const [key, value] of map) {
		map.delete(key);
		return value;
	}
	return undefined;
}
