/** The interface of the service to the public API. */

import type { JobLookup, SubmitResult } from "../../coordination/jobs/job-results.js";
import type { HeartbeatResponse } from "../../coordination/workers/heartbeat-router.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";

/** The operations of the service for users, workers and the load balancer. */
export interface PublicService {
	/** Submits a job. Resolves once it is certain that the job is accepted or that it is not. */
	submit(spec: JobSpec): Promise<SubmitResult>;
	/** Returns the state of a job at some time after the call. */
	status(id: JobId): Promise<JobLookup>;
	/** Cancels a job. Resolves to its state after the cancellation. */
	cancel(id: JobId): Promise<JobLookup>;
	/**
	 * Handles a worker's heartbeat. Resolves to commands, or to the controller to which the heartbeat should go
	 * instead.
	 */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse>;
	/** True if the load balancer should send requests to this controller. */
	ready(): boolean;
}
