/** Client for direct commands to workers, which must not wait for the next heartbeat. */

import type { DirectCommandResult, WorkerGateway } from "../../coordination/ports/workers.js";
import { paths } from "../../protocol/http/paths.js";
import { directCommandsBody, parseDirectCommandsResponse } from "../../protocol/http/worker-api.js";
import type { AgentEpoch, FencingToken } from "../../protocol/model/identifiers.js";
import type { WorkerCommand } from "../../protocol/model/worker.js";
import { type HttpCaller, HttpClient } from "./http-client.js";
import { expectStatus, parseResponse } from "./http-response.js";

const callTimeoutMs = 2000;

/**
 * Sends direct commands to workers. Each call uses its own short-lived connection, because each worker is called
 * seldom and there are more workers than the process may have sockets.
 */
export class WorkerClient implements WorkerGateway {
	/** @param openClient Creates the client of one worker's address; each call closes its client. */
	constructor(
		private readonly openClient: (endpoint: string) => HttpCaller = (endpoint) => new HttpClient(endpoint, 1),
	) {}

	async sendCommands(
		endpoint: string,
		fencingToken: FencingToken,
		agentEpoch: AgentEpoch,
		commands: WorkerCommand[],
	): Promise<DirectCommandResult> {
		const http = this.openClient(endpoint);
		try {
			const body = directCommandsBody(fencingToken, agentEpoch, commands);
			const response = await http.call("POST", paths.commands, body, callTimeoutMs);
			// 409: the fencing token is too low or the agent epoch is different, and no command was executed.
			expectStatus(response, "direct commands", 200, 409);
			const heartbeat = parseResponse(response, "direct commands", parseDirectCommandsResponse);
			return { executed: response.status === 200, heartbeat };
		} finally {
			http.close();
		}
	}
}
