/** A chunk: one value of the store with many small records, and the state of its writes. */

import type { StoreChange } from "../../protocol/http/store-api.js";
import { stringifyJson } from "../../protocol/json.js";
import type { Revision } from "../../protocol/model/identifiers.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";

/** Size of the quotes, colon and comma around an entry, as an upper bound. */
const entryOverheadBytes = 4;

/** Returns an upper bound of the bytes that an entry takes in the JSON of its chunk. */
export function entryBytes(name: string, value: unknown): number {
	return Buffer.byteLength(name) + Buffer.byteLength(stringifyJson(value)) + entryOverheadBytes;
}

/** An entry of a chunk. */
export interface ChunkEntry<V> {
	name: string;
	value: V;
	/** True if the entry was set since the latest write that included it. */
	unwritten: boolean;
}

/**
 * The entries of one chunk. Invariants: `bytes` is the size of all entries, and every unwritten entry is among the
 * entries. `ChunkTable` assigns records to chunks.
 */
export class RecordChunk<V> {
	/** Latest known revision of the value in the store; 0: the key should not exist. */
	revision: Revision;
	/** True if the store has rejected the present value. It is not retried before it changes. */
	rejected = false;
	/** True if the stored value is out of date in a way that can wait for a cleanup, such as by removed entries. */
	stale = false;
	readonly #entries = new Map<string, V>();
	#bytes = 0;
	/** The entries that were set since the latest write that included them, without those of a write in flight. */
	private unwritten = new Map<string, V>();
	/** The chunks that the entries were moved to; empty: this chunk was not split. */
	private successors: readonly RecordChunk<V>[] = [];
	/** The successors that are not written yet. */
	private readonly unwrittenSuccessors = new Set<RecordChunk<V>>();

	constructor(
		readonly key: string,
		revision: Revision,
	) {
		this.revision = revision;
	}

	/** Upper bound of the size of all entries in the stored value. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Number of entries. */
	get size(): number {
		return this.#entries.size;
	}

	/** Number of entries that are to be written. */
	get unwrittenCount(): number {
		return this.unwritten.size;
	}

	/** True if the entries were moved to other chunks: this one is kept only until those are written. */
	get isSplit(): boolean {
		return this.successors.length > 0;
	}

	/** True if the entries were moved and all successors are written: the stored value may be deleted. */
	get isReplaced(): boolean {
		return this.isSplit && this.unwrittenSuccessors.size === 0;
	}

	/** True if the chunk is to be written; with `cleanup`, also if it has only changes that can wait. */
	isDue(cleanup: boolean): boolean {
		if (this.rejected) return false;
		return this.unwritten.size > 0 || (this.stale && (cleanup || this.revision === 0));
	}

	/** Adds or replaces an entry without marking it unwritten: the store has it, or a write in flight includes it. */
	insert(name: string, value: V): void {
		const previous = this.#entries.get(name);
		if (previous !== undefined) this.#bytes -= entryBytes(name, previous);
		this.#entries.set(name, value);
		this.#bytes += entryBytes(name, value);
	}

	/** Adds or replaces an entry that is to be written. */
	set(name: string, value: V): void {
		this.insert(name, value);
		this.unwritten.set(name, value);
		this.rejected = false;
	}

	/** Removes an entry. */
	delete(name: string): void {
		const value = this.#entries.get(name);
		if (value === undefined) return;
		this.#bytes -= entryBytes(name, value);
		this.#entries.delete(name);
		this.unwritten.delete(name);
		this.stale = true;
	}

	/** Returns the change that writes the present entries to the store; null: none is needed. */
	change(): StoreChange | null {
		if (this.#entries.size === 0) return this.revision > 0 ? { delete: this.key } : null;
		const value: StoredChunk<V> = { entries: Object.fromEntries(this.#entries) };
		return { put: this.key, value };
	}

	/** Marks the present entries as included in a write, and returns those that are confirmed if it succeeds. */
	beginWrite(): Map<string, V> {
		const includedEntries = this.unwritten;
		this.unwritten = new Map();
		this.stale = false;
		return includedEntries;
	}

	/** Marks the entries of a failed write as unwritten again, unless they were removed or set since. */
	writeFailed(includedEntries: ReadonlyMap<string, V>): void {
		this.stale = true;
		for (const [name, value] of includedEntries)
			if (this.#entries.has(name) && !this.unwritten.has(name)) this.unwritten.set(name, value);
	}

	/** Removes and returns all entries. */
	removeAllEntries(): ChunkEntry<V>[] {
		const removed: ChunkEntry<V>[] = [];
		for (const [name, value] of this.#entries)
			removed.push({ name, value, unwritten: this.unwritten.has(name) });
		this.#entries.clear();
		this.unwritten.clear();
		this.#bytes = 0;
		this.stale = false;
		return removed;
	}

	/** Records the chunks that the entries were moved to. */
	splitInto(successors: readonly RecordChunk<V>[]): void {
		this.successors = successors;
		for (const successor of successors) this.unwrittenSuccessors.add(successor);
	}

	/** Records that a chunk is written, or no longer has anything to write, in case it is a successor of this one. */
	successorWritten(chunk: RecordChunk<V>): void {
		this.unwrittenSuccessors.delete(chunk);
	}

	/**
	 * Marks the successors for another write after this chunk was deleted from the store. Versions before 0.5.0 drop a
	 * page when a value with that page is deleted, even if another value has it too; they reload it from the new write.
	 */
	removedFromStore(): void {
		for (const successor of this.successors) successor.stale = true;
	}
}
