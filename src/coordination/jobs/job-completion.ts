import type { Job } from "../../bookkeeping/job.js";
import { tasksPerPage } from "../../bookkeeping/task-set.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { StoreChange, StoreCondition } from "../../protocol/http/store-api.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import { pageName, parsePageName, type StoredChunk } from "../../protocol/records/chunk.js";
import { encodeFinalRecord, type FinalJobRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { ChunkedRecords, type ChunkedRecordsEnvironment } from "../replication/chunked-records.js";

const progressEveryMs = 1000;
const shrinkMs = 5000;
const retryMs = 300;

export interface JobCompletionOptions {
	leaderCondition: StoreCondition;
	store: KeyValueStore;
	time: Clock;
	log: Log;
	records: ChunkedRecordsEnvironment;
	post(command: () => void): void;
	ended(): boolean;
	jobs(): Iterable<Job>;
	jobOf(id: string): Job | undefined;
	/** The end of the job is in the store, as of this revision. */
	finished(job: Job, final: FinalJobRecord, revision: number): void;
	/** The leader's key has changed hands. */
	lostKey(): void;
}

/** Writes which tasks are done, and the end of jobs of which all are. */
export class JobCompletion {
	private readonly progress: ChunkedRecords<string>;
	private nextProgress = 0;

	constructor(private readonly options: JobCompletionOptions) {
		this.progress = new ChunkedRecords({
			...options.records,
			prefix: keys.progress,
			onConfirmed: (entries) => this.confirmed(entries),
			pace: { priority: "background", minIntervalMs: progressEveryMs, cleanupIntervalMs: shrinkMs },
		});
	}

	/** What the store held when the term began. */
	load(values: Iterable<[string, Versioned<StoredChunk<string>>]>): void {
		this.progress.load(values);
	}

	/** Called often, with authority. */
	tick(now: number): void {
		if (now < this.nextProgress) return;
		this.nextProgress = now + progressEveryMs;
		for (const job of this.options.jobs()) {
			if (job.finalizing) continue;
			for (const page of job.takeChangedPages())
				this.progress.set(pageName(job.id, page), job.doneTasks.page(page));
		}
		this.progress.flush();
	}

	private confirmed(entries: Map<string, string>): void {
		for (const [name, bits] of entries) {
			const { jobId: job, page } = parsePageName(name);
			this.options.jobOf(job)?.markPageDurable(page, bits);
		}
	}

	/** The job is over: its done-set is of no use any more. */
	forget(job: Job): void {
		for (let page = 0; page * tasksPerPage < job.spec.taskCount; page++)
			this.progress.delete(pageName(job.id, page));
	}

	finishIfDone(job: Job): void {
		if (!job.doneTasks.full || job.finalizing || job.over) return;
		this.writeFinal(job);
	}

	/** Tries again all along while the store is away, so the audit leaves it alone. */
	writeFinal(job: Job): void {
		const { options } = this;
		if (options.ended() || job.over) return;
		job.startFinalizing(options.time.now());
		const { spec } = job;
		const final: FinalJobRecord = {
			status: "done",
			taskCount: spec.taskCount,
			doneCount: spec.taskCount,
			demand: taskDemandOf(spec),
		};
		const changes: StoreChange[] = [
			{ delete: keys.job(job.id) },
			{ put: keys.final(job.id), value: encodeFinalRecord(final) },
		];
		const conditions = [options.leaderCondition, { key: keys.job(job.id), revision: job.revision }];
		options.store.compareAndSwap(conditions, changes, "user").then(
			(result) =>
				options.post(() => {
					if (result.swapped) this.written(job, final, result.revision);
					// Else the job was cancelled first; the watch says so.
					else if (result.conflicts.includes(keys.leader)) options.lostKey();
				}),
			(error) => this.notWritten(job, error),
		);
	}

	private written(job: Job, final: FinalJobRecord, revision: number): void {
		const tookS = Math.round((this.options.time.date().getTime() - job.acceptedAt) / 100) / 10;
		const { jobClass, deadlineS } = job.spec;
		this.options.log.info({ job: job.id, jobClass, tookS, dueS: deadlineS }, "job done");
		this.options.finished(job, final, revision);
	}

	private notWritten(job: Job, error: unknown): void {
		const { time, post, log } = this.options;
		// What the store will not take is left to the audit, and said.
		const refused = error instanceof CallError && error.outcome === "rejected";
		if (refused) log.error({ key: keys.final(job.id), err: error.message }, "record rejected by the store");
		else time.after(retryMs, () => post(() => this.writeFinal(job)));
	}
}
