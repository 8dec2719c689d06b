import type { Demand, MachineType } from "../protocol/model.js";
import type { StoreEvent, StoreRow } from "../protocol/store-api.js";
import {
	type AbleRecord,
	demandOf,
	type FinalRecord,
	type JobRecord,
	keys,
	type LeaderRecord,
	type MachineRecord,
	pageOf,
	type SharedRecord,
	type TypesRecord,
} from "./records.js";
import { countInPage } from "./task-set.js";

/** Forgets the oldest beyond the number kept. */
function trim(latest: Map<string, unknown>): void {
	if (latest.size <= finalsKept) return;
	const oldest = latest.keys().next().value;
	if (oldest !== undefined) latest.delete(oldest);
}

export interface Versioned<T> {
	value: T;
	revision: number;
}

const finalsKept = 5000;
const cancellationsKept = 2000;

/** A job whose cancellation is in the store, and the revision of that. */
export interface CancelledJob {
	id: string;
	record: FinalRecord;
	revision: number;
}

/**
 * A node's copy of the live records, as of an epoch. Answers of overlapping
 * watches may arrive in any order, so an event at or before the epoch is never
 * applied again: it could bring back a job that has ended since.
 */
export class Replica {
	epoch = -1;
	loaded = false;
	leader: Versioned<LeaderRecord> | null = null;
	types: Versioned<MachineType[]> | null = null;
	able: AbleRecord = {};
	readonly jobs = new Map<string, Versioned<JobRecord>>();
	/** Shared values by their keys. */
	readonly progress = new Map<string, Versioned<SharedRecord<string>>>();
	readonly machines = new Map<string, Versioned<SharedRecord<MachineRecord>>>();
	/** Pages of done-sets by job, as the values of `progress` have them. */
	private readonly pages = new Map<string, Map<number, string>>();
	/** The latest finals seen; older ones are read from the store when asked for. */
	readonly finals = new Map<string, FinalRecord>();
	/** Cancellations seen since the first load, of which a user may have been told here. */
	private readonly cancelled = new Map<string, CancelledJob>();
	/** Cancellations up to this revision are not, or no longer, kept one by one. */
	private cancelledAfter = Number.POSITIVE_INFINITY;
	/** What tasks of jobs took that were live here and are over, the latest last. */
	private readonly demands = new Map<string, Demand>();
	private readonly listeners: ((key: string) => void)[] = [];

	onChange(listener: (key: string) => void): void {
		this.listeners.push(listener);
	}

	reset(rows: StoreRow[], epoch: number): void {
		const before = [...this.jobs.keys()];
		this.jobs.clear();
		this.progress.clear();
		this.pages.clear();
		this.machines.clear();
		this.leader = null;
		this.types = null;
		this.able = {};
		// Of two values that name one thing the later tells: a leader may have ended while it split one.
		for (const row of [...rows].sort((a, b) => a.revision - b.revision))
			this.put(row.key, row.value, row.revision);
		this.epoch = epoch;
		this.loaded = true;
		this.cancelledAfter = Math.min(this.cancelledAfter, epoch);
		for (const row of rows) this.notify(row.key);
		for (const id of before) if (!this.jobs.has(id)) this.notify(keys.job(id));
	}

	apply(events: StoreEvent[], epoch: number): void {
		for (const event of events) {
			if (event.revision <= this.epoch) continue;
			if (event.value === undefined) this.remove(event.key, event.revision);
			else this.put(event.key, event.value, event.revision);
			this.notify(event.key);
		}
		if (epoch > this.epoch) this.epoch = epoch;
	}

	/** A change that this node itself made and had confirmed, ahead of the watch. */
	applyOwn(key: string, value: unknown, revision: number): void {
		if (revision <= this.epoch) return;
		this.put(key, value, revision);
		this.notify(key);
	}

	private notify(key: string): void {
		for (const listener of this.listeners) listener(key);
	}

	private put(key: string, value: unknown, revision: number): void {
		const newer = (old: Versioned<unknown> | null | undefined) => !old || old.revision < revision;
		if (key.startsWith(keys.jobs)) {
			const id = key.slice(keys.jobs.length);
			// Final states never change: a live record of such a job was read before it ended.
			if (!this.finals.has(id) && newer(this.jobs.get(id)))
				this.jobs.set(id, { value: value as JobRecord, revision });
		} else if (key.startsWith(keys.finals)) {
			const id = key.slice(keys.finals.length);
			this.rememberFinal(id, value as FinalRecord, revision);
		} else if (key.startsWith(keys.progress)) {
			const old = this.progress.get(key);
			if (!newer(old)) return;
			this.progress.set(key, { value: value as SharedRecord<string>, revision });
			this.index(old?.value, value as SharedRecord<string>);
		} else if (key.startsWith(keys.machines)) {
			if (newer(this.machines.get(key))) {
				this.machines.set(key, { value: value as SharedRecord<MachineRecord>, revision });
			}
		} else if (key === keys.leader) {
			if (newer(this.leader)) this.leader = { value: value as LeaderRecord, revision };
		} else if (key === keys.able) {
			this.able = value as AbleRecord;
		} else if (key === keys.types) {
			if (newer(this.types)) this.types = { value: (value as TypesRecord).types, revision };
		}
	}

	private remove(key: string, revision: number): void {
		const older = (entry: Versioned<unknown> | null | undefined) => !!entry && entry.revision <= revision;
		if (key.startsWith(keys.jobs)) {
			const id = key.slice(keys.jobs.length);
			if (older(this.jobs.get(id))) this.dropLive(id);
		} else if (key.startsWith(keys.progress)) {
			const old = this.progress.get(key);
			if (!older(old)) return;
			this.progress.delete(key);
			this.index(old?.value, { entries: {} });
		} else if (key.startsWith(keys.machines)) {
			if (older(this.machines.get(key))) this.machines.delete(key);
		} else if (key === keys.leader) {
			if (older(this.leader)) this.leader = null;
		} else if (key === keys.able) {
			this.able = {};
		} else if (key === keys.types && older(this.types)) this.types = null;
	}

	/** Only what one value held and no longer holds leaves the index: pages may move between values. */
	private index(before: SharedRecord<string> | undefined, after: SharedRecord<string>): void {
		for (const [name, bits] of Object.entries(before?.entries ?? {})) {
			if (name in after.entries) continue;
			const { job, page } = pageOf(name);
			const pages = this.pages.get(job);
			if (pages?.get(page) !== bits) continue;
			// It may have been copied from a value that was split, which now goes.
			const copy = this.pageIn(name);
			if (copy !== undefined) pages.set(page, copy);
			else pages.delete(page);
			if (pages.size === 0) this.pages.delete(job);
		}
		for (const [name, bits] of Object.entries(after.entries)) {
			const { job, page } = pageOf(name);
			const pages = this.pages.get(job);
			if (pages) pages.set(page, bits);
			else this.pages.set(job, new Map([[page, bits]]));
		}
	}

	/** The page as the latest value that holds it has it. */
	private pageIn(name: string): string | undefined {
		let best: { bits: string; revision: number } | null = null;
		for (const { value, revision } of this.progress.values()) {
			const bits = value.entries[name];
			if (bits !== undefined && (best === null || revision > best.revision)) best = { bits, revision };
		}
		return best?.bits;
	}

	/** Bitmaps of the pages of a job's done-set. */
	pagesOf(id: string): Iterable<[number, string]> {
		return this.pages.get(id) ?? [];
	}

	/** Whoever brings the news, the job is no longer live: the watch may be stuck from here on. */
	rememberFinal(id: string, record: FinalRecord, revision: number): void {
		this.finals.set(id, record);
		trim(this.finals);
		if (record.status === "cancelled") this.noteCancelled({ id, record, revision });
		if (this.dropLive(id)) this.notify(keys.job(id));
	}

	private dropLive(id: string): boolean {
		const live = this.jobs.get(id);
		if (!live) return false;
		this.demands.set(id, demandOf(live.value.spec));
		trim(this.demands);
		return this.jobs.delete(id);
	}

	/** What a task of a job that is over takes; null: this process cannot say without asking the store. */
	demandOf(id: string): Demand | null {
		return this.demands.get(id) ?? this.finals.get(id)?.demand ?? null;
	}

	private noteCancelled(job: CancelledJob): void {
		this.cancelled.set(job.id, job);
		if (this.cancelled.size <= cancellationsKept) return;
		const oldest = this.cancelled.values().next().value as CancelledJob;
		this.cancelled.delete(oldest.id);
		this.cancelledAfter = Math.max(this.cancelledAfter, oldest.revision);
	}

	/**
	 * Every cancellation after the epoch of which this node can have told a user. null: it cannot
	 * say, since an earlier process of the node may have told of some that this one never saw.
	 */
	cancelledSince(epoch: number): CancelledJob[] | null {
		if (epoch < this.cancelledAfter) return null;
		return [...this.cancelled.values()].filter((job) => job.revision > epoch);
	}

	doneCount(id: string): number {
		let n = 0;
		for (const [, bits] of this.pagesOf(id)) n += countInPage(bits);
		return n;
	}
}
