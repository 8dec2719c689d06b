/** Users' requests about jobs: submission, state and cancellation. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { Clock } from "../ports/clock.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";
import { JobCancellation } from "./job-cancellation.js";
import { type JobLookup, type SubmitResult, unavailableResult } from "./job-results.js";
import { JobStateReader } from "./job-state-reader.js";
import { JobSubmission } from "./job-submission.js";

/** What the service needs. */
export interface JobServiceOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	clock: Clock;
	/** The quota of a team; undefined: there is no such team. */
	quotaOf(team: string): TeamQuota | undefined;
	/** The zones of the platform's settings; empty: the settings do not say. */
	zones: readonly string[];
	/** Largest value that the store takes. */
	maxValueBytes: number;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
	/** Tasks of the job that run, as the leader last said. */
	runningTaskCount(id: JobId): number;
}

/**
 * Serves users on every controller, by the store alone, so that they need no leader: the leader learns of new
 * and cancelled jobs from the store. What cannot be answered with certainty is answered as unavailable at once,
 * since users turn to another controller then.
 */
export class JobService {
	private readonly states: JobStateReader;
	private readonly submission: JobSubmission;
	private readonly cancellation: JobCancellation;

	constructor(options: JobServiceOptions) {
		this.states = new JobStateReader(options);
		this.submission = new JobSubmission({ ...options, states: this.states });
		this.cancellation = new JobCancellation({ ...options, states: this.states });
	}

	/** Accepts a job, or says why not. */
	submit(spec: JobSpec): Promise<SubmitResult> {
		return this.submission.submit(spec);
	}

	/** The job's state as of some moment after the call. */
	async status(id: JobId): Promise<JobLookup> {
		try {
			const state = await this.states.read(id);
			return state ? { kind: "found", ...state } : { kind: "not-found" };
		} catch (error) {
			return unavailableResult(error);
		}
	}

	/** Cancels the job, unless it is over. Resolves to its state afterwards. */
	cancel(id: JobId): Promise<JobLookup> {
		return this.cancellation.cancel(id);
	}
}
