/**
 * The stored pages of the jobs' bitmaps of done tasks.
 *
 * A chunk in the store holds pages of many jobs. While a chunk is being split, and after a leader has failed during a
 * split, a page may be in two chunks at once; the copy in the chunk with the higher revision is valid then. Tests: "a
 * leader that ends while a chunk is split ..." in chunked-records.test.ts; trace 50.
 */

import * as v from "valibot";
import type { StoreRow } from "../protocol/http/store-api.js";
import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { parsePageName, type StoredChunk, StoredProgressChunkSchema } from "../protocol/records/chunk.js";
import { keys } from "../protocol/records/keys.js";
import { countInPage, sharedPageText } from "./task-set.js";
import { type Versioned, VersionedMap } from "./versioned.js";

/** A page's number within its job, and its bits in base64. */
export type DonePage = [page: number, bits: string];

/** The stored chunks of pages, and an index of the pages by job. */
export class DoneTaskPages {
	private readonly chunksByKey = new VersionedMap<StoredChunk<string>>();
	private readonly pagesByJob = new Map<JobId, Map<number, string>>();

	/** The chunks by their keys in the store. */
	get chunks(): ReadonlyMap<string, Versioned<StoredChunk<string>>> {
		return this.chunksByKey.entries;
	}

	/** Pages of a job, in no particular order. */
	pagesOf(jobId: JobId): Iterable<DonePage> {
		return this.pagesByJob.get(jobId) ?? [];
	}

	/** Number of done tasks of a job. */
	doneCount(jobId: JobId): number {
		let count = 0;
		for (const [, bits] of this.pagesOf(jobId)) count += countInPage(bits);
		return count;
	}

	/** Applies the write of a chunk. */
	putChunk(key: string, value: StoredChunk<string>, revision: Revision): void {
		const previous = this.chunks.get(key)?.value;
		const chunk = withSharedPages(value);
		if (!this.chunksByKey.put(key, chunk, revision)) return;
		this.removeMissingPages(previous, chunk);
		for (const [name, bits] of Object.entries(chunk.entries)) this.setPage(name, bits);
	}

	/** Applies the removal of a chunk. */
	removeChunk(key: string, revision: Revision): void {
		const previous = this.chunks.get(key)?.value;
		if (this.chunksByKey.remove(key, revision)) this.removeMissingPages(previous, { entries: {} });
	}

	/** Removes all chunks and pages. */
	clear(): void {
		this.chunksByKey.clear();
		this.pagesByJob.clear();
	}

	private setPage(name: string, bits: string): void {
		const { jobId, page } = parsePageName(name);
		const pages = this.pagesByJob.get(jobId);
		if (pages) pages.set(page, bits);
		else this.pagesByJob.set(jobId, new Map([[page, bits]]));
	}

	/** Removes from the index the pages that the chunk no longer holds, unless another chunk holds them. */
	private removeMissingPages(previous: StoredChunk<string> | undefined, current: StoredChunk<string>): void {
		for (const [name, bits] of Object.entries(previous?.entries ?? {})) {
			if (name in current.entries) continue;
			const { jobId, page } = parsePageName(name);
			const pages = this.pagesByJob.get(jobId);
			// Another chunk holds a newer version of the page.
			if (pages?.get(page) !== bits) continue;
			// The chunk was split: another chunk holds a copy.
			const copy = this.latestCopy(name);
			if (copy !== undefined) pages.set(page, copy);
			else pages.delete(page);
			if (pages.size === 0) this.pagesByJob.delete(jobId);
		}
	}

	/** The page's bits in the chunk with the highest revision among those that hold the page. */
	private latestCopy(name: string): string | undefined {
		let latest: { bits: string; revision: Revision } | null = null;
		for (const { value, revision } of this.chunks.values()) {
			const bits = value.entries[name];
			if (bits !== undefined && (latest === null || revision > latest.revision)) latest = { bits, revision };
		}
		return latest?.bits;
	}
}

/** Returns the chunk with one copy of the text of all full pages, which are most pages of a large job. */
function withSharedPages(chunk: StoredChunk<string>): StoredChunk<string> {
	const shared = Object.entries(chunk.entries).map(([name, bits]) => [name, sharedPageText(bits)]);
	return { ...chunk, entries: Object.fromEntries(shared) };
}

/** Returns the row of the store with one copy of the text of all full pages of done tasks; others are unchanged. */
export function withSharedTexts(row: StoreRow): StoreRow {
	const isChunk = row.key.startsWith(keys.progress) && v.is(StoredProgressChunkSchema, row.value);
	return isChunk ? { ...row, value: withSharedPages(row.value as StoredChunk<string>) } : row;
}
