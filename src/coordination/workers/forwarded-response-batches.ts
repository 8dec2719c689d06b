/** The leader's side of forwarding: responses to heartbeats that other controllers have forwarded. */

import type { NodeId, Term } from "../../protocol/model/identifiers.js";
import type { ForwardedResponse } from "../../protocol/peer/messages.js";
import type { Clock } from "../ports/clock.js";
import type { PeerMessenger } from "../ports/peers.js";
import { forwardingBatchMs } from "./heartbeat-forwarder.js";

/** Responses to one controller that go out as one message. */
interface ResponseBatch {
	/** The term in which all of them were decided. */
	term: Term;
	responses: ForwardedResponse[];
}

/** Owns the responses that wait for a moment so that those to one controller go together. */
export class ForwardedResponseBatches {
	private readonly batches = new Map<NodeId, ResponseBatch>();

	constructor(
		private readonly peers: PeerMessenger,
		private readonly clock: Clock,
	) {}

	/** Adds a response for the controller. A batch holds responses of one term, so one of another term goes out first. */
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

	/** The process stood still: commands that were decided before are out of date. */
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
