import type { WorkerPort } from "../coordination/ports.js";
import type { Order, WorkerReport } from "../protocol/model.js";
import { directOrdersBody, paths, reportFrom } from "../protocol/wire.js";
import { expectStatus, type HttpCaller, HttpClient } from "./http-client.js";

/** Orders sent straight to workers; each call has its own short-lived connection. */
export class WorkerClient implements WorkerPort {
	constructor(
		private readonly open: (endpoint: string) => HttpCaller = (endpoint) => new HttpClient(endpoint, 1),
	) {}

	async command(
		endpoint: string,
		token: number,
		session: number,
		orders: Order[],
	): Promise<{ executed: boolean; report: WorkerReport }> {
		const http = this.open(endpoint);
		try {
			const answer = await http.call("POST", paths.commands, directOrdersBody(token, session, orders), 2000);
			const body = expectStatus(answer, "orders", 200, 409);
			return {
				executed: answer.status === 200,
				report: reportFrom((body ?? {}) as Record<string, unknown>),
			};
		} finally {
			http.close();
		}
	}
}
