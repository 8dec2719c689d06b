/** What coordination needs of the links between controllers. */

import type { NodeId } from "../../protocol/model/identifiers.js";
import type { PeerMessage } from "../../protocol/peer/messages.js";

/** Messages to other controllers. */
export interface PeerMessenger {
	/** Best effort: a message to a controller that cannot be reached is dropped. */
	send(node: NodeId, message: PeerMessage): void;
}

/** The links that carry encoded messages. */
export interface PeerTransport {
	/** Best effort: a message to a controller that cannot be reached is dropped. */
	send(node: NodeId, encoded: unknown): void;
}
