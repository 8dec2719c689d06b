/**
 * A controller's replica of the store: all live records, as of a revision.
 *
 * News arrives from the watch, from loads and from this controller's own writes, and answers of overlapping watches
 * may arrive in any order. So a change at or before the replica's revision is never applied again, and of two states
 * of one key the later revision holds: otherwise a job could come back that has ended since. Tests:
 * store-replica.test.ts; traces 07, 08 and 13.
 */

import { MalformedMessageError } from "../protocol/errors.js";
import type { StoreEvent, StoreRow } from "../protocol/http/store-api.js";
import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { type TaskDemand, taskDemandOf } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { StoredChunk } from "../protocol/records/chunk.js";
import type { FinalJobRecord } from "../protocol/records/final-record.js";
import type { JobRecord } from "../protocol/records/job-record.js";
import { keys } from "../protocol/records/keys.js";
import type { StoredMachineRecord } from "../protocol/records/machine-record.js";
import { type FeatureSet, type LeaderRecord, noFeatures } from "../protocol/records/singleton-records.js";
import { decodeStoredRecord, type StoredRecord } from "../protocol/records/stored-record.js";
import { type DonePage, DoneTaskPages } from "./done-task-pages.js";
import { type CancelledJob, FinalJobCache } from "./final-job-cache.js";
import { isNewer, type Versioned, VersionedMap } from "./versioned.js";

/** Stands for the holder of a leader key that cannot be read. No controller has this name. */
const unknownLeader: LeaderRecord = { node: "", incarnation: "" };

/** Owns the replica. Only `ReplicaSync` and this controller's own confirmed writes change it. */
export class StoreReplica {
	#revision: Revision = -1;
	#loaded = false;
	#leader: Versioned<LeaderRecord> | null = null;
	#machineTypes: Versioned<MachineType[]> | null = null;
	#features: FeatureSet = noFeatures;
	private readonly liveJobs = new VersionedMap<JobRecord>();
	private readonly finalJobs: FinalJobCache;
	private readonly donePages = new DoneTaskPages();
	private readonly machines = new VersionedMap<StoredChunk<StoredMachineRecord>>();
	private readonly quotas = new Map<string, Versioned<unknown>>();
	/** Keys of values that cannot be read. */
	private readonly malformedKeys = new Set<string>();
	private readonly listeners: ((key: string) => void)[] = [];

	/**
	 * @param onMalformed Called once for each key whose value cannot be read.
	 * @param changesPerS Changes that the store takes in a second.
	 */
	constructor(
		private readonly onMalformed: (key: string, error: MalformedMessageError) => void = () => {},
		changesPerS = 0,
	) {
		this.finalJobs = new FinalJobCache(changesPerS);
	}

	/** Calls the listener with the key after each change, and after each key that a load brought. */
	onChange(listener: (key: string) => void): void {
		this.listeners.push(listener);
	}

	// --- what it holds ---

	/** Every change up to this revision is in the replica; -1: it was never loaded. */
	get revision(): Revision {
		return this.#revision;
	}

	/** The replica holds every live record. false: it must be loaded first. */
	get loaded(): boolean {
		return this.#loaded;
	}

	/** The leader key; null: there is none. The node of one that cannot be read is empty. */
	get leader(): Versioned<LeaderRecord> | null {
		return this.#leader;
	}

	/** The machine types that the cloud offers; null: no leader has stored them yet. */
	get machineTypes(): Versioned<MachineType[]> | null {
		return this.#machineTypes;
	}

	/** What every controller has said it supports. */
	get features(): FeatureSet {
		return this.#features;
	}

	/** Live jobs. A job whose end is known is not among them, whoever brought the news. */
	get jobs(): ReadonlyMap<JobId, Versioned<JobRecord>> {
		return this.liveJobs.entries;
	}

	/** Jobs that are over, the latest of them. */
	get finalRecords(): ReadonlyMap<JobId, FinalJobRecord> {
		return this.finalJobs.records;
	}

	/** Chunks of pages of done tasks, by their keys. */
	get progressChunks(): ReadonlyMap<string, Versioned<StoredChunk<string>>> {
		return this.donePages.chunks;
	}

	/** Chunks of machines that may run tasks, by their keys. */
	get machineChunks(): ReadonlyMap<string, Versioned<StoredChunk<StoredMachineRecord>>> {
		return this.machines.entries;
	}

	/** Team quota's records by their keys, undecoded; undefined: the record was removed. */
	get quotaRecords(): ReadonlyMap<string, Versioned<unknown>> {
		return this.quotas;
	}

	/** Pages of a job's bitmap of done tasks. */
	donePagesOf(jobId: JobId): Iterable<DonePage> {
		return this.donePages.pagesOf(jobId);
	}

	/** How many tasks of a live job are done. */
	doneCount(jobId: JobId): number {
		return this.donePages.doneCount(jobId);
	}

	/** What a task of a job that is over takes; null: not known without asking the store. */
	demandOf(jobId: JobId): TaskDemand | null {
		return this.finalJobs.demandOf(jobId);
	}

	/** Every cancellation after the revision of which this node can have told a user; null: it cannot say. */
	cancellationsSince(revision: Revision): CancelledJob[] | null {
		return this.finalJobs.cancellationsSince(revision);
	}

	/** The job is here, live or over, or it has a record that cannot be read. */
	hasJobRecord(jobId: JobId): boolean {
		return this.jobs.has(jobId) || this.finalRecords.has(jobId) || this.malformedKeys.has(keys.job(jobId));
	}

	/** There are records of machines that may run tasks, and they cannot be read. */
	get machineRecordsMalformed(): boolean {
		for (const key of this.malformedKeys) if (key.startsWith(keys.machines)) return true;
		return false;
	}

	// --- what changes it ---

	/** The changes since its revision are not to be had any more: it must be loaded anew. */
	invalidate(): void {
		this.#loaded = false;
	}

	/** Takes over a load: all live records, which hold every change up to the revision. */
	reset(rows: readonly StoreRow[], revision: Revision): void {
		const jobsBefore = [...this.jobs.keys()];
		const quotasBefore = [...this.quotas.keys()];
		this.clearLiveRecords();
		// Of two chunks that hold the same entry the later holds: a leader may have ended while it split one.
		for (const row of [...rows].sort((a, b) => a.revision - b.revision))
			this.put(row.key, row.value, row.revision);
		this.#revision = revision;
		this.#loaded = true;
		this.finalJobs.onReplicaLoaded(revision);
		for (const key of quotasBefore) if (!rows.some((row) => row.key === key)) this.remove(key, revision);
		for (const row of rows) this.notify(row.key);
		for (const jobId of jobsBefore) if (!this.jobs.has(jobId)) this.notify(keys.job(jobId));
	}

	/** Applies changes that are complete up to the revision; those that it holds already are left out. */
	apply(events: readonly StoreEvent[], revision: Revision): void {
		for (const event of events) {
			if (event.revision <= this.#revision) continue;
			if (event.value === undefined) this.remove(event.key, event.revision);
			else this.put(event.key, event.value, event.revision);
			this.notify(event.key);
		}
		if (revision > this.#revision) this.#revision = revision;
	}

	/** Applies a change that is known to be in the store, such as this controller's own, ahead of the watch. */
	applyConfirmedWrite(key: string, value: unknown, revision: Revision): void {
		if (revision <= this.#revision) return;
		this.put(key, value, revision);
		this.notify(key);
	}

	/** The job is over, whoever brought the news, and no longer live: the watch may be stuck from here on. */
	addFinalRecord(jobId: JobId, record: FinalJobRecord, revision: Revision): void {
		this.finalJobs.add(jobId, record, revision);
		if (this.removeLiveJob(jobId, Number.POSITIVE_INFINITY)) this.notify(keys.job(jobId));
	}

	private notify(key: string): void {
		for (const listener of this.listeners) listener(key);
	}

	/** Team quota's records are not part of a load, and what is over stays over. */
	private clearLiveRecords(): void {
		this.liveJobs.clear();
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
	 * A value that cannot be read is kept out, and what depends on it must know that it is there: a job is not
	 * unknown, a leader is not absent, and machines may hold tasks. Tests: malformed-input.test.ts.
	 */
	private putMalformed(key: string, revision: Revision, error: MalformedMessageError): void {
		if (!this.malformedKeys.has(key)) this.onMalformed(key, error);
		this.malformedKeys.add(key);
		if (key === keys.leader) this.#leader = { value: unknownLeader, revision };
	}

	private putRecord(key: string, record: StoredRecord, revision: Revision): void {
		switch (record.kind) {
			case "job":
				// Final states never change: the live record of such a job was read before it ended.
				if (!this.finalRecords.has(record.jobId)) this.liveJobs.put(record.jobId, record.value, revision);
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

	private remove(key: string, revision: Revision): void {
		this.malformedKeys.delete(key);
		if (key.startsWith(keys.jobs)) this.removeLiveJob(key.slice(keys.jobs.length), revision);
		else if (key.startsWith(keys.progress)) this.donePages.removeChunk(key, revision);
		else if (key.startsWith(keys.machines)) this.machines.remove(key, revision);
		else if (key.startsWith(keys.quota)) this.removeQuota(key, revision);
		else this.removeSingleton(key, revision);
	}

	private removeQuota(key: string, revision: Revision): void {
		const known = this.quotas.get(key);
		// Kept as removed, so that its owner can be told.
		if (known && known.revision <= revision) this.quotas.set(key, { value: undefined, revision });
	}

	private removeSingleton(key: string, revision: Revision): void {
		if (key === keys.features) this.#features = noFeatures;
		else if (key === keys.leader && this.#leader && this.#leader.revision <= revision) this.#leader = null;
		else if (key === keys.machineTypes && this.#machineTypes && this.#machineTypes.revision <= revision)
			this.#machineTypes = null;
	}

	/** Returns whether the job was live. What its tasks take is kept, for those that are still found running. */
	private removeLiveJob(jobId: JobId, revision: Revision): boolean {
		const live = this.jobs.get(jobId);
		if (!live || !this.liveJobs.remove(jobId, revision)) return false;
		this.finalJobs.addDemand(jobId, taskDemandOf(live.value.spec));
		return true;
	}
}
