/** A connection on which another controller sends messages to this one. */

import type { Socket } from "node:net";
import type { Log } from "../../coordination/ports/log.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { decodeHello } from "../../protocol/peer/hello-wire.js";
import { FrameReader } from "./frame.js";

/**
 * A connection on which no data arrives for this long is closed, because its remote end has stopped or is
 * unreachable. The leader and the other controllers exchange heartbeats twice a second.
 */
const idleTimeoutMs = 30_000;

/** Dependencies of an incoming link. */
export interface IncomingPeerLinkOptions {
	/** True if there is another controller of this name. */
	isPeer(node: NodeId): boolean;
	onMessage(from: NodeId, message: unknown): void;
	log: Log;
}

/**
 * Receives the messages on one connection that another controller has opened; nothing is sent on it. The first
 * message names the controller, which is then the sender of all later messages. A connection with any other data is
 * closed.
 */
export class IncomingPeerLink {
	private readonly frames = new FrameReader();
	/** The controller that opened the connection; null: it has not sent its name yet. */
	private peer: NodeId | null = null;

	constructor(
		private readonly socket: Socket,
		private readonly options: IncomingPeerLinkOptions,
	) {
		socket.setNoDelay(true);
		socket.setTimeout(idleTimeoutMs, () => socket.destroy());
		// The socket closes itself. The other controller opens a new connection.
		socket.on("error", (err) => options.log.debug({ peer: this.peer, err }, "peer link failed"));
		socket.on("data", (chunk) => this.read(chunk));
	}

	/** Closes the connection. */
	close(): void {
		this.socket.destroy();
	}

	private read(chunk: Buffer): void {
		try {
			for (const message of this.frames.push(chunk)) this.receive(message);
		} catch (err) {
			this.options.log.info({ peer: this.peer, err }, "peer link closed: bad frame");
			this.socket.destroy();
		}
	}

	private receive(message: unknown): void {
		if (this.peer !== null) {
			this.options.onMessage(this.peer, message);
			return;
		}
		const peer = decodeHello(message);
		if (peer === null || !this.options.isPeer(peer))
			throw new MalformedMessageError("not a known controller");
		this.peer = peer;
	}
}
