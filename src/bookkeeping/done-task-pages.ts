/**
 * The pages of jobs' bitmaps of done tasks, as the store has them.
 *
 * A chunk of the store holds pages of many jobs, and a page may be in two chunks at once: when a chunk is split, or
 * when a leader ended while it did that. The page in the chunk with the later revision holds then. Tests: "a leader
 * that ends while a chunk is split ..." in chunked-records.test.ts; trace 50.
 */

import type { JobId, Revision } from "../protocol/model/identifiers.js";
import { parsePageName, type StoredChunk } from "../protocol/records/chunk.js";
import { countInPage } from "./task-set.js";
import { type Versioned, VersionedMap } from "./versioned.js";

/** A page's number within its job, and its bits as text. */
export type DonePage = [page: number, bits: string];

/** Owns the stored chunks of pages, and the index of their pages by job. */
export class DoneTaskPages {
	private readonly chunksByKey = new VersionedMap<StoredChunk<string>>();
	private readonly pagesByJob = new Map<JobId, Map<number, string>>();

	/** The chunks by their keys in the store. */
	get chunks(): ReadonlyMap<string, Versioned<StoredChunk<string>>> {
		return this.chunksByKey.entries;
	}

	/** Pages of a job, in no order. */
	pagesOf(jobId: JobId): Iterable<DonePage> {
		return this.pagesByJob.get(jobId) ?? [];
	}

	/** How many tasks of a job are done. */
	doneCount(jobId: JobId): number {
		let done = 0;
		for (const [, bits] of this.pagesOf(jobId)) done += countInPage(bits);
		return done;
	}

	/** A chunk was written. */
	putChunk(key: string, chunk: StoredChunk<string>, revision: Revision): void {
		const before = this.chunks.get(key)?.value;
		if (!this.chunksByKey.put(key, chunk, revision)) return;
		this.dropPages(before, chunk);
		for (const [name, bits] of Object.entries(chunk.entries)) this.setPage(name, bits);
	}

	/** A chunk was removed. */
	removeChunk(key: string, revision: Revision): void {
		const before = this.chunks.get(key)?.value;
		if (this.chunksByKey.remove(key, revision)) this.dropPages(before, { entries: {} });
	}

	/** Forgets all chunks and pages. */
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

	/** Only what the chunk held and no longer holds leaves the index: pages may move between chunks. */
	private dropPages(before: StoredChunk<string> | undefined, after: StoredChunk<string>): void {
		for (const [name, bits] of Object.entries(before?.entries ?? {})) {
			if (name in after.entries) continue;
			const { jobId, page } = parsePageName(name);
			const pages = this.pagesByJob.get(jobId);
			// Another chunk has brought a newer state of the page.
			if (pages?.get(page) !== bits) continue;
			// The chunk was split: another one holds a copy.
			const copy = this.latestCopy(name);
			if (copy !== undefined) pages.set(page, copy);
			else pages.delete(page);
			if (pages.size === 0) this.pagesByJob.delete(jobId);
		}
	}

	/** The page as the latest chunk that holds it has it. */
	private latestCopy(name: string): string | undefined {
		let latest: { bits: string; revision: Revision } | null = null;
		for (const { value, revision } of this.chunks.values()) {
			const bits = value.entries[name];
			if (bits !== undefined && (latest === null || revision > latest.revision)) latest = { bits, revision };
		}
		return latest?.bits;
	}
}
