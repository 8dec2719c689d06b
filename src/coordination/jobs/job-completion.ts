/** The leader's writes of the progress and the completion of jobs. */

import type { Job } from "../../bookkeeping/job.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { StoreChange, StoreCondition } from "../../protocol/http/store-api.js";
import type { JobId, Revision } from "../../protocol/model/identifiers.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import type { StoredChunk } from "../../protocol/records/chunk.js";
import { encodeFinalRecord, type FinalJobRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { CompareAndSwapResult, KeyValueStore } from "../ports/store.js";
import type { ChunkedRecordsEnvironment } from "../replication/chunked-records.js";
import { DoneTaskRecords } from "./done-task-records.js";

const retryDelayMs = 300;

/** Dependencies of the completion. All functions are called in the serial executor. */
export interface JobCompletionOptions {
	/** Condition that the leader key is that of the term: a write fails once it has changed. */
	leaderCondition: StoreCondition;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	chunkedRecords: ChunkedRecordsEnvironment;
	/** Runs an action in the serial executor. */
	post(action: () => void): void;
	/** Returns true if the term has ended, so that nothing more is written. */
	termEnded(): boolean;
	/** All live jobs. */
	jobs(): Iterable<Job>;
	/** Returns a live job; undefined: there is none with this id. */
	jobById(id: JobId): Job | undefined;
	/** Called when the final record has been written, with the revision of the write. */
	onJobDone(job: Job, final: FinalJobRecord, revision: Revision): void;
	/** Called when a write has failed because the leader key has changed. */
	onLeaderKeyChanged(): void;
}

/**
 * Writes the done tasks of live jobs, and replaces the live record of a job by a final one when all its tasks are
 * done. The replacement is conditional on the live record, so that a job that a user cancels at the same time ends
 * only once; tests of that are in `tests/service/cancellation-races.test.ts`.
 */
export class JobCompletion {
	private readonly doneTasks: DoneTaskRecords;

	constructor(private readonly options: JobCompletionOptions) {
		const { chunkedRecords, jobs, jobById } = options;
		this.doneTasks = new DoneTaskRecords({ chunkedRecords, jobs, jobById });
	}

	/** Loads the chunks of done tasks that the store holds at the beginning of the term. */
	load(values: Iterable<[string, Versioned<StoredChunk<string>>]>): void {
		this.doneTasks.load(values);
	}

	/** Writes the changed done tasks at the write interval. Called often, only while the leader has authority. */
	tick(now: number): void {
		this.doneTasks.tick(now);
	}

	/** Deletes the pages of done tasks of a job that has ended. */
	deleteProgress(job: Job): void {
		this.doneTasks.deletePages(job);
	}

	/** Starts to write the final record if all tasks of the job are done. */
	finalizeIfDone(job: Job): void {
		if (!job.doneTasks.full || job.finalizing || job.ended) return;
		this.writeFinalRecord(job);
	}

	/**
	 * Writes the final record, with retries until the store responds. A rejection by the store is logged; the leader's
	 * audit of its jobs calls this method again later.
	 */
	writeFinalRecord(job: Job): void {
		if (this.options.termEnded() || job.ended) return;
		job.startFinalizing(this.options.clock.now());
		const { spec } = job;
		const final: FinalJobRecord = {
			status: "done",
			taskCount: spec.taskCount,
			doneCount: spec.taskCount,
			demand: taskDemandOf(spec),
		};
		void this.sendFinalRecord(job, final);
	}

	private async sendFinalRecord(job: Job, final: FinalJobRecord): Promise<void> {
		const { leaderCondition, store, post } = this.options;
		const conditions = [leaderCondition, { key: keys.job(job.id), revision: job.revision }];
		const changes: StoreChange[] = [
			{ delete: keys.job(job.id) },
			{ put: keys.final(job.id), value: encodeFinalRecord(final) },
		];
		try {
			const result = await store.compareAndSwap(conditions, changes, "user");
			post(() => this.onResponse(job, final, result));
		} catch (error) {
			this.onWriteError(job, error);
		}
	}

	private onResponse(job: Job, final: FinalJobRecord, result: CompareAndSwapResult): void {
		if (result.swapped) {
			this.logDone(job);
			this.options.onJobDone(job, final, result.revision);
		} else if (result.conflicts.includes(keys.leader)) {
			this.options.onLeaderKeyChanged();
		}
		// Otherwise the job was cancelled first, and the leader receives the cancellation by the store's watch.
	}

	private logDone(job: Job): void {
		const { clock, log } = this.options;
		const tookS = Math.round((clock.date().getTime() - job.acceptedAt) / 100) / 10;
		const { jobClass, deadlineS } = job.spec;
		log.info({ jobId: job.id, jobClass, tookS, deadlineS }, "job done");
	}

	private onWriteError(job: Job, err: unknown): void {
		const { clock, post, log } = this.options;
		if (err instanceof CallError && err.outcome === "rejected") {
			log.error({ key: keys.final(job.id), err }, "record rejected by the store");
			return;
		}
		clock.after(retryDelayMs, () => post(() => this.writeFinalRecord(job)));
	}
}
