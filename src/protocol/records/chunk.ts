/**
 * Chunks: values of the store that each contain many small records by name, because the number of changes per
 * second is the store's scarcest resource. Records of machines and pages of done tasks are stored in chunks.
 */

import * as v from "valibot";
import type { JobId } from "../model/identifiers.js";

/** The stored form of a chunk: its entries by name. */
export interface StoredChunk<V> {
	entries: Record<string, V>;
}

/** A stored chunk of text entries: pages of bitmaps of done tasks, named by `pageName`. */
export const StoredProgressChunkSchema = v.looseObject({ entries: v.record(v.string(), v.string()) });

/** Returns the name of a page of a job's bitmap of done tasks. */
export function pageName(jobId: JobId, page: number): string {
	return `${jobId}/${page}`;
}

/** Returns the job and the page number of a page name. */
export function parsePageName(entryName: string): { jobId: JobId; page: number } {
	const slash = entryName.lastIndexOf("/");
	return { jobId: entryName.slice(0, slash), page: Number(entryName.slice(slash + 1)) };
}
