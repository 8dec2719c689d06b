/** Direct commands to workers, as coordination uses them. */

import type { AgentEpoch, FencingToken } from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";

/** The response of a worker to direct commands. */
export interface DirectCommandResult {
	/** False if the fencing token is too low or the agent epoch differs; no command was executed then. */
	executed: boolean;
	/** The state of the worker afterwards. */
	heartbeat: WorkerHeartbeat;
}

/** Sends direct commands to workers. */
export interface WorkerGateway {
	/** Sends commands to the worker at the endpoint. Rejects with a CallError. */
	sendCommands(
		endpoint: string,
		token: FencingToken,
		agentEpoch: AgentEpoch,
		commands: WorkerCommand[],
	): Promise<DirectCommandResult>;
}
