/** The leader's side of heartbeat forwarding: batches the responses to forwarded heartbeats. */

import type { NodeId, Term } from "../../protocol/model/identifiers.js";
import type { ForwardedResponse } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";
import { forwardingBatchMs } from "./heartbeat-forwarder.js";

/** Responses for one controller that are sent as one message. */
interface ResponseBatch {
	/** The term of the leader that issued all of the responses. */
	term: Term;
	responses: ForwardedResponse[];
}

/** Owns the responses that are held for `forwardingBatchMs`, so that those for one controller share a message. */
export class ForwardedResponseBatches {
	private readonly batches = new Map<NodeId, ResponseBatch>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly clock: Clock,
	) {}

	/**
	 * Adds a response for the controller. A batch holds responses of one term; a batch of another term is sent first.
	 */
	add(to: NodeId, term: Term, response: ForwardedResponse): void {
		const batch = this.batches.get(to);
		if (batch?.term === term) {
			batch.responses.push(response);
			return;
		}
		if (batch) this.send(to);
		this.batches.set(to, { term, responses: [response] });
		this.clock.after(forwardingBatchMs, () => this.send(to));
	}

	/** Discards the batches after a process pause, since their commands were issued before it and are out of date. */
	onProcessPause(): void {
		this.batches.clear();
	}

	private send(to: NodeId): void {
		const batch = this.batches.get(to);
		if (!batch) return;
		this.batches.delete(to);
		const { term, responses } = batch;
		this.peers.send(to, { kind: "forwarded-responses", term, responses });
	}
}
