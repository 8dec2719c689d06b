/** Receives workers' heartbeats over HTTP. */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Log } from "../../coordination/ports/log.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import { paths } from "../../protocol/http/paths.js";
import { heartbeatResponseBody, parseHeartbeat, redirectBody } from "../../protocol/http/worker-api.js";
import { stringifyJson } from "../../protocol/json.js";
import type { PublicService } from "./public-service.js";
import { bodyTooLargeMessage, maxBodyBytes } from "./request-body.js";

/** Dependencies of the listener. */
export interface HeartbeatListenerOptions {
	service: Pick<PublicService, "handleHeartbeat">;
	log: Log;
	/**
	 * True if few sockets are left. Workers are then asked to close their connections after each heartbeat, so that
	 * users can connect; users are not asked.
	 */
	socketsScarce(): boolean;
}

/** True if the request is a heartbeat. */
export function isHeartbeat({ method, url }: IncomingMessage): boolean {
	return method === "POST" && (url === paths.heartbeats || url?.startsWith(`${paths.heartbeats}?`) === true);
}

/**
 * Handles heartbeats without the router and the request objects of users' requests: most requests that a leader
 * receives are heartbeats, hundreds per second on a small share of a core.
 */
export class HeartbeatListener {
	constructor(private readonly options: HeartbeatListenerOptions) {}

	/** Reads the body of a heartbeat up to the maximum size and responds to it. */
	handle(request: IncomingMessage, response: ServerResponse): void {
		const chunks: Buffer[] = [];
		let bytes = 0;
		request.on("data", (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes <= maxBodyBytes) chunks.push(chunk);
			else this.respond(response, 413, { error: bodyTooLargeMessage }, { connection: "close" });
		});
		// The worker closed the connection during its request: no response can be sent, and the worker sends its
		// next heartbeat in any case.
		request.on("error", (err) => this.options.log.debug({ path: paths.heartbeats, err }, "request aborted"));
		request.on("end", () => {
			if (bytes <= maxBodyBytes) void this.processHeartbeat(concatChunks(chunks).toString("utf8"), response);
		});
	}

	private async processHeartbeat(body: string, response: ServerResponse): Promise<void> {
		try {
			const result = await this.options.service.handleHeartbeat(parseHeartbeat(body));
			if (result.kind === "redirect") this.respond(response, 421, redirectBody(result.node));
			else this.respond(response, 200, heartbeatResponseBody(result.fencingToken, result.commands));
		} catch (error) {
			this.respondWithError(error, response);
		}
	}

	private respondWithError(error: unknown, response: ServerResponse): void {
		if (error instanceof MalformedMessageError) {
			this.respond(response, 400, { error: error.message });
			return;
		}
		this.options.log.error({ err: error }, "request failed");
		const body = { error: "the request could not be handled" };
		this.respond(response, 503, body, { "retry-after": "1" });
	}

	private respond(
		response: ServerResponse,
		status: number,
		body: object,
		headers?: OutgoingHttpHeaders,
	): void {
		// A body that is too large gets only one response, and the worker may close its connection before the
		// response is ready.
		if (response.headersSent || response.destroyed) return;
		const text = stringifyJson(body);
		response.writeHead(status, {
			"content-type": "application/json",
			"content-length": Buffer.byteLength(text),
			...(this.options.socketsScarce() && { connection: "close" }),
			...headers,
		});
		response.end(text);
	}
}

function concatChunks(chunks: Buffer[]): Buffer {
	const [first] = chunks;
	return first && chunks.length === 1 ? first : Buffer.concat(chunks);
}
