/** The links between controllers, as coordination uses them. */

import type { NodeId } from "../../protocol/model/identifiers.js";
import type { PeerMessage } from "../../protocol/peer/messages.js";

/** Sends messages to other controllers. */
export interface PeerMessenger {
	/** Sends a message, best effort: it is dropped if the controller cannot be reached. */
	send(node: NodeId, message: PeerMessage): void;
}

/** Sends encoded messages to other controllers. */
export interface PeerTransport {
	/** Sends a message, best effort: it is dropped if the controller cannot be reached. */
	send(node: NodeId, encoded: unknown): void;
}
