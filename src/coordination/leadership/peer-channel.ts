/**
 * The channel for messages between controllers: encodes them when they are sent, and decodes and validates them when
 * they are received.
 */

import { MalformedMessageError } from "../../protocol/errors.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { decodePeerMessage, encodePeerMessage, wireKind } from "../../protocol/peer/codec.js";
import type { PeerMessage } from "../../protocol/peer/messages.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger, PeerTransport } from "../ports/peers.js";

/** Once this many combinations of sender and kind are recorded, every malformed message of another one is logged. */
const maxTrackedMalformedSources = 200;

/** Sends messages to other controllers and decodes theirs. */
export class PeerChannel implements PeerMessenger {
	private readonly malformedSources = new Set<string>();

	constructor(
		private readonly transport: PeerTransport,
		private readonly log: Log,
	) {}

	/** Sends a message, best effort: it is dropped if the controller cannot be reached. */
	send(node: NodeId, message: PeerMessage): void {
		this.transport.send(node, encodePeerMessage(message));
	}

	/**
	 * Decodes a message of another controller. The result for a malformed message, such as one of another version, is
	 * null. It is logged once for each sender and kind, since such messages may come in large numbers.
	 */
	decode(from: NodeId, encoded: unknown): PeerMessage | null {
		try {
			return decodePeerMessage(encoded);
		} catch (error) {
			if (!(error instanceof MalformedMessageError)) throw error;
			this.logMalformed(from, wireKind(encoded), error);
			return null;
		}
	}

	private logMalformed(from: NodeId, kind: string, error: MalformedMessageError): void {
		const source = `${from}/${kind}`;
		if (this.malformedSources.has(source)) return;
		if (this.malformedSources.size < maxTrackedMalformedSources) this.malformedSources.add(source);
		this.log.error({ peer: from, kind, err: error }, "malformed message from a controller");
	}
}
