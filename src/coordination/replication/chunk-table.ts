/**
 * The chunks of one kind of records, and the assignment of records to chunks.
 *
 * Invariant: every record is in exactly one chunk. A chunk that has become too large is split: its entries move to new
 * chunks, and its stored value is deleted only when all of those are written. A read of the store therefore finds
 * every record at any time; of two copies, the one in the chunk with the later revision is the newer. Tests: "a chunk
 * larger than the limit ..." and "a leader that ends while a chunk is split ..." in chunked-records.test.ts; trace 50.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import { compareUint64 } from "../../protocol/model/uint64.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { entryBytes, RecordChunk } from "./record-chunk.js";

/** A chunk that was read from the store. */
export interface LoadedChunk<V> {
	value: StoredChunk<V>;
	revision: Revision;
}

/** Owns the chunks. */
export class ChunkTable<V> {
	private readonly chunksByKey = new Map<string, RecordChunk<V>>();
	private readonly chunksByRecord = new Map<string, RecordChunk<V>>();
	private createdCount = 0;

	/** @param newKeyPrefix Prefix of the keys of new chunks, unique to this term. */
	constructor(private readonly newKeyPrefix: string) {}

	/** Returns all chunks, in the order in which they were loaded or created. */
	chunks(): RecordChunk<V>[] {
		return [...this.chunksByKey.values()];
	}

	/** Returns the chunk with that key in the store. */
	chunk(key: string): RecordChunk<V> | undefined {
		return this.chunksByKey.get(key);
	}

	/** True if there is a record of that name. */
	has(name: string): boolean {
		return this.chunksByRecord.has(name);
	}

	/** Loads the chunks of the store. */
	load(loaded: Iterable<[string, LoadedChunk<V>]>): void {
		// Two chunks have the same record if a leader ended while it split one: the older copy is removed by a cleanup.
		const latestFirst = [...loaded].sort((a, b) => compareUint64(b[1].revision, a[1].revision));
		for (const [key, { value, revision }] of latestFirst) {
			const chunk = this.add(key, revision);
			for (const [name, entry] of Object.entries(value.entries)) {
				if (this.has(name)) chunk.stale = true;
				else this.insert(chunk, name, entry);
			}
		}
	}

	/** Sets a record, in its present chunk or else in one that has capacity for it. */
	set(name: string, value: V, maxChunkBytes: number): void {
		const chunk =
			this.chunksByRecord.get(name) ??
			this.chunkWithCapacity(entryBytes(name, value), maxChunkBytes) ??
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

	/** Moves the entries of a chunk to new chunks. A new chunk exceeds the limit only if it has a single entry. */
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

	/** Removes a chunk that has no entries and is not in the store. */
	remove(chunk: RecordChunk<V>): void {
		this.chunksByKey.delete(chunk.key);
		this.markWritten(chunk);
	}

	/** Records that a chunk is written, or that it no longer has anything to write. */
	markWritten(chunk: RecordChunk<V>): void {
		for (const candidate of this.chunksByKey.values()) candidate.successorWritten(chunk);
	}

	private chunkWithCapacity(bytes: number, maxChunkBytes: number): RecordChunk<V> | undefined {
		for (const chunk of this.chunksByKey.values())
			if (!chunk.isSplit && chunk.bytes + bytes <= maxChunkBytes) return chunk;
		return undefined;
	}

	private create(): RecordChunk<V> {
		this.createdCount += 1;
		return this.add(`${this.newKeyPrefix}${this.createdCount}`, 0);
	}

	private add(key: string, revision: Revision): RecordChunk<V> {
		const chunk = new RecordChunk<V>(key, revision);
		this.chunksByKey.set(key, chunk);
		return chunk;
	}

	private insert(chunk: RecordChunk<V>, name: string, value: V): void {
		chunk.insert(name, value);
		this.chunksByRecord.set(name, chunk);
	}
}
