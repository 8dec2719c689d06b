/** Selects the chunks of the next write. */

import type { ChunkLimits } from "./chunk-limits.js";
import type { RecordChunk } from "./record-chunk.js";

/** Maximum number of chunks in one write, even if the store accepts more. */
const maxChunksPerWrite = 3;

/** Maximum size of one write that has more than one chunk. */
const maxBytesPerWrite = 40 * 1024;

/** Returns the chunks that are due and larger than the limit: they are split before they are written. */
export function chunksToSplit<V>(
	chunks: readonly RecordChunk<V>[],
	limits: ChunkLimits,
	cleanup: boolean,
): RecordChunk<V>[] {
	return chunks.filter(
		(chunk) => chunk.bytes > limits.maxChunkBytes && chunk.size > 1 && chunk.isDue(cleanup),
	);
}

/** Returns the chunks for one write: those that are due, with the most unwritten entries first, within the limits. */
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
