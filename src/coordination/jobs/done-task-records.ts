/** The stored record of which tasks of live jobs are done. */

import type { Job } from "../../bookkeeping/job.js";
import { tasksPerPage } from "../../bookkeeping/task-set.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { pageName, parsePageName, type StoredChunk } from "../../protocol/records/chunk.js";
import { keys } from "../../protocol/records/keys.js";
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "../replication/chunked-records.js";

/** How often the done tasks are written: a few may run again after a failover, so it need not be at once. */
const writeEveryMs = 1000;

/** How long pages of jobs that are over may stay in the store. */
const shrinkEveryMs = 5000;

/** What the records need. */
export interface DoneTaskRecordsOptions {
	chunkedRecords: ChunkedRecordsEnvironment;
	/** All live jobs. */
	jobs(): Iterable<Job>;
	/** A live job. */
	jobById(id: JobId): Job | undefined;
}

/**
 * Writes the bitmaps of done tasks of the live jobs, in pages that share values of the store. Only what the
 * store has confirmed is in `Job.durableDoneTasks`.
 */
export class DoneTaskRecords {
	private readonly pages: ChunkedRecords<string>;
	/** Steady time of the next write. */
	private nextWriteAt = 0;

	constructor(private readonly options: DoneTaskRecordsOptions) {
		this.pages = new ChunkedRecords({
			...options.chunkedRecords,
			prefix: keys.progress,
			onConfirmed: (entries) => this.onConfirmed(entries),
			pace: { priority: "background", minIntervalMs: writeEveryMs, cleanupIntervalMs: shrinkEveryMs },
		});
	}

	/** Takes over what the store held when the term began. */
	load(values: Iterable<[string, Versioned<StoredChunk<string>>]>): void {
		this.pages.load(values);
	}

	/** Writes the pages that have changed, once it is time. Called often, while this process may act. */
	tick(now: number): void {
		if (now < this.nextWriteAt) return;
		this.nextWriteAt = now + writeEveryMs;
		for (const job of this.options.jobs()) {
			// The final record says more than the pages could.
			if (!job.finalizing) this.setChangedPages(job);
		}
		this.pages.flush();
	}

	/** Deletes the pages of a job that is over. */
	delete(job: Job): void {
		for (let page = 0; page * tasksPerPage < job.spec.taskCount; page++) {
			this.pages.delete(pageName(job.id, page));
		}
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
