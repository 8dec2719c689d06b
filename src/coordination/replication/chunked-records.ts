/**
 * Chunked records: many small records of a leader that share values of the store, because the store's write rate is
 * its scarcest resource. One put writes all entries of a chunk.
 *
 * A put without a response may be applied minutes late. Each write of a chunk is therefore conditional on the latest
 * known revision of the chunk, as well as on the leader key: once a later write has succeeded, an earlier one can no
 * longer restore old entries. Tests: "a write of chunked records that is applied late ..." in
 * chunked-records.test.ts; trace 42.
 */

import type { StoreChange, StoreCondition } from "../../protocol/http/store-api.js";
import type { Revision } from "../../protocol/model/identifiers.js";
import { CallError } from "../ports/call-error.js";
import type { CompareAndSwapResult, KeyValueStore, WritePriority } from "../ports/store.js";
import { ChunkLimits } from "./chunk-limits.js";
import { chunksToSplit, chunksToWrite } from "./chunk-selection.js";
import { ChunkTable, type LoadedChunk } from "./chunk-table.js";
import type { RecordChunk } from "./record-chunk.js";

/** Minimum backoff after a write that failed. */
const retryMs = 300;

/** The priority and the intervals of writes. */
export interface WritePace {
	priority: WritePriority;
	/** Minimum time between two writes. */
	minIntervalMs: number;
	/** Interval of the writes that delete removed entries from the store. */
	cleanupIntervalMs: number;
}

/** The dependencies that all chunked records of a term share. */
export interface ChunkedRecordsEnvironment {
	/** Holds as long as the leader key has the revision of this term. */
	leaderCondition: StoreCondition;
	/** Maximum size of a chunk. */
	maxChunkBytes: number;
	/** Maximum number of changes in one transaction of the store. */
	maxChangesPerWrite: number;
	store: KeyValueStore;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Returns the monotonic time. */
	now(): number;
	/** Called when the leader key has another revision. */
	onLeaderKeyLost(): void;
	/** Called when a call to the store has failed; it is retried. */
	onWriteFailed(error: unknown): void;
	/** Called when the store has rejected chunks as too large although they are within the limits in the settings. */
	onChunksRejected(keys: string[], maxChunkBytes: number): void;
}

/** One kind of chunked records. */
export interface ChunkedRecordsOptions<V> extends ChunkedRecordsEnvironment {
	/** Prefix of the keys of the chunks. */
	prefix: string;
	pace: WritePace;
	/** Called when the store has confirmed the write of these records, by name. */
	onConfirmed(records: Map<string, V>): void;
}

/** A chunk in a write that is in flight. */
interface WrittenChunk<V> {
	chunk: RecordChunk<V>;
	/** The entries that are confirmed if the write succeeds. */
	entries: Map<string, V>;
}

/** Owns one kind of chunked records during a term. One write is in flight at a time. */
export class ChunkedRecords<V> {
	private readonly table: ChunkTable<V>;
	private readonly limits: ChunkLimits;
	private callInFlight = false;
	private nextWriteAt = -Infinity;
	private nextCleanupAt = -Infinity;

	constructor(private readonly options: ChunkedRecordsOptions<V>) {
		this.table = new ChunkTable(`${options.prefix}${options.leaderCondition.revision}-`);
		this.limits = new ChunkLimits(options.maxChunkBytes, options.maxChangesPerWrite);
	}

	/** Loads the chunks that the store had when the term began, by their keys. */
	load(chunks: Iterable<[string, LoadedChunk<V>]>): void {
		this.table.load(chunks);
	}

	/** True if there is a record of that name, written or not. */
	has(name: string): boolean {
		return this.table.has(name);
	}

	/** Sets a record; `flush` writes it. */
	set(name: string, value: V): void {
		this.table.set(name, value, this.limits.maxChunkBytes);
	}

	/** Removes a record; it may stay in the store until the next cleanup. */
	delete(name: string): void {
		this.table.delete(name);
	}

	/** Starts the next write when it is due. It is called often, with authority. */
	flush(): void {
		const { pace } = this.options;
		const now = this.options.now();
		if (this.callInFlight || now < this.nextWriteAt) return;
		const cleanup = now >= this.nextCleanupAt;
		for (const chunk of chunksToSplit(this.table.chunks(), this.limits, cleanup))
			this.table.split(chunk, this.limits.maxChunkBytes);
		const selected = chunksToWrite(this.table.chunks(), this.limits, cleanup);
		const written = selected.map((chunk) => ({ chunk, entries: chunk.beginWrite() }));
		const changes = selected.flatMap((chunk) => this.changeOf(chunk));
		if (changes.length === 0) return;
		this.nextWriteAt = now + pace.minIntervalMs;
		if (cleanup) this.nextCleanupAt = now + pace.cleanupIntervalMs;
		void this.write(changes, written);
	}

	private changeOf(chunk: RecordChunk<V>): StoreChange[] {
		const change = chunk.change();
		if (change) return [change];
		this.table.remove(chunk);
		return [];
	}

	private async write(changes: StoreChange[], written: WrittenChunk<V>[]): Promise<void> {
		const { leaderCondition, store, pace, post } = this.options;
		this.callInFlight = true;
		const conditions = [
			leaderCondition,
			...written.map(({ chunk }) => ({ key: chunk.key, revision: chunk.revision })),
		];
		let result: CompareAndSwapResult;
		try {
			result = await store.compareAndSwap(conditions, changes, pace.priority);
		} catch (error) {
			post(() => this.writeFailed(written, error));
			return;
		}
		post(() => this.writeEnded(changes, written, result));
	}

	// --- results of writes ---

	private writeEnded(
		changes: readonly StoreChange[],
		written: readonly WrittenChunk<V>[],
		result: CompareAndSwapResult,
	): void {
		if (result.swapped) this.succeeded(changes, written, result.revision);
		else this.conflicted(written, result.conflicts);
	}

	private succeeded(
		changes: readonly StoreChange[],
		written: readonly WrittenChunk<V>[],
		revision: Revision,
	): void {
		this.callInFlight = false;
		for (const { chunk, entries } of written) {
			const wasPut = changes.some((change) => "put" in change && change.put === chunk.key);
			chunk.revision = wasPut ? revision : 0;
			// Entries may have been set while the deletion of the chunk was in flight.
			if (!wasPut && chunk.size === 0) this.table.remove(chunk);
			else this.table.markWritten(chunk);
			chunk.removedFromStore();
			this.options.onConfirmed(entries);
		}
	}

	private conflicted(written: readonly WrittenChunk<V>[], conflicts: readonly string[]): void {
		this.scheduleRetry(written);
		if (conflicts.includes(this.options.leaderCondition.key)) this.options.onLeaderKeyLost();
		else void this.readBack(conflicts);
	}

	private writeFailed(written: readonly WrittenChunk<V>[], error: unknown): void {
		this.scheduleRetry(written);
		if (!(error instanceof CallError) || error.status !== 400) {
			this.options.onWriteFailed(error);
			return;
		}
		const chunks = written.map(({ chunk }) => chunk);
		this.limits.writeRejected(chunks);
		this.options.onChunksRejected(
			chunks.map((chunk) => chunk.key),
			this.limits.maxChunkBytes,
		);
	}

	private scheduleRetry(written: readonly WrittenChunk<V>[]): void {
		this.callInFlight = false;
		this.nextWriteAt = Math.max(this.nextWriteAt, this.options.now() + retryMs);
		for (const { chunk, entries } of written) chunk.writeFailed(entries);
	}

	/**
	 * Reads the revisions of chunks whose conditions failed: a write to which there was no response was applied. No
	 * other process writes these chunks, so only their revisions can differ. Test: "a write of chunked records whose
	 * response was lost ..." in chunked-records.test.ts.
	 */
	private async readBack(keys: readonly string[]): Promise<void> {
		const { store, post, onWriteFailed } = this.options;
		this.callInFlight = true;
		const readRevision = async (key: string) => {
			const { row } = await store.read(key);
			return { key, revision: row?.revision ?? 0 };
		};
		let found: { key: string; revision: Revision }[];
		try {
			found = await Promise.all(keys.map(readRevision));
		} catch (error) {
			post(() => {
				this.callInFlight = false;
				onWriteFailed(error);
			});
			return;
		}
		post(() => {
			this.callInFlight = false;
			for (const { key, revision } of found) {
				const chunk = this.table.chunk(key);
				if (chunk) chunk.revision = revision;
			}
		});
	}
}
