/** A worker's heartbeat as one controller forwards it to another. */

import type { WorkerHeartbeat } from "../../src/protocol/model/worker.js";

/** A heartbeat with a task in each state that messages between controllers distinguish. */
export const forwardedHeartbeat: WorkerHeartbeat = {
	machineId: "n-1",
	endpoint: "10.1.0.1:9000",
	machineType: "small",
	zone: "a",
	spot: true,
	agentEpoch: 2,
	sequence: 7,
	fencingToken: 3,
	reclaimInS: 12.5,
	tasks: [
		{
			jobId: "j-1",
			taskIndex: 4,
			attempt: 3 * 2 ** 22 + 1,
			state: "running",
			exitCause: null,
			checkpointed: false,
		},
		{ jobId: "j-2", taskIndex: 0, attempt: 5, state: "exited", exitCause: "stopped", checkpointed: true },
	],
};
