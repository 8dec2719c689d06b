/**
 * Limits on the size of a chunk and on the number of changes in one write.
 *
 * The platform's settings give both, but the store may be stricter: its limits may be configured lower, or it may
 * measure sizes differently. Each rejected write lowers the limits until the store accepts the write. Tests: "chunks
 * that the store rejects for their size ..." in chunked-records.test.ts.
 */

import type { RecordChunk } from "./record-chunk.js";

/** Lower bound of the limit on the size of a chunk. */
const minChunkBytes = 256;

/** Owns the current limits, which only decrease. */
export class ChunkLimits {
	#maxChunkBytes: number;
	#maxChangesPerWrite: number;

	/**
	 * @param maxChunkBytes Maximum size of a chunk by the platform's settings.
	 * @param maxChangesPerWrite Maximum number of changes in one write by the platform's settings.
	 */
	constructor(maxChunkBytes: number, maxChangesPerWrite: number) {
		this.#maxChunkBytes = maxChunkBytes;
		this.#maxChangesPerWrite = maxChangesPerWrite;
	}

	/** Current maximum size of a chunk. */
	get maxChunkBytes(): number {
		return this.#maxChunkBytes;
	}

	/** Current maximum number of changes in one write. */
	get maxChangesPerWrite(): number {
		return this.#maxChangesPerWrite;
	}

	/**
	 * Lowers the limits after the store has rejected a write of these chunks: first the number of chunks in a write,
	 * then the size of a chunk. A chunk that cannot be split further is not retried before it changes, so that it does
	 * not block the other chunks.
	 */
	writeRejected(chunks: readonly RecordChunk<unknown>[]): void {
		if (chunks.length > 1) {
			this.#maxChangesPerWrite = Math.max(1, Math.floor(chunks.length / 2));
			return;
		}
		for (const chunk of chunks) {
			const half = Math.floor(Math.min(this.#maxChunkBytes, chunk.bytes) / 2);
			this.#maxChunkBytes = Math.max(minChunkBytes, half);
			chunk.rejected = chunk.size <= 1 || chunk.bytes <= this.#maxChunkBytes;
		}
	}
}
