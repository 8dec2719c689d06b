/** What coordination needs of the workers' own addresses. */

import type { AgentEpoch, FencingToken } from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";

/** What a worker has answered to direct commands. */
export interface DirectCommandResult {
	/** false: the fencing token is too low or the agent epoch is another, and nothing was executed. */
	executed: boolean;
	/** The state of the worker afterwards. */
	heartbeat: WorkerHeartbeat;
}

/** Commands that are sent straight to a worker. */
export interface WorkerGateway {
	/** Sends commands to the worker at the endpoint. Rejects with a CallError. */
	sendCommands(
		endpoint: string,
		token: FencingToken,
		agentEpoch: AgentEpoch,
		commands: WorkerCommand[],
	): Promise<DirectCommandResult>;
}
