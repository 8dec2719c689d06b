/** Keeps the jobs that a leader works on in step with the jobs in its replica of the store. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { JobId, Revision } from "../../protocol/model/identifiers.js";
import { encodeFinalRecord, type FinalJobRecord } from "../../protocol/records/final-record.js";
import type { JobRecord } from "../../protocol/records/job-record.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ChunkedRecordsEnvironment } from "../replication/chunked-records.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { TermAuthority } from "../state/term-authority.js";
import { JobCompletion } from "./job-completion.js";

const auditEveryMs = 10_000;

/** What the live jobs of a term need. */
export interface LiveJobsOptions {
	authority: TermAuthority;
	clusterState: ClusterState;
	replica: StoreReplica;
	store: KeyValueStore;
	/** What all chunked records of the term have in common. */
	chunkedRecords: ChunkedRecordsEnvironment;
	clock: Clock;
	log: Log;
	post(action: () => void): void;
	/** Sends the stop commands of attempts whose stop was decided. */
	stopAttempts(attempts: Attempt[]): void;
}

/**
 * Loads jobs into the cluster state when they appear in the replica, and removes them when they are over. Owns the
 * writing of progress and of final records.
 */
export class LiveJobs {
	private readonly completion: JobCompletion;
	private nextAuditAt = 0;

	constructor(private readonly options: LiveJobsOptions) {
		const { authority, clusterState, store, clock, log, chunkedRecords, post } = options;
		this.completion = new JobCompletion({
			leaderCondition: authority.leaderCondition,
			store,
			clock,
			log,
			chunkedRecords,
			post,
			termEnded: () => authority.ended,
			jobs: () => clusterState.jobs.values(),
			jobById: (id) => clusterState.jobs.get(id),
			onJobDone: (job, final, revision) => this.onJobDone(job, final, revision),
			onLeaderKeyChanged: () => authority.leaderKeyLost(),
		});
	}

	/** Loads all that the replica holds when the term begins. */
	loadAll(): void {
		const { replica } = this.options;
		this.completion.load(replica.progressChunks);
		for (const [id, record] of replica.jobs) this.load(id, record);
	}

	private load(id: JobId, { value: { spec, acceptedAt }, revision }: Versioned<JobRecord>): void {
		const { clusterState, replica, clock, log } = this.options;
		const job = clusterState.addJob(id, spec, acceptedAt, revision);
		job.load(replica.donePagesOf(id), clock.now());
		const { jobClass, team, taskCount, estimatedRunS, deadlineS } = spec;
		log.debug({ jobId: id, jobClass, team, tasks: taskCount, estimatedRunS, deadlineS }, "job loaded");
		this.completion.finalizeIfDone(job);
	}

	/** A job appeared in the replica, or left it. */
	onReplicaChange(id: JobId): void {
		const { authority, clusterState, replica } = this.options;
		if (authority.ended) return;
		const record = replica.jobs.get(id);
		if (!record) this.remove(id);
		else if (!clusterState.jobs.has(id)) this.load(id, record);
	}

	/** Ends the job in the store if all its tasks are done. */
	finalizeIfDone(job: Job): void {
		this.completion.finalizeIfDone(job);
	}

	/** Writes which tasks are done. Called often, with authority. */
	writeProgress(now: number): void {
		this.completion.tick(now);
	}

	/**
	 * The replica and the cluster state must hold the same jobs. Should a change ever be missed, or the writing of a
	 * final record get stuck, this mends it (tests/service/replica-repair.test.ts). Called often, with authority.
	 */
	audit(now: number): void {
		if (now < this.nextAuditAt) return;
		this.nextAuditAt = now + auditEveryMs;
		const { clusterState, replica } = this.options;
		for (const id of replica.jobs.keys()) if (!clusterState.jobs.has(id)) this.onReplicaChange(id);
		for (const [id, job] of [...clusterState.jobs]) {
			if (!replica.jobs.has(id)) this.remove(id);
			else if (job.finalizing && now - job.lastFinalWriteAt > auditEveryMs)
				this.completion.writeFinalRecord(job);
		}
	}

	private onJobDone(job: Job, final: FinalJobRecord, revision: Revision): void {
		this.options.replica.applyConfirmedWrite(keys.final(job.id), encodeFinalRecord(final), revision);
		this.remove(job.id);
	}

	/** The job is over: nothing of it may start, and what still runs is stopped. */
	private remove(id: JobId): void {
		const { authority, clusterState, log, stopAttempts } = this.options;
		const job = clusterState.jobs.get(id);
		if (!job) return;
		this.completion.deleteProgress(job);
		const running = clusterState.removeJob(job);
		if (running.length > 0) log.info({ jobId: id, tasks: running.length }, "job over: stopping tasks");
		if (authority.active) stopAttempts(running);
	}
}
