/** The HTTP server of the public address, with its sockets. */

import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { getRequestListener } from "@hono/node-server";
import type { Log } from "../../coordination/ports/log.js";
import { boundPort } from "../address.js";
import { HeartbeatListener, isHeartbeat } from "./heartbeat-listener.js";
import { publicApi } from "./public-api.js";
import type { PublicService } from "./public-service.js";

/**
 * If a larger fraction of its connections is in use, the server asks workers to close theirs after each heartbeat.
 */
const scarceSocketsFraction = 0.9;

// Idle and half-open connections must not use up the sockets.
const keepAliveTimeoutMs = 65_000;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 15_000;

/** Dependencies and settings of the server. */
export interface PublicServerOptions {
	service: PublicService;
	log: Log;
	host: string;
	/** 0: the operating system chooses a port. */
	port: number;
	/** Further connections are refused. */
	maxConnections: number;
}

/** A listening server. */
export interface PublicServer {
	readonly port: number;
	/** Stops listening and closes all connections. Resolves once the server is closed. */
	close(): Promise<void>;
}

/** Starts the server. Rejects if it cannot listen on the address. */
export async function startPublicServer(options: PublicServerOptions): Promise<PublicServer> {
	const { service, log, host, port, maxConnections } = options;
	const connections = new ConnectionCounter();
	const heartbeats = new HeartbeatListener({
		service,
		log,
		socketsScarce: () => connections.count > maxConnections * scarceSocketsFraction,
	});
	const server = createServer(createRequestListener(service, heartbeats, log));
	connections.observe(server);
	server.keepAliveTimeout = keepAliveTimeoutMs;
	server.headersTimeout = headersTimeoutMs;
	server.requestTimeout = requestTimeoutMs;
	server.maxConnections = maxConnections;
	server.listen(port, host);
	await once(server, "listening");
	server.on("error", (err) => log.error({ err }, "public listener failed"));
	rejectMalformedRequests(server, log);
	return { port: boundPort(server) ?? port, close: () => closeServer(server) };
}

function createRequestListener(service: PublicService, heartbeats: HeartbeatListener, log: Log) {
	const routes = getRequestListener(publicApi(service, log).fetch);
	return (request: IncomingMessage, response: ServerResponse): void => {
		if (isHeartbeat(request)) heartbeats.handle(request, response);
		else void routes(request, response);
	};
}

/** Counts the open connections of a server. */
class ConnectionCounter {
	count = 0;

	observe(server: Server): void {
		server.on("connection", (socket) => {
			this.count += 1;
			socket.once("close", () => {
				this.count -= 1;
			});
		});
	}
}

/**
 * Closes connections with data that is not HTTP or does not arrive in time, with a 400 response if one can be sent.
 */
function rejectMalformedRequests(server: Server, log: Log): void {
	server.on("clientError", (err, socket) => {
		log.debug({ err }, "client connection failed");
		if (socket.writable) socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n");
		else socket.destroy();
	});
}

function closeServer(server: Server): Promise<void> {
	return new Promise((resolve) => {
		server.close(() => resolve());
		server.closeAllConnections();
	});
}
