/** Receives workers' heartbeats over HTTP. */

import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from "node:http";
import type { Log } from "../../coordination/ports/log.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import { paths } from "../../protocol/http/paths.js";
import { heartbeatResponseBody, parseHeartbeat, redirectBody } from "../../protocol/http/worker-api.js";
import type { PublicService } from "./public-service.js";
import { bodyTooLargeMessage, maxBodyBytes } from "./request-body.js";

/** What the listener needs. */
export interface HeartbeatListenerOptions {
	service: Pick<PublicService, "handleHeartbeat">;
	log: Log;
	/**
	 * Whether sockets are short. A worker is then asked to close its connection after each heartbeat, so that
	 * users get connections; users are not asked.
	 */
	socketsScarce(): boolean;
}

/** Whether a request is a heartbeat. */
export function isHeartbeat({ method, url }: IncomingMessage): boolean {
	return method === "POST" && (url === paths.heartbeats || url?.startsWith(`${paths.heartbeats}?`) === true);
}

/**
 * Handles heartbeats without the routes and objects that users' requests pass through: heartbeats are most of
 * what a leader receives, hundreds a second for a small share of a core.
 */
export class HeartbeatListener {
	constructor(private readonly options: HeartbeatListenerOptions) {}

	/** Reads the body of a heartbeat within the bound and responds to it. */
	handle(request: IncomingMessage, response: ServerResponse): void {
		const chunks: Buffer[] = [];
		let bytes = 0;
		request.on("data", (chunk: Buffer) => {
			bytes += chunk.length;
			if (bytes <= maxBodyBytes) chunks.push(chunk);
			else this.respond(response, 413, { error: bodyTooLargeMessage }, { connection: "close" });
		});
		// The worker has closed the connection within its request: there is nobody to respond to, and the worker
		// sends its next heartbeat in any case.
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
		// A body that is too large is answered once, and a response may come after the worker has gone.
		if (response.headersSent || response.destroyed) return;
		const text = JSON.stringify(body);
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
