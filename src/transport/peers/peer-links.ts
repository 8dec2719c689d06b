/** The connections between this controller and all others. */

import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type { Log } from "../../coordination/ports/log.js";
import type { PeerTransport } from "../../coordination/ports/peers.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { boundPort } from "../address.js";
import { IncomingPeerLink } from "./incoming-peer-link.js";
import { OutgoingPeerLink } from "./outgoing-peer-link.js";

/** Interval between checks for links without a connection. */
const reconnectIntervalMs = 250;

/**
 * Maximum number of accepted connections per controller: old connections may remain open beside new ones until
 * their end is detected.
 */
const maxConnectionsPerController = 4;

/** Another controller, as in the platform's settings. */
export interface PeerAddress {
	node: NodeId;
	/** Of the form `host:port`. */
	addr: string;
}

/** Dependencies of the links. */
export interface PeerLinksOptions {
	/** This controller. */
	localNode: NodeId;
	/** All other controllers. */
	peers: readonly PeerAddress[];
	/** Receives every message of another controller, before its form is checked. */
	onMessage(from: NodeId, message: unknown): void;
	log: Log;
}

/**
 * Owns the listener, the timer and the sockets of the links. Each controller connects to every other one, sends on
 * the connections that it has opened and receives on those that it has accepted.
 */
export class PeerLinks implements PeerTransport {
	private readonly outgoing: ReadonlyMap<NodeId, OutgoingPeerLink>;
	private readonly incoming = new Set<IncomingPeerLink>();
	private server: Server | null = null;
	private connectTimer: NodeJS.Timeout | null = null;

	constructor(private readonly options: PeerLinksOptions) {
		const { localNode, peers, log } = options;
		this.outgoing = new Map(
			peers.map(({ node, addr }) => [
				node,
				new OutgoingPeerLink({ localNode, peer: node, address: addr, log }),
			]),
		);
	}

	/**
	 * Starts to accept and to open connections. Resolves to the port, which the operating system chooses for port
	 * 0. Rejects if it cannot listen on the address.
	 */
	async listen(host: string, port: number): Promise<number> {
		const server = createServer((socket) => this.accept(socket));
		this.server = server;
		server.maxConnections = maxConnectionsPerController * (this.outgoing.size + 1);
		server.listen(port, host);
		await once(server, "listening");
		server.on("error", (err) => this.options.log.error({ err }, "peer listener failed"));
		this.connectTimer = setInterval(() => this.connectDueLinks(), reconnectIntervalMs);
		this.connectDueLinks();
		return boundPort(server) ?? port;
	}

	send(node: NodeId, message: unknown): void {
		this.outgoing.get(node)?.send(message);
	}

	/**
	 * Stops listening and closes all connections. Resolves once the listener and the accepted connections are
	 * closed.
	 */
	async close(): Promise<void> {
		if (this.connectTimer) clearInterval(this.connectTimer);
		for (const link of this.outgoing.values()) link.close();
		for (const link of this.incoming) link.close();
		const { server } = this;
		if (!server?.listening) return;
		await new Promise((resolve) => {
			server.close(resolve);
		});
	}

	private accept(socket: Socket): void {
		const link = new IncomingPeerLink(socket, {
			isPeer: (node) => this.outgoing.has(node),
			onMessage: this.options.onMessage,
			log: this.options.log,
		});
		this.incoming.add(link);
		socket.on("close", () => this.incoming.delete(link));
	}

	private connectDueLinks(): void {
		const now = performance.now();
		for (const link of this.outgoing.values()) link.connectIfDue(now);
	}
}
