/**
 * How large a chunk may be, and how many chunks one write may hold.
 *
 * The platform's settings tell both, but the store may be stricter: it may have been given lower limits, or count
 * otherwise. A rejected write makes the limits smaller until the store takes it. Tests: "chunks that the store
 * rejects for their size ..." in chunked-records.test.ts.
 */

import type { RecordChunk } from "./record-chunk.js";

/** Chunks are never tried smaller than this. */
const minChunkBytes = 256;

/** Owns the limits as far as they are known. They only become smaller. */
export class ChunkLimits {
	#maxChunkBytes: number;
	#maxChangesPerWrite: number;

	/**
	 * @param maxChunkBytes Largest chunk that may be written, as the platform tells it.
	 * @param maxChangesPerWrite Most changes that one write may hold, as the platform tells it.
	 */
	constructor(maxChunkBytes: number, maxChangesPerWrite: number) {
		this.#maxChunkBytes = maxChunkBytes;
		this.#maxChangesPerWrite = maxChangesPerWrite;
	}

	/** Largest chunk that is written. */
	get maxChunkBytes(): number {
		return this.#maxChunkBytes;
	}

	/** Most changes that one write may hold. */
	get maxChangesPerWrite(): number {
		return this.#maxChangesPerWrite;
	}

	/**
	 * The store has rejected a write of these chunks. Next time there are fewer at once, and then smaller ones. A
	 * chunk that cannot be made smaller is not tried again as it is, since the others must not wait behind it.
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
