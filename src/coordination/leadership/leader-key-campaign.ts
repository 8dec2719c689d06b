/**
 * A campaign for the leader key: the grant of a lease of the store, and a compare-and-swap that writes the key attached
 * to the lease.
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

/** A write to which there was no response may be applied up to this long after it was sent. */
const maxWriteDelayMs = 5 * 60_000;

/** The result of a campaign. */
export type CampaignResult = { elected: true; term: Term; leaseId: LeaseId } | { elected: false };

/** Dependencies of a campaign. */
export interface LeaderKeyCampaignOptions {
	node: NodeId;
	incarnation: Incarnation;
	leaseTtlMs: number;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
}

/** Runs campaigns, one at a time, and records until when the write of an earlier one may still be applied. */
export class LeaderKeyCampaign {
	#unresolvedWriteUntil = -Infinity;

	constructor(private readonly options: LeaderKeyCampaignOptions) {}

	/** Monotonic time until which a write of an earlier campaign, to which there was no response, may be applied. */
	get unresolvedWriteUntil(): number {
		return this.#unresolvedWriteUntil;
	}

	/**
	 * Tries once to win the leader key.
	 *
	 * @param expectedRevision The revision that the key must have; 0: it must not exist.
	 * @param startedAt The current monotonic time, which distinguishes this campaign from others of the process.
	 * @throws CallError if a call to the store fails; the state of the key is unknown then.
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
			// Without a response the write may have been applied or may be applied later, so the key is read back. Test:
			// "a campaign whose write got no response is decided by reading the leader key back".
			this.#unresolvedWriteUntil = clock.now() + maxWriteDelayMs;
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

/** True if a value of the leader key, which may be malformed, was written by the campaign of that incarnation. */
function isWrittenBy(value: unknown, incarnation: Incarnation): boolean {
	return (
		typeof value === "object" && value !== null && "incarnation" in value && value.incarnation === incarnation
	);
}
