/**
 * Chunked records: many small records of a leader that share values of the store, since changes a second are what
 * the store has least of. One put writes whatever a chunk holds.
 *
 * A put without an answer may be applied minutes late. So each write of a chunk is conditional on the last revision
 * of the chunk that is known, beside the leader key: once a later write has succeeded, no earlier one can bring back
 * what the chunk held. Tests: "a write of chunked records that is applied late ..." in chunked-records.test.ts;
 * trace 42.
 */

import type { StoreChange, StoreCondition } from "../../protocol/http/store-api.js";
import type { Revision } from "../../protocol/model/identifiers.js";
import { CallError } from "../ports/call-error.js";
import type { CompareAndSwapResult, KeyValueStore, WritePriority } from "../ports/store.js";
import { ChunkLimits } from "./chunk-limits.js";
import { chunksToSplit, chunksToWrite } from "./chunk-selection.js";
import { ChunkTable, type LoadedChunk } from "./chunk-table.js";
import type { RecordChunk } from "./record-chunk.js";

/** Least pause after a write that failed. */
const retryMs = 300;

/** How often chunks are written. */
export interface WritePace {
	priority: WritePriority;
	/** Least time between two writes. */
	minIntervalMs: number;
	/** How long entries that were removed may stay in the store. */
	cleanupIntervalMs: number;
}

/** What all chunked records of a term have in common. */
export interface ChunkedRecordsEnvironment {
	/** Holds as long as the leader key is that of this term. */
	leaderCondition: StoreCondition;
	/** Largest chunk that is written. */
	maxChunkBytes: number;
	/** Most changes that one transaction of the store may hold. */
	maxChangesPerWrite: number;
	store: KeyValueStore;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Steady time. */
	now(): number;
	/** The leader key has another revision by now. */
	onLeaderKeyLost(): void;
	/** A call to the store has failed; what it carried is tried again. */
	onWriteFailed(error: unknown): void;
	/** The store has rejected chunks, which are made smaller: too large, though within the limits that were told. */
	onChunksRejected(keys: string[], maxChunkBytes: number): void;
}

/** One kind of chunked records. */
export interface ChunkedRecordsOptions<V> extends ChunkedRecordsEnvironment {
	/** Begins the keys of the chunks. */
	prefix: string;
	pace: WritePace;
	/** The store has confirmed these records, by name. */
	onConfirmed(records: Map<string, V>): void;
}

/** A chunk in a write that is under way. */
interface WrittenChunk<V> {
	chunk: RecordChunk<V>;
	/** The entries that the write confirms. */
	carried: Map<string, V>;
}

/** Owns one kind of chunked records during a term, and writes them one write at a time. */
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

	/** Takes over what the store held when the term began: the chunks by their keys. */
	load(chunks: Iterable<[string, LoadedChunk<V>]>): void {
		this.table.load(chunks);
	}

	/** Whether there is a record of that name, written or not. */
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

	/** Called often, with authority: begins the next write when it is due. */
	flush(): void {
		const { pace } = this.options;
		const now = this.options.now();
		if (this.callInFlight || now < this.nextWriteAt) return;
		const cleanup = now >= this.nextCleanupAt;
		for (const chunk of chunksToSplit(this.table.chunks(), this.limits, cleanup))
			this.table.split(chunk, this.limits.maxChunkBytes);
		const selected = chunksToWrite(this.table.chunks(), this.limits, cleanup);
		const written = selected.map((chunk) => ({ chunk, carried: chunk.beginWrite() }));
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

	// --- how a write ends ---

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
		for (const { chunk, carried } of written) {
			const wasPut = changes.some((change) => "put" in change && change.put === chunk.key);
			chunk.revision = wasPut ? revision : 0;
			// Entries may have been set while the chunk was removed from the store.
			if (!wasPut && chunk.size === 0) this.table.remove(chunk);
			else this.table.markWritten(chunk);
			chunk.removedFromStore();
			this.options.onConfirmed(carried);
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
		for (const { chunk, carried } of written) chunk.writeFailed(carried);
	}

	/**
	 * A write without an answer was carried out after all: nobody else writes these chunks, so only their revisions
	 * are news. Test: "a write of chunked records whose answer was lost ..." in chunked-records.test.ts.
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
