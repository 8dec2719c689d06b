/** The HTTP client of one external system: the store, the cloud or a worker. */

import { Agent } from "node:http";
import { type HostAndPort, parseAddress } from "../address.js";
import { HttpExchange } from "./http-exchange.js";
import type { HttpResponse } from "./http-response.js";

/** The maximum number of idle connections that are kept open. */
const maxIdleSockets = 4;

/** The HTTP interface that the clients of external systems use. Tests replace it by a simulated network. */
export interface HttpCaller {
	/**
	 * Sends a request and resolves to its response, with any status. Rejects with a CallError.
	 *
	 * @param body Sent as JSON; undefined: the request has no body.
	 * @param timeoutMs Maximum time until the whole response has been received.
	 */
	call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse>;
	/** Closes all connections. Pending calls reject. */
	close(): void;
}

/** Calls one external system over persistent connections, which it owns. */
export class HttpClient implements HttpCaller {
	private readonly target: HostAndPort;
	private readonly agent: Agent;
	private readonly openExchanges = new Set<HttpExchange>();
	private readonly onSettled = (exchange: HttpExchange): void => {
		this.openExchanges.delete(exchange);
	};

	/**
	 * @param address Of the form `host:port`.
	 * @param maxSockets Maximum number of connections; further calls wait for one, within their timeouts.
	 */
	constructor(address: string, maxSockets: number) {
		this.target = parseAddress(address);
		this.agent = new Agent({
			keepAlive: true,
			maxSockets,
			maxFreeSockets: maxIdleSockets,
			// The most recently used connection is the least likely to have been closed by the server.
			scheduling: "lifo",
		});
	}

	call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse> {
		const { target, agent, onSettled } = this;
		const exchange = new HttpExchange({ method, path, body, timeoutMs }, { target, agent, onSettled });
		this.openExchanges.add(exchange);
		return exchange.response;
	}

	close(): void {
		for (const exchange of [...this.openExchanges]) exchange.abort();
		this.agent.destroy();
	}
}
