import { MalformedMessageError } from "../protocol/errors.js";
import type { StoreEvent, StoreRow } from "../protocol/http/store-api.js";
import type { TaskDemand } from "../protocol/model/job.js";
import { taskDemandOf } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import { parsePageName, type StoredChunk } from "../protocol/records/chunk.js";
import type { FinalJobRecord } from "../protocol/records/final-record.js";
import type { JobRecord } from "../protocol/records/job-record.js";
import { keys } from "../protocol/records/keys.js";
import type { StoredMachineRecord } from "../protocol/records/machine-record.js";
import { type FeatureSet, type LeaderRecord, noFeatures } from "../protocol/records/singleton-records.js";
import { decodeStoredRecord, type StoredRecord } from "../protocol/records/stored-record.js";
import { countInPage } from "./task-set.js";

/** Forgets the oldest beyond the number kept, and returns it. */
function trim<T>(latest: Map<string, T>, kept: number): T | undefined {
	if (latest.size <= kept) return undefined;
	const [id, oldest] = latest.entries().next().value as [string, T];
	latest.delete(id);
	return oldest;
}

export interface Versioned<T> {
	value: T;
	revision: number;
}

/** Ends of jobs that are kept in memory, at least; older ones are read from the store when asked for. */
const leastTerminalKept = 5000;
/** Cancellations that are kept for promises, at least. */
const leastCancellationsKept = 2000;
/** Every end of a job is two changes of the store, so its rate bounds how many there are in this time. */
const keptForS = 300;
const changesPerEnd = 2;

/** A job whose cancellation is in the store, and the revision of that. */
export interface CancelledJob {
	jobId: string;
	record: FinalJobRecord;
	revision: number;
}

/**
 * A node's copy of the live records, as of a revision. Answers of overlapping
 * watches may arrive in any order, so an event at or before the revision is never
 * applied again: it could bring back a job that has ended since.
 */
export class StoreReplica {
	revision = -1;
	loaded = false;
	leader: Versioned<LeaderRecord> | null = null;
	machineTypes: Versioned<MachineType[]> | null = null;
	features: FeatureSet = noFeatures;
	readonly jobs = new Map<string, Versioned<JobRecord>>();
	/** Shared values by their keys. */
	readonly progressChunks = new Map<string, Versioned<StoredChunk<string>>>();
	readonly machineChunks = new Map<string, Versioned<StoredChunk<StoredMachineRecord>>>();
	/** Team quota's values as they are; undefined: gone. */
	readonly quotaRecords = new Map<string, Versioned<unknown>>();
	/** Pages of done-sets by job, as the values of `progress` have them. */
	private readonly pages = new Map<string, Map<number, string>>();
	/** The latest terminal records seen; older ones are read from the store when asked for. */
	readonly finalRecords = new Map<string, FinalJobRecord>();
	/** Cancellations seen since the first load, of which a user may have been told here. */
	private readonly cancelled = new Map<string, CancelledJob>();
	/** Cancellations up to this revision are not, or no longer, kept one by one. */
	private cancelledAfter = Number.POSITIVE_INFINITY;
	/** What tasks of jobs took that were live here and are over, the latest last. */
	private readonly demands = new Map<string, TaskDemand>();
	/** Keys of values that cannot be read. */
	private readonly malformed = new Set<string>();
	private readonly listeners: ((key: string) => void)[] = [];

	private readonly terminalKept: number;
	private readonly cancellationsKept: number;

	constructor(
		private readonly onMalformed: (key: string, error: MalformedMessageError) => void = () => {},
		/** Changes that the store takes in a second. */
		changesPerS = 0,
	) {
		const ends = (changesPerS * keptForS) / changesPerEnd;
		this.terminalKept = Math.max(leastTerminalKept, ends);
		this.cancellationsKept = Math.max(leastCancellationsKept, ends);
	}

	onChange(listener: (key: string) => void): void {
		this.listeners.push(listener);
	}

	reset(rows: StoreRow[], revision: number): void {
		const before = [...this.jobs.keys()];
		const quotaBefore = [...this.quotaRecords.keys()];
		this.jobs.clear();
		this.progressChunks.clear();
		this.pages.clear();
		this.machineChunks.clear();
		this.leader = null;
		this.machineTypes = null;
		this.features = noFeatures;
		this.malformed.clear();
		// Of two values that name one thing the later tells: a leader may have ended while it split one.
		for (const row of [...rows].sort((a, b) => a.revision - b.revision))
			this.put(row.key, row.value, row.revision);
		this.revision = revision;
		this.loaded = true;
		this.cancelledAfter = Math.min(this.cancelledAfter, revision);
		for (const key of quotaBefore) if (!rows.some((row) => row.key === key)) this.remove(key, revision);
		for (const row of rows) this.notify(row.key);
		for (const id of before) if (!this.jobs.has(id)) this.notify(keys.job(id));
	}

	apply(events: StoreEvent[], revision: number): void {
		for (const event of events) {
			if (event.revision <= this.revision) continue;
			if (event.value === undefined) this.remove(event.key, event.revision);
			else this.put(event.key, event.value, event.revision);
			this.notify(event.key);
		}
		if (revision > this.revision) this.revision = revision;
	}

	/** A change that this node itself made and had confirmed, ahead of the watch. */
	applyOwnWrite(key: string, value: unknown, revision: number): void {
		if (revision <= this.revision) return;
		this.put(key, value, revision);
		this.notify(key);
	}

	private notify(key: string): void {
		for (const listener of this.listeners) listener(key);
	}

	private put(key: string, value: unknown, revision: number): void {
		let record: StoredRecord;
		try {
			record = decodeStoredRecord(key, value);
		} catch (error) {
			if (!(error instanceof MalformedMessageError)) throw error;
			this.putMalformed(key, revision, error);
			return;
		}
		this.malformed.delete(key);
		this.putRecord(key, record, revision);
	}

	/**
	 * A value that cannot be read is kept out, and what depends on it must know that it is there:
	 * a job is not unknown, a leader not absent, and machines may hold tasks.
	 */
	private putMalformed(key: string, revision: number, error: MalformedMessageError): void {
		if (!this.malformed.has(key)) this.onMalformed(key, error);
		this.malformed.add(key);
		if (key === keys.leader) this.leader = { value: { node: "", incarnation: "" }, revision };
	}

	private putRecord(key: string, record: StoredRecord, revision: number): void {
		const newer = (old: Versioned<unknown> | null | undefined) => !old || old.revision < revision;
		switch (record.kind) {
			case "job":
				// Final states never change: a live record of such a job was read before it ended.
				if (!this.finalRecords.has(record.jobId) && newer(this.jobs.get(record.jobId)))
					this.jobs.set(record.jobId, { value: record.value, revision });
				break;
			case "final":
				this.recordFinal(record.jobId, record.value, revision);
				break;
			case "progress": {
				const old = this.progressChunks.get(key);
				if (!newer(old)) return;
				this.progressChunks.set(key, { value: record.value, revision });
				this.index(old?.value, record.value);
				break;
			}
			case "machines":
				if (newer(this.machineChunks.get(key)))
					this.machineChunks.set(key, { value: record.value, revision });
				break;
			case "leader":
				if (newer(this.leader)) this.leader = { value: record.value, revision };
				break;
			case "quota":
				if (newer(this.quotaRecords.get(key))) this.quotaRecords.set(key, { value: record.value, revision });
				break;
			case "features":
				this.features = record.value;
				break;
			case "machine types":
				if (newer(this.machineTypes)) this.machineTypes = { value: record.value, revision };
				break;
		}
	}

	private remove(key: string, revision: number): void {
		this.malformed.delete(key);
		const older = (entry: Versioned<unknown> | null | undefined) => !!entry && entry.revision <= revision;
		if (key.startsWith(keys.jobs)) {
			const id = key.slice(keys.jobs.length);
			if (older(this.jobs.get(id))) this.dropLive(id);
		} else if (key.startsWith(keys.progress)) {
			const old = this.progressChunks.get(key);
			if (!older(old)) return;
			this.progressChunks.delete(key);
			this.index(old?.value, { entries: {} });
		} else if (key.startsWith(keys.machines)) {
			if (older(this.machineChunks.get(key))) this.machineChunks.delete(key);
		} else if (key.startsWith(keys.quota)) {
			if (older(this.quotaRecords.get(key))) this.quotaRecords.set(key, { value: undefined, revision });
		} else if (key === keys.leader) {
			if (older(this.leader)) this.leader = null;
		} else if (key === keys.features) {
			this.features = noFeatures;
		} else if (key === keys.machineTypes && older(this.machineTypes)) this.machineTypes = null;
	}

	/** Only what one value held and no longer holds leaves the index: pages may move between values. */
	private index(before: StoredChunk<string> | undefined, after: StoredChunk<string>): void {
		for (const [name, bits] of Object.entries(before?.entries ?? {})) {
			if (name in after.entries) continue;
			const { jobId: job, page } = parsePageName(name);
			const pages = this.pages.get(job);
			if (pages?.get(page) !== bits) continue;
			// It may have been copied from a value that was split, which now goes.
			const copy = this.pageIn(name);
			if (copy !== undefined) pages.set(page, copy);
			else pages.delete(page);
			if (pages.size === 0) this.pages.delete(job);
		}
		for (const [name, bits] of Object.entries(after.entries)) {
			const { jobId: job, page } = parsePageName(name);
			const pages = this.pages.get(job);
			if (pages) pages.set(page, bits);
			else this.pages.set(job, new Map([[page, bits]]));
		}
	}

	/** The page as the latest value that holds it has it. */
	private pageIn(name: string): string | undefined {
		let best: { bits: string; revision: number } | null = null;
		for (const { value, revision } of this.progressChunks.values()) {
			const bits = value.entries[name];
			if (bits !== undefined && (best === null || revision > best.revision)) best = { bits, revision };
		}
		return best?.bits;
	}

	/** Bitmaps of the pages of a job's done-set. */
	donePagesOf(id: string): Iterable<[number, string]> {
		return this.pages.get(id) ?? [];
	}

	/** Whoever brings the news, the job is no longer live: the watch may be stuck from here on. */
	recordFinal(id: string, record: FinalJobRecord, revision: number): void {
		this.finalRecords.set(id, record);
		trim(this.finalRecords, this.terminalKept);
		if (record.status === "cancelled") this.noteCancelled({ jobId: id, record, revision });
		if (this.dropLive(id)) this.notify(keys.job(id));
	}

	private dropLive(id: string): boolean {
		const live = this.jobs.get(id);
		if (!live) return false;
		this.demands.set(id, taskDemandOf(live.value.spec));
		trim(this.demands, this.terminalKept);
		return this.jobs.delete(id);
	}

	/** What a task of a job that is over takes; null: this process cannot say without asking the store. */
	demandOf(id: string): TaskDemand | null {
		return this.demands.get(id) ?? this.finalRecords.get(id)?.demand ?? null;
	}

	private noteCancelled(job: CancelledJob): void {
		this.cancelled.set(job.jobId, job);
		const dropped = trim(this.cancelled, this.cancellationsKept);
		if (dropped) this.cancelledAfter = Math.max(this.cancelledAfter, dropped.revision);
	}

	/**
	 * Every cancellation after the revision of which this node can have told a user. null: it cannot
	 * say, since an earlier process of the node may have told of some that this one never saw.
	 */
	cancellationsSince(revision: number): CancelledJob[] | null {
		if (revision < this.cancelledAfter) return null;
		return [...this.cancelled.values()].filter((job) => job.revision > revision);
	}

	/** The job is here, live or over, or its record is and cannot be read. */
	knows(id: string): boolean {
		return this.jobs.has(id) || this.finalRecords.has(id) || this.malformed.has(keys.job(id));
	}

	/** Values of machines that may hold tasks are there and cannot be read. */
	get machineRecordsMalformed(): boolean {
		for (const key of this.malformed) if (key.startsWith(keys.machines)) return true;
		return false;
	}

	doneCount(id: string): number {
		let n = 0;
		for (const [, bits] of this.donePagesOf(id)) n += countInPage(bits);
		return n;
	}
}
