/**
 * A campaign for the leader key: a lease of the store, and a compare-and-swap that attaches the key to it.
 *
 * The revision of the write that wins the key is the term, and the fencing token that workers compare.
 */

import type { Incarnation, LeaseId, NodeId, Revision, Term } from "../../protocol/model/identifiers.js";
import { termOf } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import { encodeLeaderRecord } from "../../protocol/records/singleton-records.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import { revokeUnneededLease } from "./leader-lease.js";

/** A write that was sent without an answer may be applied as late as this. */
const maxWriteDelayMs = 5 * 60_000;

/** How a campaign has ended. */
export type CampaignResult = { elected: true; term: Term; leaseId: LeaseId } | { elected: false };

/** What a campaign needs. */
export interface LeaderKeyCampaignOptions {
	node: NodeId;
	incarnation: Incarnation;
	leaseTtlMs: number;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
}

/** Runs campaigns, one at a time, and remembers whether an earlier one is in doubt. */
export class LeaderKeyCampaign {
	#inDoubtUntil = -Infinity;

	constructor(private readonly options: LeaderKeyCampaignOptions) {}

	/** Steady time until which a write of an earlier campaign, to which there was no answer, may still be applied. */
	get unresolvedWriteUntil(): number {
		return this.#inDoubtUntil;
	}

	/**
	 * Tries once to win the leader key.
	 *
	 * @param expectedRevision The revision that the key must have; 0: it must not exist.
	 * @param startedAt The present steady time, which tells this campaign from others of the process.
	 * @throws CallError if the store fails; nothing is known of the key then.
	 */
	async run(expectedRevision: Revision, startedAt: number): Promise<CampaignResult> {
		const { node, store, log, clock, leaseTtlMs } = this.options;
		const leaseId = await store.grantLease(leaseTtlMs);
		const incarnation = `${this.options.incarnation}.${startedAt.toFixed(3)}`;
		const value = encodeLeaderRecord({ node, incarnation });
		try {
			const result = await store.compareAndSwap(
				[{ key: keys.leader, revision: expectedRevision }],
				[{ put: keys.leader, value, leaseId }],
				"user",
			);
			if (result.swapped) return { elected: true, term: termOf(result.revision), leaseId };
		} catch (error) {
			if (!(error instanceof CallError) || error.outcome !== "unknown") {
				void revokeUnneededLease(store, leaseId, log);
				throw error;
			}
			// Without an answer the write may have been applied or may be applied later: the key is read back, and
			// nothing is assumed. Test: "a campaign without an answer is decided by reading the key back".
			this.#inDoubtUntil = clock.now() + maxWriteDelayMs;
			const { row } = await store.read(keys.leader);
			if (row && isWrittenBy(row.value, incarnation))
				return { elected: true, term: termOf(row.revision), leaseId };
		}
		// Once the lease has ended, the store refuses a late copy of the write, since there is no lease to attach
		// the key to.
		void revokeUnneededLease(store, leaseId, log);
		return { elected: false };
	}
}

/** Whether a value of the leader key, of whatever form, was written by the campaign of that incarnation. */
function isWrittenBy(value: unknown, incarnation: Incarnation): boolean {
	return (
		typeof value === "object" && value !== null && "incarnation" in value && value.incarnation === incarnation
	);
}
