/** A connection on which another controller sends to this one. */

import type { Socket } from "node:net";
import type { Log } from "../../coordination/ports/log.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { decodeHello } from "../../protocol/peer/hello-wire.js";
import { FrameReader } from "./frame.js";

/**
 * A connection on which nothing comes for this long is closed: its far end is gone or cut off. A leader and the
 * others exchange heartbeats twice a second.
 */
const idleTimeoutMs = 30_000;

/** What an incoming link needs. */
export interface IncomingPeerLinkOptions {
	/** Whether there is another controller of this name. */
	isPeer(node: NodeId): boolean;
	onMessage(from: NodeId, message: unknown): void;
	log: Log;
}

/**
 * Reads the messages of one connection that another controller has made; nothing is sent on it. The first
 * message names the controller, and everything after it is handed on under that name. A connection on which
 * something else comes is closed.
 */
export class IncomingPeerLink {
	private readonly frames = new FrameReader();
	/** The controller that has connected; null: it has not named itself yet. */
	private peer: NodeId | null = null;

	constructor(
		private readonly socket: Socket,
		private readonly options: IncomingPeerLinkOptions,
	) {
		socket.setNoDelay(true);
		socket.setTimeout(idleTimeoutMs, () => socket.destroy());
		// The socket closes itself; the other controller connects again when it has something to say.
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
