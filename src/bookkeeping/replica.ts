import type { MachineType } from "../protocol/model.js";
import type { StoreEvent, StoreRow } from "../protocol/wire.js";
import {
	type FinalRecord,
	type JobRecord,
	keys,
	type LeaderRecord,
	type MachineRecord,
	type SetRecord,
	type TypesRecord,
} from "./records.js";
import { countInPage } from "./task-set.js";

export interface Versioned<T> {
	value: T;
	revision: number;
}

const finalsKept = 5000;

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
	readonly jobs = new Map<string, Versioned<JobRecord>>();
	readonly sets = new Map<string, Map<number, Versioned<SetRecord>>>();
	readonly machines = new Map<string, Versioned<MachineRecord>>();
	/** The latest finals seen; older ones are read from the store when asked for. */
	readonly finals = new Map<string, FinalRecord>();
	private readonly listeners: ((key: string) => void)[] = [];

	onChange(listener: (key: string) => void): void {
		this.listeners.push(listener);
	}

	reset(rows: StoreRow[], epoch: number): void {
		const before = [...this.jobs.keys()];
		this.jobs.clear();
		this.sets.clear();
		this.machines.clear();
		this.leader = null;
		this.types = null;
		for (const row of rows) this.put(row.key, row.value, row.revision);
		this.epoch = epoch;
		this.loaded = true;
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
			if (newer(this.jobs.get(id))) this.jobs.set(id, { value: value as JobRecord, revision });
		} else if (key.startsWith(keys.finals)) {
			const id = key.slice(keys.finals.length);
			this.rememberFinal(id, value as FinalRecord);
		} else if (key.startsWith(keys.sets)) {
			const [id, page] = key.slice(keys.sets.length).split("/") as [string, string];
			let pages = this.sets.get(id);
			if (!pages) {
				pages = new Map();
				this.sets.set(id, pages);
			}
			if (newer(pages.get(Number(page)))) pages.set(Number(page), { value: value as SetRecord, revision });
		} else if (key.startsWith(keys.machines)) {
			const id = key.slice(keys.machines.length);
			if (newer(this.machines.get(id))) this.machines.set(id, { value: value as MachineRecord, revision });
		} else if (key === keys.leader) {
			if (newer(this.leader)) this.leader = { value: value as LeaderRecord, revision };
		} else if (key === keys.types) {
			if (newer(this.types)) this.types = { value: (value as TypesRecord).types, revision };
		}
	}

	private remove(key: string, revision: number): void {
		const older = (entry: Versioned<unknown> | null | undefined) => !!entry && entry.revision <= revision;
		if (key.startsWith(keys.jobs)) {
			const id = key.slice(keys.jobs.length);
			if (older(this.jobs.get(id))) this.jobs.delete(id);
		} else if (key.startsWith(keys.sets)) {
			const [id, page] = key.slice(keys.sets.length).split("/") as [string, string];
			const pages = this.sets.get(id);
			if (pages && older(pages.get(Number(page)))) pages.delete(Number(page));
			if (pages?.size === 0) this.sets.delete(id);
		} else if (key.startsWith(keys.machines)) {
			const id = key.slice(keys.machines.length);
			if (older(this.machines.get(id))) this.machines.delete(id);
		} else if (key === keys.leader) {
			if (older(this.leader)) this.leader = null;
		} else if (key === keys.types && older(this.types)) this.types = null;
	}

	rememberFinal(id: string, record: FinalRecord): void {
		this.finals.set(id, record);
		if (this.finals.size > finalsKept) {
			const oldest = this.finals.keys().next().value;
			if (oldest !== undefined) this.finals.delete(oldest);
		}
	}

	doneCount(id: string): number {
		let n = 0;
		for (const page of this.sets.get(id)?.values() ?? []) n += countInPage(page.value.bits);
		return n;
	}
}
