/** The connection on which this controller sends to one other controller. */

import { connect, type Socket } from "node:net";
import type { Log } from "../../coordination/ports/log.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { encodeHello } from "../../protocol/peer/hello-wire.js";
import { type HostAndPort, parseAddress } from "../address.js";
import { encodeFrame } from "./frame.js";

/** Longest time for a connection to be made. */
const connectTimeoutMs = 1000;

/** The pause before the next attempt grows with each failure in a row, up to a maximum. */
const retryDelayStepMs = 200;
const maxRetryDelayMs = 2000;

/** With more than this waiting to be sent, the other controller does not read any more. */
const maxQueuedBytes = 2 * 1024 * 1024;

/** What an outgoing link needs. */
export interface OutgoingPeerLinkOptions {
	/** This controller, which names itself to the other one. */
	localNode: NodeId;
	peer: NodeId;
	/** Of the form `host:port`. */
	address: string;
	log: Log;
}

type LinkState =
	/** No connection. The next one may be tried at `retryAt` (steady time in milliseconds). */
	| { kind: "disconnected"; retryAt: number }
	| { kind: "connecting"; socket: Socket }
	| { kind: "connected"; socket: Socket };

/**
 * Connects to one other controller and sends on that connection; nothing is read from it. A message that cannot
 * be sent now is dropped: what must not be lost is repeated by its sender. A controller that hangs fills only
 * the queue of its own link, which is then dropped together with the connection.
 */
export class OutgoingPeerLink {
	private readonly address: HostAndPort;
	private state: LinkState = { kind: "disconnected", retryAt: 0 };
	private consecutiveFailures = 0;

	constructor(private readonly options: OutgoingPeerLinkOptions) {
		this.address = parseAddress(options.address);
	}

	/** Connects if there is no connection and it is time for the next attempt. */
	connectIfDue(now: number): void {
		if (this.state.kind === "disconnected" && now >= this.state.retryAt) this.connect();
	}

	/** Sends a message if the connection stands, and drops it otherwise. */
	send(message: unknown): void {
		if (this.state.kind !== "connected") return;
		const { socket } = this.state;
		if (socket.writableLength > maxQueuedBytes) socket.destroy();
		else socket.write(encodeFrame(message));
	}

	/** Closes the connection. The owner does not call `connectIfDue` any more. */
	close(): void {
		if (this.state.kind !== "disconnected") this.state.socket.destroy();
	}

	private connect(): void {
		const socket = connect(this.address.port, this.address.host);
		this.state = { kind: "connecting", socket };
		const timeout = setTimeout(() => socket.destroy(), connectTimeoutMs);
		socket.setNoDelay(true);
		socket.on("connect", () => {
			clearTimeout(timeout);
			this.onConnected(socket);
		});
		// A failed connection is closed by the socket itself, and tried again.
		socket.on("error", (err) => this.options.log.debug({ peer: this.options.peer, err }, "peer link failed"));
		// The other side sends on a connection of its own. Reading what comes here notices the end of this one.
		socket.resume();
		socket.on("close", () => {
			clearTimeout(timeout);
			this.onClosed();
		});
	}

	private onConnected(socket: Socket): void {
		this.state = { kind: "connected", socket };
		this.consecutiveFailures = 0;
		socket.write(encodeFrame(encodeHello(this.options.localNode)));
	}

	private onClosed(): void {
		this.consecutiveFailures += 1;
		const retryDelayMs = Math.min(maxRetryDelayMs, retryDelayStepMs * this.consecutiveFailures);
		this.state = { kind: "disconnected", retryAt: performance.now() + retryDelayMs };
	}
}
