import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { getRequestListener } from "@hono/node-server";
import { Hono } from "hono";
import type { JobLookup, SubmitResult } from "../coordination/jobs/job-service.js";
import type { Log } from "../coordination/ports/log.js";
import type { HeartbeatResponse } from "../coordination/workers/heartbeat-router.js";
import { MalformedMessageError } from "../protocol/errors.js";
import { paths } from "../protocol/http/paths.js";
import { isJobId, jobIdOf, jobResponseBody, parseJobSpec } from "../protocol/http/user-api.js";
import { heartbeatResponseBody, parseHeartbeat, redirectBody } from "../protocol/http/worker-api.js";
import type { JobSpec } from "../protocol/model/job.js";
import type { WorkerHeartbeat } from "../protocol/model/worker.js";

const maxBody = 64 * 1024;
/** With more of its connections in use, those of workers are closed between reports. */
const crowdedPart = 0.9;
const bodyTooLarge = `the body is larger than ${maxBody} bytes`;

/** What the front needs of the service behind it. */
export interface PublicService {
	submit(spec: JobSpec): Promise<SubmitResult>;
	status(id: string): Promise<JobLookup>;
	cancel(id: string): Promise<JobLookup>;
	handleHeartbeat(report: WorkerHeartbeat): Promise<HeartbeatResponse>;
	ready(): boolean;
}

/** Reads a body within the bound; null when it is larger. */
async function bodyText(request: Request): Promise<string | null> {
	const declared = Number(request.headers.get("content-length") ?? "0");
	if (declared > maxBody) return null;
	if (!request.headers.has("content-length")) {
		const parts: Uint8Array[] = [];
		let size = 0;
		const reader = request.body?.getReader();
		while (reader) {
			const { done, value } = await reader.read();
			if (done) break;
			size += value.length;
			if (size > maxBody) {
				await reader.cancel();
				return null;
			}
			parts.push(value);
		}
		return Buffer.concat(parts).toString("utf8");
	}
	return request.text();
}

export function publicApi(service: PublicService, log: Log): Hono {
	const app = new Hono();
	const later = (reason: string) =>
		Response.json({ error: reason }, { status: 503, headers: { "retry-after": "1" } });
	const failure = (status: number, error: string, headers?: Record<string, string>) =>
		Response.json({ error }, { status, headers });
	const tooLarge = () => failure(413, bodyTooLarge);
	const wrongMethod = (allow: string) => () =>
		failure(405, `the method is not allowed here, use ${allow}`, { allow });

	app.get(paths.ready, () =>
		service.ready() ? Response.json({ ready: true }) : later("the node is starting"),
	);

	app.post(paths.jobs, async (c) => {
		const body = await bodyText(c.req.raw);
		if (body === null) return tooLarge();
		let spec: JobSpec;
		try {
			spec = parseJobSpec(body);
		} catch (error) {
			// Whatever is wrong with it, a submission that names an accepted job is told how that is.
			const id = jobIdOf(body);
			const known = id === null ? null : await service.status(id);
			if (known?.kind === "job") return Response.json(jobResponseBody(id as string, known.status));
			throw error;
		}
		const result = await service.submit(spec);
		switch (result.kind) {
			case "malformed":
				return failure(400, result.reason);
			case "accepted":
				return Response.json(jobResponseBody(spec.id, result.status), { status: 201 });
			case "known":
				return Response.json(jobResponseBody(spec.id, result.status));
			case "impossible":
				return failure(422, result.reason);
			case "later":
				return later(result.reason);
		}
	});

	app.get(`${paths.jobs}/:id`, async (c) => {
		const id = c.req.param("id");
		if (!isJobId(id)) return failure(404, "there is no such job");
		const result = await service.status(id);
		if (result.kind === "unknown") return failure(404, "there is no such job");
		if (result.kind === "later") return later(result.reason);
		return Response.json(jobResponseBody(id, result.status, { done: result.done, running: result.running }));
	});

	app.post(`${paths.jobs}/:id/abort`, async (c) => {
		const id = c.req.param("id");
		if (!isJobId(id)) return failure(404, "there is no such job");
		const result = await service.cancel(id);
		if (result.kind === "unknown") return failure(404, "there is no such job");
		if (result.kind === "later") return later(result.reason);
		return Response.json(jobResponseBody(id, result.status));
	});

	app.all(paths.ready, wrongMethod("GET"));
	app.all(paths.report, wrongMethod("POST"));
	app.all(paths.jobs, wrongMethod("POST"));
	app.all(`${paths.jobs}/:id`, wrongMethod("GET"));
	app.all(`${paths.jobs}/:id/abort`, wrongMethod("POST"));
	app.notFound(() => failure(404, "there is nothing at this path"));
	app.onError((error, c) => {
		if (error instanceof MalformedMessageError) {
			log.debug({ path: c.req.path, reason: error.message }, "malformed request");
			return failure(400, error.message);
		}
		log.error({ err: error.message, stack: error.stack }, "request failed");
		return later("the request could not be handled");
	});
	return app;
}

/**
 * Reports are most of what a leader hears: hundreds a second for a small share of a
 * core. They pass by the routes and objects that users' requests go through.
 */
export function reportListener(
	service: Pick<PublicService, "handleHeartbeat">,
	log: Log,
	/** Sockets are short: a worker is asked to open its connection anew for each report. */
	crowded: () => boolean = () => false,
) {
	return (request: IncomingMessage, response: ServerResponse): void => {
		const answer = (status: number, body: object, headers?: Record<string, string>) => {
			if (response.headersSent || response.destroyed) return;
			const text = JSON.stringify(body);
			response.writeHead(status, {
				"content-type": "application/json",
				"content-length": Buffer.byteLength(text),
				...(crowded() && { connection: "close" }),
				...headers,
			});
			response.end(text);
		};
		const failed = (error: unknown) => {
			if (error instanceof MalformedMessageError) return answer(400, { error: error.message });
			const { message, stack } = error as Error;
			log.error({ err: message, stack }, "request failed");
			answer(503, { error: "the request could not be handled" }, { "retry-after": "1" });
		};
		const chunks: Buffer[] = [];
		let size = 0;
		request.on("data", (chunk: Buffer) => {
			size += chunk.length;
			if (size <= maxBody) chunks.push(chunk);
			else answer(413, { error: bodyTooLarge }, { connection: "close" });
		});
		request.on("error", () => {});
		request.on("end", () => {
			if (size > maxBody) return;
			const body = chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
			try {
				service.handleHeartbeat(parseHeartbeat(body.toString("utf8"))).then((result) => {
					if (result.kind === "redirect") answer(421, redirectBody(result.node));
					else answer(200, heartbeatResponseBody(result.fencingToken, result.commands));
				}, failed);
			} catch (error) {
				failed(error);
			}
		});
	};
}

export interface PublicServer {
	port: number;
	close(): void;
}

export async function listenPublicApi(
	service: PublicService,
	host: string,
	port: number,
	maxConnections: number,
	log: Log,
): Promise<PublicServer> {
	const others = getRequestListener(publicApi(service, log).fetch);
	let connections = 0;
	const reports = reportListener(service, log, () => connections > maxConnections * crowdedPart);
	const server = createServer((request, response) => {
		const isReport = request.url === paths.report || request.url?.startsWith(`${paths.report}?`);
		if (request.method === "POST" && isReport) reports(request, response);
		else void others(request, response);
	});
	server.on("connection", (socket) => {
		connections += 1;
		socket.once("close", () => {
			connections -= 1;
		});
	});
	// Idle and half-open connections must not use up the sockets.
	server.keepAliveTimeout = 65_000;
	server.headersTimeout = 10_000;
	server.requestTimeout = 15_000;
	server.maxConnections = maxConnections;
	await new Promise<void>((resolve, reject) => {
		server.once("error", reject);
		server.listen(port, host, resolve);
	});
	server.on("error", (error) => log.error({ err: error.message }, "public listener failed"));
	server.on("clientError", (_error, socket) => {
		if (socket.writable) socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
		else socket.destroy();
	});
	const address = server.address();
	return {
		port: typeof address === "object" && address ? address.port : port,
		close: () => {
			server.close();
			server.closeAllConnections();
		},
	};
}
