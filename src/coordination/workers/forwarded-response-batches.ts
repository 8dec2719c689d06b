/** The leader's side of heartbeat forwarding: batches the responses to forwarded heartbeats. */

import type { Incarnation, NodeId, Term } from "../../protocol/model/identifiers.js";
import type { ForwardedResponse } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";
import { forwardingBatchMs } from "./heartbeat-forwarder.js";

/** The process that forwarded a heartbeat, and the term in which it did. */
export interface ResponseRecipient {
	node: NodeId;
	/** undefined: a process of a version up to 0.8.0. */
	incarnation: Incarnation | undefined;
	term: Term;
}

/** Responses to one recipient that are sent as one message. */
interface ResponseBatch {
	recipient: ResponseRecipient;
	responses: ForwardedResponse[];
}

/** Owns the responses that are held for `forwardingBatchMs`, so that those to one process share a message. */
export class ForwardedResponseBatches {
	private readonly batches = new Map<NodeId, ResponseBatch>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly clock: Clock,
	) {}

	/**
	 * Adds a response. A batch holds the responses to one process in one term; a batch of the node for another process or
	 * term is sent first.
	 */
	add(recipient: ResponseRecipient, response: ForwardedResponse): void {
		const { node } = recipient;
		const batch = this.batches.get(node);
		if (batch && isSameRecipient(batch.recipient, recipient)) {
			batch.responses.push(response);
			return;
		}
		if (batch) this.send(node);
		this.batches.set(node, { recipient, responses: [response] });
		this.clock.after(forwardingBatchMs, () => this.send(node));
	}

	/** Discards the batches after a process pause, since their commands were issued before it and are out of date. */
	onProcessPause(): void {
		this.batches.clear();
	}

	private send(node: NodeId): void {
		const batch = this.batches.get(node);
		if (!batch) return;
		this.batches.delete(node);
		const { recipient, responses } = batch;
		const { term, incarnation } = recipient;
		this.peers.send(node, { kind: "forwarded-responses", term, incarnation, responses });
	}
}

function isSameRecipient(a: ResponseRecipient, b: ResponseRecipient): boolean {
	return a.node === b.node && a.incarnation === b.incarnation && a.term === b.term;
}
