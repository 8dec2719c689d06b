/** What the public API needs of the service behind it. */

import type { JobLookup, SubmitResult } from "../../coordination/jobs/job-results.js";
import type { HeartbeatResponse } from "../../coordination/workers/heartbeat-router.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";

/** The service as users, workers and the load balancer see it. */
export interface PublicService {
	/** Accepts a job. Resolves once that is certain or certainly not so. */
	submit(spec: JobSpec): Promise<SubmitResult>;
	/** The state of a job as of some moment after the call. */
	status(id: JobId): Promise<JobLookup>;
	/** Cancels a job. Resolves to its state afterwards. */
	cancel(id: JobId): Promise<JobLookup>;
	/** Takes a worker's heartbeat. Resolves to commands, or to the controller that should receive it. */
	handleHeartbeat(heartbeat: WorkerHeartbeat): Promise<HeartbeatResponse>;
	/** Whether this controller should be sent requests. */
	ready(): boolean;
}
