/**
 * The messages between controllers, as the rest of coordination sees them: encoded when they are sent, decoded
 * and checked when they are received.
 */

import { MalformedMessageError } from "../../protocol/errors.js";
import type { NodeId } from "../../protocol/model/identifiers.js";
import { claimedKind, decodePeerMessage, encodePeerMessage } from "../../protocol/peer/codec.js";
import type { PeerMessage } from "../../protocol/peer/messages.js";
import type { Log } from "../ports/log.js";
import type { PeerMessenger, PeerTransport } from "../ports/peers.js";

/** Beyond this many senders and kinds of malformed messages, further ones are logged each time. */
const maxMalformedSources = 200;

/** Sends messages to other controllers and reads theirs. */
export class PeerChannel implements PeerMessenger {
	private readonly malformedSources = new Set<string>();

	constructor(
		private readonly transport: PeerTransport,
		private readonly log: Log,
	) {}

	/** Best effort: a message to a controller that cannot be reached is dropped. */
	send(node: NodeId, message: PeerMessage): void {
		this.transport.send(node, encodePeerMessage(message));
	}

	/**
	 * Decodes what another controller has sent. A message that cannot be read, such as one of another version, is
	 * left out (null) and logged once for each sender and kind, since such messages come in large numbers.
	 */
	decode(from: NodeId, encoded: unknown): PeerMessage | null {
		try {
			return decodePeerMessage(encoded);
		} catch (error) {
			if (!(error instanceof MalformedMessageError)) throw error;
			this.logMalformed(from, claimedKind(encoded), error);
			return null;
		}
	}

	private logMalformed(from: NodeId, kind: string, error: MalformedMessageError): void {
		const source = `${from}/${kind}`;
		if (this.malformedSources.has(source)) return;
		if (this.malformedSources.size < maxMalformedSources) this.malformedSources.add(source);
		this.log.error({ peer: from, kind, err: error }, "malformed message from a controller");
	}
}
