/**
 * The bound on how stale a leader's record of cancellations may be while it has authority.
 *
 * A cancellation that this process has not received must still take effect within the platform's `cancel_s`. The
 * worst case is a response that renews a worker's lease just before the leader's authority ends, while the leader
 * has not received the cancellation: the task then runs until that lease expires.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import type { Cancellation } from "../../protocol/peer/messages.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";

/** Allowance for clock drift, as a fraction of a worker's lease. */
const leaseDriftFraction = 0.01;

/** Further allowance, for responses that were decided in time and written to the connection a little later. */
const responseMarginMs = 2000;

/**
 * Returns how long a leader has authority after the time up to which this process has every cancellation that was
 * confirmed to a user: `cancel_s` less a worker's whole lease and a margin, and never less than 0. All three times
 * count from the sending of requests, so network delays are on the safe side.
 *
 * Tests: `cancellation-staleness.test.ts`, traces 05 and 39.
 */
export function maxCancellationStalenessMs(workers: PlatformSettings["cluster"]["workers"]): number {
	const { cancel_s, lease_s } = workers;
	return Math.max(0, (cancel_s - lease_s * (1 + leaseDriftFraction)) * 1000 - responseMarginMs);
}

/** While the store changes rarely, the latest response to a watch is up to this old. */
const maxWatchResponseAgeMs = 8000;

/**
 * Returns the staleness bound that the leader applies. Where `cancel_s` exceeds a worker's lease by so little that
 * the bound is below the usual age of a watch response, that age is the bound while the store renews the leader's
 * lease, since no leader could act at all otherwise. Without the store there is no such allowance. Test: "if
 * cancel_s hardly exceeds a worker's lease ..." in leadership.test.ts.
 */
export function stalenessBoundMs(maxStalenessMs: number, renewedByStore: boolean): number {
	return renewedByStore ? Math.max(maxStalenessMs, maxWatchResponseAgeMs) : maxStalenessMs;
}

/** The cancellations that this process has received, through its replica of the store or from other controllers. */
export interface CancellationTracker {
	/** Monotonic time up to which every change of the store is in the replica. */
	syncedAt(): number;
	/** Revision of the store up to which the replica is complete. */
	replicaRevision(): Revision;
	/**
	 * Returns every cancellation after the revision that this node may have confirmed to a user; null: its list may be
	 * incomplete.
	 */
	since(revision: Revision): Cancellation[] | null;
	/** Records cancellations that other controllers have confirmed to their users. */
	record(cancellations: Cancellation[]): void;
}
