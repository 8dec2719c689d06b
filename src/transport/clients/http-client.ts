/** The HTTP client of one outside system: the store, the cloud, or a worker. */

import { Agent } from "node:http";
import { type HostAndPort, parseAddress } from "../address.js";
import { HttpExchange } from "./http-exchange.js";
import type { HttpResponse } from "./http-response.js";

/** Connections that are kept open while no call uses them. */
const maxIdleSockets = 4;

/** What the clients of outside systems need of HTTP. The tests put a simulated network in its place. */
export interface HttpCaller {
	/**
	 * Sends a request and resolves to its response, whatever the status. Rejects with a CallError.
	 *
	 * @param body Sent as JSON; undefined: the request has no body.
	 * @param timeoutMs Longest time until the whole response is here.
	 */
	call(method: string, path: string, body: unknown, timeoutMs: number): Promise<HttpResponse>;
	/** Closes all connections. Calls that are still open reject. */
	close(): void;
}

/** Calls one outside system over connections that stay open between calls. Owns those connections. */
export class HttpClient implements HttpCaller {
	private readonly target: HostAndPort;
	private readonly agent: Agent;
	private readonly openExchanges = new Set<HttpExchange>();
	private readonly onSettled = (exchange: HttpExchange): void => {
		this.openExchanges.delete(exchange);
	};

	/**
	 * @param address Of the form `host:port`.
	 * @param maxSockets Most connections at once; further calls wait for one, within their deadlines.
	 */
	constructor(address: string, maxSockets: number) {
		this.target = parseAddress(address);
		this.agent = new Agent({
			keepAlive: true,
			maxSockets,
			maxFreeSockets: maxIdleSockets,
			// The connection used last is the least likely to have been closed by the other side.
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
