import type { SharedRecord } from "../bookkeeping/records.js";
import type { StoreChange, StoreCondition } from "../protocol/wire.js";
import type { RateClass, StorePort } from "./ports.js";

interface Pack<V> {
	readonly key: string;
	/** Revision at which the store has it, as far as known; 0: it should not be there. */
	revision: number;
	readonly entries: Map<string, V>;
	bytes: number;
	/** Set since the last confirmed write; what a write in flight carries is not in here. */
	fresh: Map<string, V>;
	/** Entries were taken out, which can wait. */
	shrunk: boolean;
}

export interface SharedRecordsHooks<V> {
	post(command: () => void): void;
	now(): number;
	/** The leader's key has changed hands. */
	lostKey(): void;
	/** The store has confirmed these. */
	confirmed(entries: Map<string, V>): void;
	failed(error: unknown): void;
}

export interface SharedRecordsPace {
	rateClass: RateClass;
	/** Least time between writes, and how long what was taken out may stay. */
	everyMs: number;
	shrinkMs: number;
}

const mostPerWrite = 3;
const mostBytesPerWrite = 40 * 1024;
const retryMs = 300;

/**
 * Many small records of the leader's that share values of the store, since changes a
 * second are what the store has least of. One put writes whatever a value holds.
 *
 * A put without an answer may be applied minutes late. Every write of a value is
 * therefore conditional on its last known revision, beside the leader's key: once a
 * later write has succeeded, no earlier one can bring back what the value held.
 */
export class SharedRecords<V> {
	private readonly packs = new Map<string, Pack<V>>();
	private readonly home = new Map<string, Pack<V>>();
	private writing = false;
	private nextWrite = -Infinity;
	private nextShrink = -Infinity;
	private made = 0;

	constructor(
		private readonly prefix: string,
		private readonly leaderCondition: StoreCondition,
		private readonly mostBytes: number,
		private readonly store: StorePort,
		private readonly hooks: SharedRecordsHooks<V>,
		private readonly pace: SharedRecordsPace,
	) {}

	/** What the store held when the term began. */
	load(key: string, record: SharedRecord<V>, revision: number): void {
		const pack = this.newPack(key, revision);
		for (const [name, value] of Object.entries(record.entries)) {
			// Two values can name one thing only if a leader moved it; the copy is dropped.
			if (this.home.has(name)) pack.shrunk = true;
			else this.put(pack, name, value);
		}
	}

	has(name: string): boolean {
		return this.home.has(name);
	}

	set(name: string, value: V): void {
		const size = sizeOf(name, value);
		let pack = this.home.get(name);
		if (!pack) {
			for (const candidate of this.packs.values()) {
				if (candidate.bytes + size <= this.mostBytes) {
					pack = candidate;
					break;
				}
			}
			pack ??= this.newPack(`${this.prefix}${this.leaderCondition.revision}-${++this.made}`, 0);
		}
		this.put(pack, name, value);
		pack.fresh.set(name, value);
	}

	delete(name: string): void {
		const pack = this.home.get(name);
		if (!pack) return;
		this.home.delete(name);
		pack.bytes -= sizeOf(name, pack.entries.get(name) as V);
		pack.entries.delete(name);
		pack.fresh.delete(name);
		pack.shrunk = true;
	}

	private newPack(key: string, revision: number): Pack<V> {
		const pack: Pack<V> = { key, revision, entries: new Map(), bytes: 0, fresh: new Map(), shrunk: false };
		this.packs.set(key, pack);
		return pack;
	}

	private put(pack: Pack<V>, name: string, value: V): void {
		const old = pack.entries.get(name);
		if (old !== undefined) pack.bytes -= sizeOf(name, old);
		pack.entries.set(name, value);
		pack.bytes += sizeOf(name, value);
		this.home.set(name, pack);
	}

	/** Called often, with authority. */
	flush(): void {
		const now = this.hooks.now();
		if (this.writing || now < this.nextWrite) return;
		const shrinkToo = now >= this.nextShrink;
		const due = [...this.packs.values()]
			.filter((pack) => pack.fresh.size > 0 || (shrinkToo && pack.shrunk))
			.sort((a, b) => b.fresh.size - a.fresh.size);
		if (due.length === 0) return;
		const changes: StoreChange[] = [];
		const written: { pack: Pack<V>; fresh: Map<string, V> }[] = [];
		let bytes = 0;
		for (const pack of due) {
			if (written.length === mostPerWrite || (written.length > 0 && bytes + pack.bytes > mostBytesPerWrite))
				break;
			bytes += pack.bytes;
			written.push({ pack, fresh: pack.fresh });
			pack.fresh = new Map();
			pack.shrunk = false;
			const value: SharedRecord<V> = { entries: Object.fromEntries(pack.entries) };
			if (pack.entries.size > 0) changes.push({ put: pack.key, value });
			else if (pack.revision > 0) changes.push({ delete: pack.key });
			else this.packs.delete(pack.key);
		}
		if (changes.length === 0) return;
		this.nextWrite = now + this.pace.everyMs;
		if (shrinkToo) this.nextShrink = now + this.pace.shrinkMs;
		this.write(changes, written);
	}

	private write(changes: StoreChange[], written: { pack: Pack<V>; fresh: Map<string, V> }[]): void {
		this.writing = true;
		const conditions = [
			this.leaderCondition,
			...written.map(({ pack }) => ({ key: pack.key, revision: pack.revision })),
		];
		const again = () => {
			this.writing = false;
			this.nextWrite = Math.max(this.nextWrite, this.hooks.now() + retryMs);
			for (const { pack, fresh } of written) {
				pack.shrunk = true;
				for (const [name, value] of fresh) {
					if (this.home.get(name) === pack && !pack.fresh.has(name)) pack.fresh.set(name, value);
				}
			}
		};
		this.store.transact(conditions, changes, this.pace.rateClass).then(
			(result) =>
				this.hooks.post(() => {
					if (!result.ok) {
						again();
						if (result.failed.includes(this.leaderCondition.key)) this.hooks.lostKey();
						else this.readBack(result.failed);
						return;
					}
					this.writing = false;
					for (const { pack, fresh } of written) {
						const put = changes.some((c) => "put" in c && c.put === pack.key);
						pack.revision = put ? result.epoch : 0;
						if (!put && pack.entries.size === 0) this.packs.delete(pack.key);
						this.hooks.confirmed(fresh);
					}
				}),
			(error) =>
				this.hooks.post(() => {
					again();
					this.hooks.failed(error);
				}),
		);
	}

	/** A write that got no answer was carried out after all: the value is ours, its revision is news. */
	private readBack(keys: string[]): void {
		this.writing = true;
		const pending = keys.map(async (key) => {
			const { row } = await this.store.read(key);
			return { key, revision: row?.revision ?? 0 };
		});
		Promise.all(pending).then(
			(found) =>
				this.hooks.post(() => {
					this.writing = false;
					for (const { key, revision } of found) {
						const pack = this.packs.get(key);
						if (pack) pack.revision = revision;
					}
				}),
			(error) =>
				this.hooks.post(() => {
					this.writing = false;
					this.hooks.failed(error);
				}),
		);
	}
}

/** Bytes that an entry takes in the value's JSON, or a little more. */
function sizeOf(name: string, value: unknown): number {
	return Buffer.byteLength(name) + Buffer.byteLength(JSON.stringify(value)) + 4;
}
