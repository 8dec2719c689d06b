/** The connection on which this controller sends messages to one other controller. */

import { connect, type Socket } from "node:net";
import type { Log } from "../../coordination/ports/log.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { encodeHello } from "../../protocol/peer/hello-wire.js";
import { type HostAndPort, parseAddress } from "../address.js";
import { encodeFrame } from "./frame.js";

/** Maximum time for establishing a connection. */
const connectTimeoutMs = 1000;

/** The delay before the next attempt grows by this step with each consecutive failure, up to the maximum. */
const retryDelayStepMs = 200;
const maxRetryDelayMs = 2000;

/** If more than this is queued, the other controller has stopped reading and the connection is closed. */
const maxQueuedBytes = 2 * 1024 * 1024;

/** Dependencies of an outgoing link. */
export interface OutgoingPeerLinkOptions {
	/** The name of this controller, which the first message contains. */
	localNode: NodeId;
	peer: NodeId;
	/** Of the form `host:port`. */
	address: string;
	log: Log;
}

type LinkState =
	/** No connection. The next attempt may be made at `retryAt` (monotonic time in milliseconds). */
	| { kind: "disconnected"; retryAt: number }
	| { kind: "connecting"; socket: Socket }
	| { kind: "connected"; socket: Socket };

/**
 * Connects to one other controller and sends messages on the connection; no messages are received on it. A message
 * that cannot be sent at once is dropped: senders repeat messages that must not be lost. A controller that hangs
 * fills only the queue of its own link, which is then dropped together with the connection.
 */
export class OutgoingPeerLink {
	private readonly address: HostAndPort;
	private state: LinkState = { kind: "disconnected", retryAt: 0 };
	private consecutiveFailures = 0;

	constructor(private readonly options: OutgoingPeerLinkOptions) {
		this.address = parseAddress(options.address);
	}

	/** Connects if there is no connection and the next attempt is due. */
	connectIfDue(now: number): void {
		if (this.state.kind === "disconnected" && now >= this.state.retryAt) this.connect();
	}

	/** Sends a message if the connection is established, and drops it otherwise. */
	send(message: unknown): void {
		if (this.state.kind !== "connected") return;
		const { socket } = this.state;
		if (socket.writableLength > maxQueuedBytes) socket.destroy();
		else socket.write(encodeFrame(message));
	}

	/** Closes the connection. The owner must not call `connectIfDue` afterwards. */
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
		// The socket closes itself after an error, and the link connects again.
		socket.on("error", (err) => this.options.log.debug({ peer: this.options.peer, err }, "peer link failed"));
		// The other controller sends on its own connection. Data on this one is read only to detect its end.
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
