/**
 * The other controllers' side of a lease extension: whether this process pledges not to campaign.
 *
 * It pledges only if it neither leads nor campaigns, no earlier campaign is in doubt, and the store refuses a read
 * that was sent after the request arrived. Such a controller cannot win the leader key now, and by its pledge it
 * will not do so for the duration of a lease, whether the store serves it again or not.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import type { Cancellation, LeadershipMessage, LeaseExtensionRequest } from "../../protocol/peer/messages.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** What a voter needs. */
export interface LeaseExtensionVoterOptions {
	store: KeyValueStore;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Sends a message to every other controller. */
	broadcast(message: LeadershipMessage): void;
	/** This process neither leads nor campaigns, and no campaign of it is in doubt. */
	mayVote(): boolean;
	/** From now on this process does not campaign for the duration of a lease. */
	holdOffAfterVote(): void;
	/** Every cancellation after the revision of which this node can have told a user; null: it cannot say. */
	cancellationsSince(revision: Revision): Cancellation[] | null;
}

/** Answers the leader's requests. Keeps no state of its own: the pledge is kept by `CampaignHoldoff`. */
export class LeaseExtensionVoter {
	constructor(private readonly options: LeaseExtensionVoterOptions) {}

	/** Votes for the request if this process may pledge, and the store refuses it. */
	async requestReceived(request: LeaseExtensionRequest): Promise<void> {
		const { store, mayVote: mayPledge, post } = this.options;
		if (!mayPledge()) return;
		try {
			await store.read(keys.leader);
		} catch (error) {
			post(() => this.readFailed(request, error));
		}
	}

	private readFailed(request: LeaseExtensionRequest, error: unknown): void {
		const { mayVote: mayPledge, log } = this.options;
		// Any other failure does not show that the store refuses this node: it may serve the next campaign.
		if (!(error instanceof CallError) || error.status !== 503) {
			log.debug({ err: error }, "lease extension vote withheld");
			return;
		}
		// This process may have begun to campaign while the read was under way.
		if (mayPledge()) this.vote(request);
	}

	private vote({ term, requestNumber, knownRevision }: LeaseExtensionRequest): void {
		const { holdOffAfterVote: pledge, broadcast, cancellationsSince } = this.options;
		pledge();
		// The list is made in the same action that sends the vote: what users are told later was told after the
		// request, so the leader may count all up to its sending as known. Traces 39 and 40; see docs/safety.md.
		const cancellations = knownRevision === undefined ? null : cancellationsSince(knownRevision);
		broadcast({
			kind: "lease-extension-vote",
			term,
			requestNumber,
			...(cancellations && { cancellations }),
		});
	}
}
