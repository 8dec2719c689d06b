import type { StoreChange, StoreCondition } from "../../protocol/http/store-api.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { CallError } from "../ports/call-error.js";
import type { KeyValueStore, WritePriority } from "../ports/store.js";

interface RecordChunk<V> {
	readonly key: string;
	/** Revision at which the store has it, as far as known; 0: it should not be there. */
	revision: number;
	readonly entries: Map<string, V>;
	bytes: number;
	/** Set since the last confirmed write; what a write in flight carries is not in here. */
	fresh: Map<string, V>;
	/** Entries were taken out, which can wait. */
	shrunk: boolean;
	/** Larger than a value may be: its entries have gone to these, and once all are written it goes. */
	parts: Set<RecordChunk<V>> | null;
	/** The value that its entries were in before, if that was split. */
	splitFrom: string | null;
	/** The store has said no to it as it is. */
	refused: boolean;
}

/** A value in a write that is on its way, with the entries that the write confirms. */
interface Written<V> {
	pack: RecordChunk<V>;
	fresh: Map<string, V>;
}

/** What all shared records of a term have in common. */
export interface ChunkedRecordsEnvironment {
	leaderCondition: StoreCondition;
	/** Largest value that is written, and changes that one transaction may hold. */
	maxChunkBytes: number;
	maxChangesPerWrite: number;
	store: KeyValueStore;
	post(command: () => void): void;
	now(): number;
	/** The leader's key has changed hands. */
	onLeaderKeyLost(): void;
	onWriteFailed(error: unknown): void;
	/** The store does not take these values: too large, though within the limits that were told. */
	onChunksRejected(keys: string[], mostBytes: number): void;
}

export interface ChunkedRecordsOptions<V> extends ChunkedRecordsEnvironment {
	/** Begins the keys of the values. */
	prefix: string;
	pace: WritePace;
	/** The store has confirmed these. */
	onConfirmed(entries: Map<string, V>): void;
}

export interface WritePace {
	priority: WritePriority;
	/** Least time between writes, and how long what was taken out may stay. */
	minIntervalMs: number;
	cleanupIntervalMs: number;
}

const mostPerWrite = 3;
/** Values are never tried smaller than this. */
const leastBytes = 256;
const mostBytesPerWrite = 40 * 1024;
const retryMs = 300;

/**
 * Many small records of the leader's that share values of the store, since changes a
 * second are what the store has least of. One put writes whatever a value holds.
 *
 * A put without an answer may be applied minutes late. Every write of a value is
 * therefore conditional on its last known revision, beside the leader's key: once a
 * later write has succeeded, no earlier one can bring back what the value held.
 *
 * A value that is larger than values may be by now stays as it is until it would be
 * written again. Then its entries go to new values, and it is removed only once all of
 * those are written: whoever reads at any moment finds every entry, the newer of two in
 * the value with the later revision.
 */
export class ChunkedRecords<V> {
	private readonly packs = new Map<string, RecordChunk<V>>();
	private readonly home = new Map<string, RecordChunk<V>>();
	private writing = false;
	private nextWrite = -Infinity;
	private nextShrink = -Infinity;
	private made = 0;

	private readonly leaderCondition: StoreCondition;
	private readonly pace: WritePace;
	private mostBytes: number;
	private mostChanges: number;

	constructor(private readonly options: ChunkedRecordsOptions<V>) {
		this.leaderCondition = options.leaderCondition;
		this.pace = options.pace;
		this.mostBytes = options.maxChunkBytes;
		this.mostChanges = options.maxChangesPerWrite;
	}

	/** What the store held when the term began. */
	load(values: Iterable<[string, { value: StoredChunk<V>; revision: number }]>): void {
		// Two values name one thing if a leader ended while it split one; the older copy is dropped.
		for (const [key, { value, revision }] of [...values].sort((a, b) => b[1].revision - a[1].revision)) {
			const pack = this.newPack(key, revision);
			for (const [name, entry] of Object.entries(value.entries)) {
				if (this.home.has(name)) pack.shrunk = true;
				else this.put(pack, name, entry);
			}
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
				if (candidate.parts === null && candidate.bytes + size <= this.mostBytes) {
					pack = candidate;
					break;
				}
			}
			pack ??= this.another();
		}
		this.put(pack, name, value);
		pack.fresh.set(name, value);
		pack.refused = false;
	}

	private another(): RecordChunk<V> {
		return this.newPack(`${this.options.prefix}${this.leaderCondition.revision}-${++this.made}`, 0);
	}

	private partsOf(key: string): RecordChunk<V>[] {
		return [...this.packs.values()].filter((pack) => pack.splitFrom === key);
	}

	/** Its entries go to new values, which are written like any other. */
	private split(pack: RecordChunk<V>): void {
		const parts = new Set<RecordChunk<V>>();
		let part = this.another();
		for (const [name, value] of pack.entries) {
			if (part.entries.size > 0 && part.bytes + sizeOf(name, value) > this.mostBytes) part = this.another();
			parts.add(part);
			this.put(part, name, value);
			const fresh = pack.fresh.get(name);
			if (fresh !== undefined) part.fresh.set(name, fresh);
			part.shrunk = true;
		}
		pack.parts = parts;
		for (const made of parts) made.splitFrom = pack.key;
		pack.entries.clear();
		pack.fresh.clear();
		pack.bytes = 0;
		pack.shrunk = false;
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

	private newPack(key: string, revision: number): RecordChunk<V> {
		const pack: RecordChunk<V> = {
			key,
			revision,
			entries: new Map(),
			bytes: 0,
			fresh: new Map(),
			shrunk: false,
			parts: null,
			splitFrom: null,
			refused: false,
		};
		this.packs.set(key, pack);
		return pack;
	}

	private put(pack: RecordChunk<V>, name: string, value: V): void {
		const old = pack.entries.get(name);
		if (old !== undefined) pack.bytes -= sizeOf(name, old);
		pack.entries.set(name, value);
		pack.bytes += sizeOf(name, value);
		this.home.set(name, pack);
	}

	/** Called often, with authority. */
	flush(): void {
		const now = this.options.now();
		if (this.writing || now < this.nextWrite) return;
		const shrinkToo = now >= this.nextShrink;
		const wants = (pack: RecordChunk<V>) =>
			!pack.refused && (pack.fresh.size > 0 || (pack.shrunk && (shrinkToo || pack.revision === 0)));
		for (const pack of [...this.packs.values()])
			if (pack.bytes > this.mostBytes && pack.entries.size > 1 && wants(pack)) this.split(pack);
		const due = [...this.packs.values()]
			.filter((pack) => wants(pack) || pack.parts?.size === 0)
			.sort((a, b) => b.fresh.size - a.fresh.size);
		const written = this.firstOf(due);
		const changes = written.flatMap(({ pack }) => this.changeOf(pack));
		if (changes.length === 0) return;
		this.nextWrite = now + this.pace.minIntervalMs;
		if (shrinkToo) this.nextShrink = now + this.pace.cleanupIntervalMs;
		this.write(changes, written);
	}

	/** As many of them as one transaction may hold; what is set from now on is not in it. */
	private firstOf(due: RecordChunk<V>[]): Written<V>[] {
		const most = Math.min(mostPerWrite, this.mostChanges);
		const written: Written<V>[] = [];
		let bytes = 0;
		for (const pack of due) {
			const tooMuch = written.length > 0 && bytes + pack.bytes > mostBytesPerWrite;
			if (written.length === most || tooMuch) break;
			bytes += pack.bytes;
			written.push({ pack, fresh: pack.fresh });
			pack.fresh = new Map();
			pack.shrunk = false;
		}
		return written;
	}

	private changeOf(pack: RecordChunk<V>): StoreChange[] {
		const value: StoredChunk<V> = { entries: Object.fromEntries(pack.entries) };
		if (pack.entries.size > 0) return [{ put: pack.key, value }];
		if (pack.revision > 0) return [{ delete: pack.key }];
		this.forget(pack);
		return [];
	}

	private write(changes: StoreChange[], written: Written<V>[]): void {
		this.writing = true;
		const conditions = [
			this.leaderCondition,
			...written.map(({ pack }) => ({ key: pack.key, revision: pack.revision })),
		];
		this.options.store.compareAndSwap(conditions, changes, this.pace.priority).then(
			(result) =>
				this.options.post(() => {
					if (result.swapped) this.succeeded(changes, written, result.revision);
					else this.conflicted(written, result.conflicts);
				}),
			(error) => this.options.post(() => this.notWritten(written, error)),
		);
	}

	private succeeded(changes: StoreChange[], written: Written<V>[], revision: number): void {
		this.writing = false;
		for (const { pack, fresh } of written) {
			const put = changes.some((change) => "put" in change && change.put === pack.key);
			pack.revision = put ? revision : 0;
			if (!put && pack.entries.size === 0) this.forget(pack);
			else this.written(pack);
			// Versions before 0.5.0 forget a page when a value that held the same goes: they hear it once more.
			for (const part of pack.parts === null ? [] : this.partsOf(pack.key)) part.shrunk = true;
			this.options.onConfirmed(fresh);
		}
	}

	private conflicted(written: Written<V>[], failed: string[]): void {
		this.writeAgain(written);
		if (failed.includes(this.leaderCondition.key)) this.options.onLeaderKeyLost();
		else this.readBack(failed);
	}

	private notWritten(written: Written<V>[], error: unknown): void {
		this.writeAgain(written);
		if (error instanceof CallError && error.status === 400) this.shrinkValues(written);
		else this.options.onWriteFailed(error);
	}

	private writeAgain(written: Written<V>[]): void {
		this.writing = false;
		this.nextWrite = Math.max(this.nextWrite, this.options.now() + retryMs);
		for (const { pack, fresh } of written) {
			pack.shrunk = true;
			for (const [name, value] of fresh) {
				if (this.home.get(name) === pack && !pack.fresh.has(name)) pack.fresh.set(name, value);
			}
		}
	}

	private forget(pack: RecordChunk<V>): void {
		this.packs.delete(pack.key);
		this.written(pack);
	}

	/** What was split into it, among others, need not keep its entries any more. */
	private written(pack: RecordChunk<V>): void {
		for (const other of this.packs.values()) other.parts?.delete(pack);
	}

	/**
	 * Fewer values at once, then smaller ones; and what can't be smaller is not tried again as
	 * it is: the rest must not wait behind it.
	 */
	private shrinkValues(written: Written<V>[]): void {
		if (written.length > 1) this.mostChanges = Math.max(1, Math.floor(written.length / 2));
		else {
			const { pack } = written[0] as Written<V>;
			this.mostBytes = Math.max(leastBytes, Math.floor(Math.min(this.mostBytes, pack.bytes) / 2));
			pack.refused = pack.entries.size <= 1 || pack.bytes <= this.mostBytes;
		}
		this.options.onChunksRejected(
			written.map(({ pack }) => pack.key),
			this.mostBytes,
		);
	}

	/** A write that got no answer was carried out after all: the value is ours, its revision is news. */
	private readBack(keys: string[]): void {
		this.writing = true;
		const pending = keys.map(async (key) => {
			const { row } = await this.options.store.read(key);
			return { key, revision: row?.revision ?? 0 };
		});
		Promise.all(pending).then(
			(found) =>
				this.options.post(() => {
					this.writing = false;
					for (const { key, revision } of found) {
						const pack = this.packs.get(key);
						if (pack) pack.revision = revision;
					}
				}),
			(error) =>
				this.options.post(() => {
					this.writing = false;
					this.options.onWriteFailed(error);
				}),
		);
	}
}

/** Bytes that an entry takes in the value's JSON, or a little more. */
function sizeOf(name: string, value: unknown): number {
	return Buffer.byteLength(name) + Buffer.byteLength(JSON.stringify(value)) + 4;
}
