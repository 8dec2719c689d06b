/**
 * Chunks: values of the store that hold many small records by name, since changes per second are what the
 * store has least of. Machines and pages of done tasks are stored this way.
 */

import * as v from "valibot";
import type { JobId } from "../model/identifiers.js";

/** The stored form of a chunk: its entries by name. */
export interface StoredChunk<V> {
	entries: Record<string, V>;
}

/** A stored chunk of text entries: pages of bitmaps of done tasks, named by `pageName`. */
export const StoredProgressChunkSchema = v.looseObject({ entries: v.record(v.string(), v.string()) });

/** Name of a page of a job's bitmap of done tasks. */
export function pageName(jobId: JobId, page: number): string {
	return `${jobId}/${page}`;
}

/** The job and page that a name stands for. */
export function parsePageName(entryName: string): { jobId: JobId; page: number } {
	const slash = entryName.lastIndexOf("/");
	return { jobId: entryName.slice(0, slash), page: Number(entryName.slice(slash + 1)) };
}
