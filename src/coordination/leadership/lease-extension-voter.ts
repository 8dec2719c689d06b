/**
 * The voter's side of a lease extension: decides whether this process votes for the leader's request.
 *
 * It votes only if it neither leads nor campaigns, no write of an earlier campaign may still be applied, and the store
 * refuses a read that was sent after the request arrived. Such a controller cannot win the leader key now, and its
 * vote binds it not to campaign for the duration of a lease, whether the store serves it again or not.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import type { Cancellation, LeadershipMessage, LeaseExtensionRequest } from "../../protocol/peer/messages.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** Dependencies of a voter. */
export interface LeaseExtensionVoterOptions {
	store: KeyValueStore;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** True if this process neither leads nor campaigns, and no write of an earlier campaign may still be applied. */
	mayVote(): boolean;
	/** Prevents this process from campaigning for the duration of a lease from now on. */
	holdOffAfterVote(): void;
	/**
	 * Returns every cancellation after the revision that this node may have confirmed to a user; null: its list may be
	 * incomplete.
	 */
	cancellationsSince(revision: Revision): Cancellation[] | null;
}

/** Responds to the leader's requests. It has no state: `CampaignHoldoff` records the votes of this process. */
export class LeaseExtensionVoter {
	constructor(private readonly options: LeaseExtensionVoterOptions) {}

	/** Votes for the request if this process may vote and the store refuses a read. */
	async requestReceived(request: LeaseExtensionRequest): Promise<void> {
		const { store, mayVote, post } = this.options;
		if (!mayVote()) return;
		try {
			await store.read(keys.leader);
		} catch (error) {
			post(() => this.readFailed(request, error));
		}
	}

	private readFailed(request: LeaseExtensionRequest, error: unknown): void {
		const { mayVote, log } = this.options;
		// Any other failure does not prove that the store refuses this node, so the node's next campaign may succeed.
		if (!(error instanceof CallError) || error.status !== 503) {
			log.debug({ err: error }, "lease extension vote withheld");
			return;
		}
		// This process may have started a campaign while the read was in flight.
		if (mayVote()) this.vote(request);
	}

	private vote({ term, requestNumber, replicaRevision }: LeaseExtensionRequest): void {
		const { holdOffAfterVote, broadcast, cancellationsSince } = this.options;
		holdOffAfterVote();
		// The list is built in the same action that sends the vote. A cancellation that is not listed is confirmed to
		// its user after the request was sent, so with this vote the leader has every cancellation of this voter that
		// was confirmed before the request was sent. Traces 39 and 40; see docs/safety.md.
		const cancellations = replicaRevision === undefined ? null : cancellationsSince(replicaRevision);
		broadcast({
			kind: "lease-extension-vote",
			term,
			requestNumber,
			...(cancellations && { cancellations }),
		});
	}
}
