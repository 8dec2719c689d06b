/** Users' requests about jobs: submission, state and cancellation. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { ProcessMemory } from "../ports/process-memory.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";
import { JobCancellation } from "./job-cancellation.js";
import { JobCapacity } from "./job-capacity.js";
import { type JobLookup, type SubmitResult, unavailableResult } from "./job-results.js";
import { JobStateReader } from "./job-state-reader.js";
import { JobSubmission } from "./job-submission.js";

/** Dependencies of the service. */
export interface JobServiceOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	clock: Clock;
	memory: ProcessMemory;
	log: Log;
	/** Returns the quota of a team; undefined: there is no such team. */
	quotaOf(team: string): TeamQuota | undefined;
	/** The zones in the platform's settings; empty: the settings do not list them. */
	zones: readonly string[];
	/** Size limit of a value in the store. */
	maxValueBytes: number;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
	/** Returns the number of running tasks of the job, as last reported by the leader. */
	runningTaskCount(id: JobId): number;
}

/**
 * Serves users' requests on every controller. It uses only the store, so that it works without a leader: the leader
 * receives new and cancelled jobs from the store. A request with an uncertain result is answered as unavailable at
 * once, so that the user turns to another controller.
 */
export class JobService {
	private readonly stateReader: JobStateReader;
	private readonly submission: JobSubmission;
	private readonly cancellation: JobCancellation;

	constructor(options: JobServiceOptions) {
		this.stateReader = new JobStateReader(options);
		const capacity = new JobCapacity(options);
		this.submission = new JobSubmission({ ...options, stateReader: this.stateReader, capacity });
		this.cancellation = new JobCancellation({ ...options, stateReader: this.stateReader });
	}

	/** Accepts a job, or returns the reason why not. */
	submit(spec: JobSpec): Promise<SubmitResult> {
		return this.submission.submit(spec);
	}

	/** Resolves to the job's state at a time between the call and its result. */
	async status(id: JobId): Promise<JobLookup> {
		try {
			const state = await this.stateReader.read(id);
			return state ? { kind: "found", ...state } : { kind: "not-found" };
		} catch (error) {
			return unavailableResult(error);
		}
	}

	/** Cancels the job, unless it has ended. Resolves to its state afterwards. */
	cancel(id: JobId): Promise<JobLookup> {
		return this.cancellation.cancel(id);
	}
}
