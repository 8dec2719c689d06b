/** The links between controllers, as coordination uses them. */

import type { NodeId } from "../../protocol/model/identifiers.js";
import type { PeerMessage } from "../../protocol/peer/messages.js";

/** Sends messages to other controllers. */
export interface PeerMessenger {
	/** Best effort: a message to a controller that cannot be reached is dropped. */
	send(node: NodeId, message: PeerMessage): void;
}

/** Sends encoded messages to other controllers. */
export interface PeerTransport {
	/** Best effort: a message to a controller that cannot be reached is dropped. */
	send(node: NodeId, encoded: unknown): void;
}
