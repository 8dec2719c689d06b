/** The progress and the end of jobs in the store, as the leader writes them. */

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

const retryMs = 300;

/** What completion needs. All functions are called in the serial executor. */
export interface JobCompletionOptions {
	/** The leader key is that of the term: nothing is written after it has changed. */
	leaderCondition: StoreCondition;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	chunkedRecords: ChunkedRecordsEnvironment;
	/** Runs an action in the serial executor. */
	post(action: () => void): void;
	/** Whether the term is over, so that nothing more is written. */
	termEnded(): boolean;
	/** All live jobs. */
	jobs(): Iterable<Job>;
	/** A live job. */
	jobById(id: JobId): Job | undefined;
	/** The final record is in the store since this revision. */
	onJobDone(job: Job, final: FinalJobRecord, revision: Revision): void;
	/** A write was refused because the leader key has changed. */
	onLeaderKeyChanged(): void;
}

/**
 * Writes which tasks of live jobs are done, and replaces the record of a job all of whose tasks are done by a
 * final one. The latter is conditional on the job's live record, so that a job which its user cancels at the
 * same time ends once; tests of that are in `tests/service/cancellation-races.test.ts`.
 */
export class JobCompletion {
	private readonly doneTasks: DoneTaskRecords;

	constructor(private readonly options: JobCompletionOptions) {
		const { chunkedRecords, jobs, jobById } = options;
		this.doneTasks = new DoneTaskRecords({ chunkedRecords, jobs, jobById });
	}

	/** Takes over what the store held when the term began. */
	load(values: Iterable<[string, Versioned<StoredChunk<string>>]>): void {
		this.doneTasks.load(values);
	}

	/** Writes what has changed, once it is time. Called often, while this process may act. */
	tick(now: number): void {
		this.doneTasks.tick(now);
	}

	/** Deletes the record of which tasks were done of a job that is over. */
	deleteProgress(job: Job): void {
		this.doneTasks.delete(job);
	}

	/** Begins to write the final record if all tasks of the job are done. */
	finalizeIfDone(job: Job): void {
		if (!job.doneTasks.full || job.finalizing || job.ended) return;
		this.writeFinalRecord(job);
	}

	/**
	 * Writes the final record, and tries again for as long as the store does not answer. A record that the store
	 * rejects is logged, and tried again by the leader's audit of its jobs, which calls this.
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
		void this.send(job, final);
	}

	private async send(job: Job, final: FinalJobRecord): Promise<void> {
		const { leaderCondition, store, post } = this.options;
		const conditions = [leaderCondition, { key: keys.job(job.id), revision: job.revision }];
		const changes: StoreChange[] = [
			{ delete: keys.job(job.id) },
			{ put: keys.final(job.id), value: encodeFinalRecord(final) },
		];
		try {
			const result = await store.compareAndSwap(conditions, changes, "user");
			post(() => this.onAnswered(job, final, result));
		} catch (error) {
			this.onFailed(job, error);
		}
	}

	private onAnswered(job: Job, final: FinalJobRecord, result: CompareAndSwapResult): void {
		if (result.swapped) {
			this.logDone(job);
			this.options.onJobDone(job, final, result.revision);
		} else if (result.conflicts.includes(keys.leader)) {
			this.options.onLeaderKeyChanged();
		}
		// Otherwise the job was cancelled first. The store's watch tells the leader of that.
	}

	private logDone(job: Job): void {
		const { clock, log } = this.options;
		const tookS = Math.round((clock.date().getTime() - job.acceptedAt) / 100) / 10;
		const { jobClass, deadlineS } = job.spec;
		log.info({ jobId: job.id, jobClass, tookS, deadlineS }, "job done");
	}

	private onFailed(job: Job, err: unknown): void {
		const { clock, post, log } = this.options;
		if (err instanceof CallError && err.outcome === "rejected") {
			log.error({ key: keys.final(job.id), err }, "record rejected by the store");
			return;
		}
		clock.after(retryMs, () => post(() => this.writeFinalRecord(job)));
	}
}
