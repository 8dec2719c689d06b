/** Keeps the jobs in a leader's cluster state consistent with the live jobs in its store replica. */

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

const auditIntervalMs = 10_000;

/** Dependencies of the live jobs of a term. */
export interface LiveJobsOptions {
	authority: TermAuthority;
	clusterState: ClusterState;
	replica: StoreReplica;
	store: KeyValueStore;
	/** Dependencies that all chunked records of the term share. */
	chunkedRecords: ChunkedRecordsEnvironment;
	clock: Clock;
	log: Log;
	post(action: () => void): void;
	/** Sends stop commands for attempts whose stop is requested. */
	stopAttempts(attempts: Attempt[]): void;
}

/**
 * Loads jobs into the cluster state when they appear in the replica, and removes them when they have ended. Also
 * writes the progress of jobs and their final records.
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

	/** Loads all live jobs of the replica, at the beginning of the term. */
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

	/** Loads or removes a job that was added to the replica or removed from it. */
	onReplicaChange(id: JobId): void {
		const { authority, clusterState, replica } = this.options;
		if (authority.ended) return;
		const record = replica.jobs.get(id);
		if (!record) this.remove(id);
		else if (!clusterState.jobs.has(id)) this.load(id, record);
	}

	/** Starts to write the job's final record if all its tasks are done. */
	finalizeIfDone(job: Job): void {
		this.completion.finalizeIfDone(job);
	}

	/** Writes the done tasks. Called often, only while the leader has authority. */
	writeProgress(now: number): void {
		this.completion.tick(now);
	}

	/**
	 * Compares the jobs of the replica and of the cluster state, and repairs differences after a missed change. Also
	 * repeats the write of a final record that has not completed (tests/service/replica-repair.test.ts). Called often,
	 * only while the leader has authority.
	 */
	audit(now: number): void {
		if (now < this.nextAuditAt) return;
		this.nextAuditAt = now + auditIntervalMs;
		const { clusterState, replica } = this.options;
		for (const id of replica.jobs.keys()) if (!clusterState.jobs.has(id)) this.onReplicaChange(id);
		for (const [id, job] of [...clusterState.jobs]) {
			if (!replica.jobs.has(id)) this.remove(id);
			else if (job.finalizing && now - job.lastFinalWriteAt > auditIntervalMs)
				this.completion.writeFinalRecord(job);
		}
	}

	private onJobDone(job: Job, final: FinalJobRecord, revision: Revision): void {
		this.options.replica.applyConfirmedWrite(keys.final(job.id), encodeFinalRecord(final), revision);
		this.remove(job.id);
	}

	/** Removes a job that has ended: none of its tasks may start, and its running tasks are stopped. */
	private remove(id: JobId): void {
		const { authority, clusterState, log, stopAttempts } = this.options;
		const job = clusterState.jobs.get(id);
		if (!job) return;
		this.completion.deleteProgress(job);
		const running = clusterState.removeJob(job);
		if (running.length > 0) log.info({ jobId: id, tasks: running.length }, "job ended: stopping tasks");
		if (authority.active) stopAttempts(running);
	}
}
