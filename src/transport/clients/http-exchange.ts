/** One HTTP request and its response. */

import { type Agent, type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { CallError, type CallOutcome } from "../../coordination/ports/call-error.js";
import { parseJson, stringifyJson } from "../../protocol/json.js";
import type { HostAndPort } from "../address.js";
import type { HttpResponse } from "./http-response.js";
import { ResponseDeadline } from "./response-deadline.js";

/** A request to send. */
export interface HttpRequest {
	method: string;
	path: string;
	/** Sent as JSON; undefined: the request has no body. */
	body: unknown;
	/** Maximum time from the start of the exchange until the whole response has been received. */
	timeoutMs: number;
}

/** The target and the connections of a request, and the callback for its completion. */
export interface HttpExchangeOptions {
	target: HostAndPort;
	agent: Agent;
	onSettled(exchange: HttpExchange): void;
}

function headersOf(payload: string | undefined): Record<string, string | number> {
	if (payload === undefined) return {};
	return { "content-type": "application/json", "content-length": Buffer.byteLength(payload) };
}

/**
 * Sends a request and settles it exactly once: with the response, or with a CallError. Before a connection is
 * established nothing has been sent, so nothing can be executed later, and the outcome of a failure is `not
 * executed`. After that, a request without a usable response may have been executed, or may still be executed, and
 * the outcome is `unknown`.
 */
export class HttpExchange {
	/** Rejects with a CallError. */
	readonly response: Promise<HttpResponse>;
	private readonly clientRequest: ClientRequest;
	private readonly deadline: ResponseDeadline;
	/** True once a connection is established, so that the request may have been sent. */
	private connected = false;
	private settled = false;
	private resolve!: (response: HttpResponse) => void;
	private reject!: (error: CallError) => void;

	constructor(
		private readonly httpRequest: HttpRequest,
		private readonly options: HttpExchangeOptions,
	) {
		this.response = new Promise((resolve, reject) => {
			this.resolve = resolve;
			this.reject = reject;
		});
		const { method, path, body, timeoutMs } = httpRequest;
		const payload = body === undefined ? undefined : stringifyJson(body);
		const { target, agent } = options;
		this.clientRequest = request({ ...target, method, path, headers: headersOf(payload), agent });
		this.clientRequest.on("socket", (socket) => this.trackConnection(socket));
		this.clientRequest.on("response", (message) => this.receive(message));
		this.clientRequest.on("error", (error) => this.fail(error.message, error));
		this.deadline = new ResponseDeadline(timeoutMs, () => this.fail("no response in time"));
		this.clientRequest.end(payload);
	}

	/** Aborts the request if it is not settled yet. */
	abort(): void {
		this.fail("the client was closed");
	}

	private trackConnection(socket: Socket): void {
		if (!socket.connecting) {
			this.connected = true;
			return;
		}
		socket.once("connect", () => {
			this.connected = true;
			socket.setNoDelay(true);
		});
	}

	private receive(message: IncomingMessage): void {
		const chunks: Buffer[] = [];
		message.on("data", (chunk: Buffer) => chunks.push(chunk));
		message.on("error", (error) =>
			this.fail(message.complete ? error.message : "connection closed within the response", error),
		);
		message.on("end", () => this.complete(message.statusCode ?? 0, Buffer.concat(chunks).toString("utf8")));
	}

	private complete(status: number, text: string): void {
		if (!this.settle()) return;
		try {
			this.resolve({ status, body: text === "" ? null : parseJson(text) });
		} catch (error) {
			this.reject(this.callError("unknown", status, "the response is not JSON", error));
		}
	}

	private fail(reason: string, cause?: unknown): void {
		if (!this.settle()) return;
		this.reject(this.callError(this.connected ? "unknown" : "not executed", 0, reason, cause));
		this.clientRequest.destroy();
	}

	/** Returns true if this call settles the exchange, which only the first call does. */
	private settle(): boolean {
		if (this.settled) return false;
		this.settled = true;
		this.deadline.cancel();
		this.options.onSettled(this);
		return true;
	}

	private callError(outcome: CallOutcome, status: number, reason: string, cause?: unknown): CallError {
		const { method, path } = this.httpRequest;
		const options = cause === undefined ? undefined : { cause };
		return new CallError(outcome, status, `${method} ${path}: ${reason}`, options);
	}
}
