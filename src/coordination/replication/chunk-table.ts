/**
 * The chunks of one kind of records, and which chunk each record belongs to.
 *
 * What must hold: every record is in exactly one chunk. A chunk that has become too large is split: its entries move
 * to new chunks, and its stored value is removed only when all of those are written. Whoever reads the store at any
 * moment so finds every record; of two copies, the one in the chunk with the later revision is the newer. Tests:
 * "a chunk larger than chunks may be now ..." and "a leader that ends while a chunk is split ..." in
 * chunked-records.test.ts; trace 50.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { entryBytes, RecordChunk } from "./record-chunk.js";

/** A chunk as the store has it. */
export interface LoadedChunk<V> {
	value: StoredChunk<V>;
	revision: Revision;
}

/** Owns the chunks. */
export class ChunkTable<V> {
	private readonly chunksByKey = new Map<string, RecordChunk<V>>();
	private readonly chunksByRecord = new Map<string, RecordChunk<V>>();
	private created = 0;

	/** @param newKeyPrefix Begins the keys of new chunks; no other term uses it. */
	constructor(private readonly newKeyPrefix: string) {}

	/** All chunks, in the order in which they were loaded or created. */
	chunks(): RecordChunk<V>[] {
		return [...this.chunksByKey.values()];
	}

	/** The chunk with the key in the store. */
	chunk(key: string): RecordChunk<V> | undefined {
		return this.chunksByKey.get(key);
	}

	/** Whether there is a record of that name. */
	has(name: string): boolean {
		return this.chunksByRecord.has(name);
	}

	/** Takes over what the store holds. */
	load(loaded: Iterable<[string, LoadedChunk<V>]>): void {
		// Two chunks hold the same record if a leader ended while it split one: the older copy is to be removed.
		const latestFirst = [...loaded].sort((a, b) => b[1].revision - a[1].revision);
		for (const [key, { value, revision }] of latestFirst) {
			const chunk = this.add(key, revision);
			for (const [name, entry] of Object.entries(value.entries)) {
				if (this.has(name)) chunk.stale = true;
				else this.put(chunk, name, entry);
			}
		}
	}

	/** Sets a record, in the chunk that it is in or in one that has room for it. */
	set(name: string, value: V, maxChunkBytes: number): void {
		const chunk =
			this.chunksByRecord.get(name) ??
			this.chunkWithRoom(entryBytes(name, value), maxChunkBytes) ??
			this.create();
		chunk.set(name, value);
		this.chunksByRecord.set(name, chunk);
	}

	/** Removes a record. */
	delete(name: string): void {
		const chunk = this.chunksByRecord.get(name);
		if (!chunk) return;
		this.chunksByRecord.delete(name);
		chunk.delete(name);
	}

	/** Moves the entries of a chunk to new chunks, none of them larger than allowed if it holds more than one. */
	split(chunk: RecordChunk<V>, maxChunkBytes: number): void {
		let successor = this.create();
		const successors = [successor];
		for (const { name, value, unwritten } of chunk.removeAllEntries()) {
			const full = successor.bytes + entryBytes(name, value) > maxChunkBytes;
			if (full && successor.size > 0) {
				successor = this.create();
				successors.push(successor);
			}
			if (unwritten) successor.set(name, value);
			else successor.insert(name, value);
			this.chunksByRecord.set(name, successor);
			successor.stale = true;
		}
		chunk.splitInto(successors);
	}

	/** The chunk is not in the store, and has no entries. */
	remove(chunk: RecordChunk<V>): void {
		this.chunksByKey.delete(chunk.key);
		this.markWritten(chunk);
	}

	/** The chunk is written, or has nothing to write any more. */
	markWritten(chunk: RecordChunk<V>): void {
		for (const other of this.chunksByKey.values()) other.successorWritten(chunk);
	}

	private chunkWithRoom(bytes: number, maxChunkBytes: number): RecordChunk<V> | undefined {
		for (const chunk of this.chunksByKey.values())
			if (!chunk.isSplit && chunk.bytes + bytes <= maxChunkBytes) return chunk;
		return undefined;
	}

	private create(): RecordChunk<V> {
		this.created += 1;
		return this.add(`${this.newKeyPrefix}${this.created}`, 0);
	}

	private add(key: string, revision: Revision): RecordChunk<V> {
		const chunk = new RecordChunk<V>(key, revision);
		this.chunksByKey.set(key, chunk);
		return chunk;
	}

	private put(chunk: RecordChunk<V>, name: string, value: V): void {
		chunk.insert(name, value);
		this.chunksByRecord.set(name, chunk);
	}
}
