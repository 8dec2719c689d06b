/** A chunk: one value of the store that holds many small records, and how far the store has it. */

import type { StoreChange } from "../../protocol/http/store-api.js";
import type { Revision } from "../../protocol/model/identifiers.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";

/** Quotes, colon and comma around an entry, and a little more. */
const entryOverheadBytes = 4;

/** Bytes that an entry takes in the JSON of its chunk, or a little more. */
export function entryBytes(name: string, value: unknown): number {
	return Buffer.byteLength(name) + Buffer.byteLength(JSON.stringify(value)) + entryOverheadBytes;
}

/** An entry of a chunk. */
export interface ChunkEntry<V> {
	name: string;
	value: V;
	/** It was set since the latest write that carried it. */
	unwritten: boolean;
}

/**
 * The entries of one chunk. What must hold: `bytes` is the size of all entries, and whatever is not written yet is
 * among the entries. Which chunk a record belongs to is decided by `ChunkTable`.
 */
export class RecordChunk<V> {
	/** Revision at which the store has the value, as far as known; 0: the store should not have it. */
	revision: Revision;
	/** The store has rejected the value as it is. It is not tried again before it has changed. */
	rejected = false;
	/** The stored value is out of date, by entries that were removed or otherwise, which may wait for a cleanup. */
	stale = false;
	readonly #entries = new Map<string, V>();
	#bytes = 0;
	/** Were set since the latest write that carried them; what a write under way carries is not in here. */
	private unwritten = new Map<string, V>();
	/** The chunks that its entries were moved to; empty: it was not split. */
	private successors: readonly RecordChunk<V>[] = [];
	/** Those of them that are not written yet. */
	private readonly unwrittenSuccessors = new Set<RecordChunk<V>>();

	constructor(
		readonly key: string,
		revision: Revision,
	) {
		this.revision = revision;
	}

	/** Size of all entries in the stored value, or a little more. */
	get bytes(): number {
		return this.#bytes;
	}

	/** How many entries it has. */
	get size(): number {
		return this.#entries.size;
	}

	/** How many entries are to be written. */
	get unwrittenCount(): number {
		return this.unwritten.size;
	}

	/** Its entries were moved to other chunks: it is only kept until those are written. */
	get isSplit(): boolean {
		return this.successors.length > 0;
	}

	/** Its entries were moved, and all chunks that have them now are written: the stored value may go. */
	get isReplaced(): boolean {
		return this.isSplit && this.unwrittenSuccessors.size === 0;
	}

	/** Something of it is to be written; `cleanup`: also what may wait. */
	isDue(cleanup: boolean): boolean {
		if (this.rejected) return false;
		return this.unwritten.size > 0 || (this.stale && (cleanup || this.revision === 0));
	}

	/** Takes an entry that the store has, or that another chunk is responsible for writing. */
	insert(name: string, value: V): void {
		const known = this.#entries.get(name);
		if (known !== undefined) this.#bytes -= entryBytes(name, known);
		this.#entries.set(name, value);
		this.#bytes += entryBytes(name, value);
	}

	/** Sets an entry, which is to be written. */
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

	/** The change that brings the store up to the present entries; null: it needs none. */
	change(): StoreChange | null {
		if (this.#entries.size === 0) return this.revision > 0 ? { delete: this.key } : null;
		const value: StoredChunk<V> = { entries: Object.fromEntries(this.#entries) };
		return { put: this.key, value };
	}

	/** A write begins that carries the present entries. Returns those that it will confirm. */
	beginWrite(): Map<string, V> {
		const carried = this.unwritten;
		this.unwritten = new Map();
		this.stale = false;
		return carried;
	}

	/** The write was not carried out, as far as known: what it carried is to be written again, unless set since. */
	writeFailed(carried: ReadonlyMap<string, V>): void {
		this.stale = true;
		for (const [name, value] of carried)
			if (this.#entries.has(name) && !this.unwritten.has(name)) this.unwritten.set(name, value);
	}

	/** Hands out all entries, which leaves the chunk empty. */
	removeAllEntries(): ChunkEntry<V>[] {
		const taken: ChunkEntry<V>[] = [];
		for (const [name, value] of this.#entries)
			taken.push({ name, value, unwritten: this.unwritten.has(name) });
		this.#entries.clear();
		this.unwritten.clear();
		this.#bytes = 0;
		this.stale = false;
		return taken;
	}

	/** The entries were moved to these chunks. */
	splitInto(successors: readonly RecordChunk<V>[]): void {
		this.successors = successors;
		for (const successor of successors) this.unwrittenSuccessors.add(successor);
	}

	/** A chunk is written, or has nothing to write any more: if the entries went there, they are safe. */
	successorWritten(chunk: RecordChunk<V>): void {
		this.unwrittenSuccessors.delete(chunk);
	}

	/**
	 * The stored value of a chunk that was split is gone. Versions before 0.5.0 forget a page when a value that held
	 * it goes, whatever other values hold; they are shown the other values once more.
	 */
	removedFromStore(): void {
		for (const successor of this.successors) successor.stale = true;
	}
}
