/** The stored records of the done tasks of live jobs. */

import type { Job } from "../../bookkeeping/job.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { pageName, parsePageName, type StoredChunk } from "../../protocol/records/chunk.js";
import { keys } from "../../protocol/records/keys.js";
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "../replication/chunked-records.js";

/** Writes are batched, because it is acceptable that a few done tasks run again after a failover. */
const writeIntervalMs = 1000;

/** Upper bound of the time for which pages of ended jobs stay in the store. */
const pageCleanupIntervalMs = 5000;

/** Dependencies of the records. */
export interface DoneTaskRecordsOptions {
	chunkedRecords: ChunkedRecordsEnvironment;
	/** All live jobs. */
	jobs(): Iterable<Job>;
	/** Returns a live job; undefined: there is none with this id. */
	jobById(id: JobId): Job | undefined;
}

/**
 * Writes the bitmaps of done tasks of the live jobs, in pages, several of which share a value in the store.
 * `Job.durableDoneTasks` holds only what the store has confirmed.
 */
export class DoneTaskRecords {
	private readonly pages: ChunkedRecords<string>;
	/** Monotonic time of the next write. */
	private nextWriteAt = 0;

	constructor(private readonly options: DoneTaskRecordsOptions) {
		this.pages = new ChunkedRecords({
			...options.chunkedRecords,
			prefix: keys.progress,
			onConfirmed: (entries) => this.onConfirmed(entries),
			pace: {
				priority: "background",
				minIntervalMs: writeIntervalMs,
				cleanupIntervalMs: pageCleanupIntervalMs,
			},
		});
	}

	/** Loads the chunks that the store holds at the beginning of the term. */
	load(values: Iterable<[string, Versioned<StoredChunk<string>>]>): void {
		this.pages.load(values);
	}

	/** Writes the changed pages at the write interval. Called often, only while the leader has authority. */
	tick(now: number): void {
		if (now < this.nextWriteAt) return;
		this.nextWriteAt = now + writeIntervalMs;
		for (const job of this.options.jobs()) {
			// The final record makes the pages obsolete.
			if (!job.finalizing) this.setChangedPages(job);
		}
		this.pages.flush();
	}

	/** Deletes the pages of a job that has ended. */
	deletePages(job: Job): void {
		for (const page of job.doneTasks.pageNumbers) this.pages.delete(pageName(job.id, page));
	}

	private setChangedPages(job: Job): void {
		for (const page of job.consumeChangedPages()) {
			this.pages.set(pageName(job.id, page), job.doneTasks.encodePage(page));
		}
	}

	private onConfirmed(entries: Map<string, string>): void {
		for (const [name, bits] of entries) {
			const { jobId, page } = parsePageName(name);
			this.options.jobById(jobId)?.markPageDurable(page, bits);
		}
	}
}
