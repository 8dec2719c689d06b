/**
 * A controller's in-memory replica of the store: all live records, as of a revision.
 *
 * Changes arrive from the watch, from loads and from this controller's own writes, and responses of overlapping
 * watches may arrive in any order. Therefore a change at or before the replica's revision is never applied again, and
 * of two values of one key the one with the higher revision is valid: otherwise a job that has ended could reappear.
 * Tests: store-replica.test.ts; traces 07, 08 and 13.
 */

import { MalformedMessageError } from "../protocol/errors.js";
import type { StoreEvent, StoreRow } from "../protocol/http/store-api.js";
import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { type TaskDemand, taskDemandOf } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import { compareUint64 } from "../protocol/model/uint64.js";
import type { StoredChunk } from "../protocol/records/chunk.js";
import type { FinalJobRecord } from "../protocol/records/final-record.js";
import type { JobRecord } from "../protocol/records/job-record.js";
import { keys } from "../protocol/records/keys.js";
import type { StoredMachineRecord } from "../protocol/records/machine-record.js";
import { type FeatureSet, type LeaderRecord, noFeatures } from "../protocol/records/singleton-records.js";
import { decodeStoredRecord, type StoredRecord } from "../protocol/records/stored-record.js";
import { type DonePage, DoneTaskPages } from "./done-task-pages.js";
import { type CancelledJob, FinalJobCache } from "./final-job-cache.js";
import { liveJobBytes } from "./job-memory.js";
import { isNewer, type Versioned, VersionedMap } from "./versioned.js";

/** Stand-in for the leader if the leader key cannot be decoded. No controller has this name. */
const undecodableLeader: LeaderRecord = { node: "", incarnation: "" };

/** The replica. Only `ReplicaSync` and this controller's confirmed writes change it. */
export class StoreReplica {
	#revision: Revision = -1;
	#loaded = false;
	#leader: Versioned<LeaderRecord> | null = null;
	#machineTypes: Versioned<MachineType[]> | null = null;
	#features: FeatureSet = noFeatures;
	#liveJobBytes = 0;
	private readonly liveJobs = new VersionedMap<JobRecord>();
	private readonly finalJobs: FinalJobCache;
	private readonly donePages = new DoneTaskPages();
	private readonly machines = new VersionedMap<StoredChunk<StoredMachineRecord>>();
	private readonly quotas = new Map<string, Versioned<unknown>>();
	/** Keys whose values cannot be decoded. */
	private readonly malformedKeys = new Set<string>();
	private readonly listeners: ((key: string) => void)[] = [];

	/**
	 * @param onMalformed Called once for each key whose value cannot be decoded.
	 * @param maxChangesPerS Maximum number of changes per second in the store.
	 */
	constructor(
		private readonly onMalformed: (key: string, error: MalformedMessageError) => void = () => {},
		maxChangesPerS = 0,
	) {
		this.finalJobs = new FinalJobCache(maxChangesPerS);
	}

	/** Calls the listener with the key after each change has been applied; a load counts as a change of all its keys. */
	onChange(listener: (key: string) => void): void {
		this.listeners.push(listener);
	}

	// --- contents ---

	/** Revision up to which the replica holds every change; -1: it was never loaded. */
	get revision(): Revision {
		return this.#revision;
	}

	/** True if the replica holds every live record; otherwise it must be loaded. */
	get loaded(): boolean {
		return this.#loaded;
	}

	/** The leader key; null: there is none. If it cannot be decoded, its node is the empty string. */
	get leader(): Versioned<LeaderRecord> | null {
		return this.#leader;
	}

	/** The machine types that the cloud offers; null: no leader has stored them yet. */
	get machineTypes(): Versioned<MachineType[]> | null {
		return this.#machineTypes;
	}

	/** Features that every controller supports. */
	get features(): FeatureSet {
		return this.#features;
	}

	/** Live jobs, without those whose final record has been added. */
	get jobs(): ReadonlyMap<JobId, Versioned<JobRecord>> {
		return this.liveJobs.entries;
	}

	/** Upper bound of the memory in bytes that the live jobs take until their ends, in a controller that leads. */
	get liveJobBytes(): number {
		return this.#liveJobBytes;
	}

	/** Final records of the jobs that ended last. */
	get finalRecords(): ReadonlyMap<JobId, FinalJobRecord> {
		return this.finalJobs.records;
	}

	/** Chunks of pages of done tasks, by key. */
	get progressChunks(): ReadonlyMap<string, Versioned<StoredChunk<string>>> {
		return this.donePages.chunks;
	}

	/** Chunks of records of machines that may run tasks, by key. */
	get machineChunks(): ReadonlyMap<string, Versioned<StoredChunk<StoredMachineRecord>>> {
		return this.machines.entries;
	}

	/** Records of team quota by key, not decoded; value undefined: the record was removed. */
	get quotaRecords(): ReadonlyMap<string, Versioned<unknown>> {
		return this.quotas;
	}

	/** Pages of a job's bitmap of done tasks. */
	donePagesOf(jobId: JobId): Iterable<DonePage> {
		return this.donePages.pagesOf(jobId);
	}

	/** Number of done tasks of a live job. */
	doneCount(jobId: JobId): number {
		return this.donePages.doneCount(jobId);
	}

	/** Demand of a task of an ended job; null: not in the cache, the store must be read. */
	demandOf(jobId: JobId): TaskDemand | null {
		return this.finalJobs.demandOf(jobId);
	}

	/** Cancellations after the revision that this node may have confirmed to users; null: the cache may lack some. */
	cancellationsSince(revision: Revision): CancelledJob[] | null {
		return this.finalJobs.cancellationsSince(revision);
	}

	/** True if the replica holds a live or final record of the job, or its live record cannot be decoded. */
	hasJobRecord(jobId: JobId): boolean {
		return this.jobs.has(jobId) || this.finalRecords.has(jobId) || this.malformedKeys.has(keys.job(jobId));
	}

	/** True if a record of machines that may run tasks cannot be decoded. */
	get machineRecordsMalformed(): boolean {
		for (const key of this.malformedKeys) if (key.startsWith(keys.machines)) return true;
		return false;
	}

	// --- changes ---

	/** Requires a new load, because the store no longer provides the changes since the replica's revision. */
	invalidate(): void {
		this.#loaded = false;
	}

	/** Replaces the contents by a load: all live records, with every change up to the revision. */
	reset(rows: readonly StoreRow[], revision: Revision): void {
		const previousJobIds = [...this.jobs.keys()];
		const loadedKeys = new Set(rows.map(({ key }) => key));
		const removedQuotaKeys = [...this.quotas.keys()].filter((key) => !loadedKeys.has(key));
		this.clearLiveRecords();
		// If two chunks hold the same entry, the later one is valid: a leader may have failed while it split a chunk.
		for (const row of [...rows].sort((a, b) => compareUint64(a.revision, b.revision)))
			this.put(row.key, row.value, row.revision);
		this.#revision = revision;
		this.#loaded = true;
		this.finalJobs.onReplicaLoaded(revision);
		for (const key of removedQuotaKeys) this.removeQuota(key, revision);
		for (const row of rows) this.notify(row.key);
		for (const key of removedQuotaKeys) this.notify(key);
		for (const jobId of previousJobIds) if (!this.jobs.has(jobId)) this.notify(keys.job(jobId));
	}

	/** Applies the changes up to the revision, except those that the replica holds already. */
	apply(events: readonly StoreEvent[], revision: Revision): void {
		for (const event of events) {
			if (event.revision <= this.#revision) continue;
			if (event.value === undefined) this.remove(event.key, event.revision);
			else this.put(event.key, event.value, event.revision);
			this.notify(event.key);
		}
		if (revision > this.#revision) this.#revision = revision;
	}

	/** Applies a change that the store has confirmed, such as this controller's write, before the watch reports it. */
	applyConfirmedWrite(key: string, value: unknown, revision: Revision): void {
		if (revision <= this.#revision) return;
		this.put(key, value, revision);
		this.notify(key);
	}

	/** Adds a final record and removes the live job, without waiting for the watch, which may have stopped. */
	addFinalRecord(jobId: JobId, record: FinalJobRecord, revision: Revision): void {
		this.finalJobs.add(jobId, record, revision);
		if (this.removeLiveJob(jobId, Number.POSITIVE_INFINITY)) this.notify(keys.job(jobId));
	}

	private notify(key: string): void {
		for (const listener of this.listeners) listener(key);
	}

	/** Clears the live records. Final records are kept, and those of team quota, which change by revision only. */
	private clearLiveRecords(): void {
		this.liveJobs.clear();
		this.#liveJobBytes = 0;
		this.donePages.clear();
		this.machines.clear();
		this.#leader = null;
		this.#machineTypes = null;
		this.#features = noFeatures;
		this.malformedKeys.clear();
	}

	private put(key: string, value: unknown, revision: Revision): void {
		let record: StoredRecord;
		try {
			record = decodeStoredRecord(key, value);
		} catch (error) {
			if (!(error instanceof MalformedMessageError)) throw error;
			this.putMalformed(key, revision, error);
			return;
		}
		this.malformedKeys.delete(key);
		this.putRecord(key, record, revision);
	}

	/**
	 * Records that a value cannot be decoded. The value is not applied, but its existence matters: a job with such a
	 * record exists, a leader key is not absent, and machines may run tasks. Tests: malformed-input.test.ts.
	 */
	private putMalformed(key: string, revision: Revision, error: MalformedMessageError): void {
		if (!this.malformedKeys.has(key)) this.onMalformed(key, error);
		this.malformedKeys.add(key);
		if (key === keys.leader) this.#leader = { value: undecodableLeader, revision };
	}

	private putRecord(key: string, record: StoredRecord, revision: Revision): void {
		switch (record.kind) {
			case "job":
				this.putLiveJob(record.jobId, record.value, revision);
				break;
			case "final":
				this.addFinalRecord(record.jobId, record.value, revision);
				break;
			case "progress":
				this.donePages.putChunk(key, record.value, revision);
				break;
			case "machines":
				this.machines.put(key, record.value, revision);
				break;
			case "quota":
				if (isNewer(revision, this.quotas.get(key))) this.quotas.set(key, { value: record.value, revision });
				break;
			case "leader":
				if (isNewer(revision, this.#leader)) this.#leader = { value: record.value, revision };
				break;
			case "machine types":
				if (isNewer(revision, this.#machineTypes)) this.#machineTypes = { value: record.value, revision };
				break;
			case "features":
				this.#features = record.value;
				break;
			case "other":
				break;
		}
	}

	private putLiveJob(jobId: JobId, record: JobRecord, revision: Revision): void {
		// Final records never change: the live record of such a job was read before the job ended.
		if (this.finalRecords.has(jobId)) return;
		const previous = this.jobs.get(jobId);
		if (!this.liveJobs.put(jobId, record, revision)) return;
		this.#liveJobBytes += liveJobBytes(record.spec) - (previous ? liveJobBytes(previous.value.spec) : 0);
	}

	private remove(key: string, revision: Revision): void {
		this.malformedKeys.delete(key);
		if (key.startsWith(keys.jobs)) this.removeLiveJob(key.slice(keys.jobs.length), revision);
		else if (key.startsWith(keys.progress)) this.donePages.removeChunk(key, revision);
		else if (key.startsWith(keys.machines)) this.machines.remove(key, revision);
		else if (key.startsWith(keys.quota)) this.removeQuota(key, revision);
		else this.removeSingleton(key, revision);
	}

	private removeQuota(key: string, revision: Revision): void {
		const current = this.quotas.get(key);
		// The key stays, without a value, so that team quota is notified of the removal.
		if (current && current.revision <= revision) this.quotas.set(key, { value: undefined, revision });
	}

	private removeSingleton(key: string, revision: Revision): void {
		if (key === keys.features) this.#features = noFeatures;
		else if (key === keys.leader && this.#leader && this.#leader.revision <= revision) this.#leader = null;
		else if (key === keys.machineTypes && this.#machineTypes && this.#machineTypes.revision <= revision)
			this.#machineTypes = null;
	}

	/** Returns true if the job was live. Keeps the demand of its tasks, for those that are found running later. */
	private removeLiveJob(jobId: JobId, revision: Revision): boolean {
		const live = this.jobs.get(jobId);
		if (!live || !this.liveJobs.remove(jobId, revision)) return false;
		this.#liveJobBytes -= liveJobBytes(live.value.spec);
		this.finalJobs.addDemand(jobId, taskDemandOf(live.value.spec));
		return true;
	}
}
