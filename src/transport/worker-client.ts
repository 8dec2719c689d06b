import type { WorkerGateway } from "../coordination/ports/workers.js";
import { paths } from "../protocol/http/paths.js";
import { directCommandsBody, heartbeatFrom } from "../protocol/http/worker-api.js";
import type { WorkerCommand, WorkerHeartbeat } from "../protocol/model/worker.js";
import { expectStatus, type HttpCaller, HttpClient, parseResponse } from "./http-client.js";

/** Orders sent straight to workers; each call has its own short-lived connection. */
export class WorkerClient implements WorkerGateway {
	constructor(
		private readonly open: (endpoint: string) => HttpCaller = (endpoint) => new HttpClient(endpoint, 1),
	) {}

	async sendCommands(
		endpoint: string,
		token: number,
		session: number,
		orders: WorkerCommand[],
	): Promise<{ executed: boolean; report: WorkerHeartbeat }> {
		const http = this.open(endpoint);
		try {
			const answer = await http.call(
				"POST",
				paths.commands,
				directCommandsBody(token, session, orders),
				2000,
			);
			expectStatus(answer, "orders", 200, 409);
			const report = parseResponse(answer, "orders", (body) =>
				heartbeatFrom((body ?? {}) as Record<string, unknown>),
			);
			return { executed: answer.status === 200, report };
		} finally {
			http.close();
		}
	}
}
