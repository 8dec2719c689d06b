/** Chooses which chunks the next write holds. */

import type { ChunkLimits } from "./chunk-limits.js";
import type { RecordChunk } from "./record-chunk.js";

/** Most chunks in one write, whatever the store would take. */
const maxChunksPerWrite = 3;

/** Most bytes in one write, if it holds more than one chunk. */
const maxBytesPerWrite = 40 * 1024;

/** Chunks that are larger than chunks may be and are due anyway: they are split before they are written. */
export function chunksToSplit<V>(
	chunks: readonly RecordChunk<V>[],
	limits: ChunkLimits,
	cleanup: boolean,
): RecordChunk<V>[] {
	return chunks.filter(
		(chunk) => chunk.bytes > limits.maxChunkBytes && chunk.size > 1 && chunk.isDue(cleanup),
	);
}

/** The chunks that are due, those with the most to write first, as many as one write may hold. */
export function chunksToWrite<V>(
	chunks: readonly RecordChunk<V>[],
	limits: ChunkLimits,
	cleanup: boolean,
): RecordChunk<V>[] {
	const due = chunks
		.filter((chunk) => chunk.isDue(cleanup) || chunk.isReplaced)
		.sort((a, b) => b.unwrittenCount - a.unwrittenCount);
	const maxChunks = Math.min(maxChunksPerWrite, limits.maxChangesPerWrite);
	const selected: RecordChunk<V>[] = [];
	let bytes = 0;
	for (const chunk of due) {
		const tooManyBytes = selected.length > 0 && bytes + chunk.bytes > maxBytesPerWrite;
		if (selected.length === maxChunks || tooManyBytes) break;
		bytes += chunk.bytes;
		selected.push(chunk);
	}
	return selected;
}
