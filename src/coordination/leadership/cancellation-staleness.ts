/**
 * How long a leader may go on acting without news of cancellations.
 *
 * A cancellation of which this process has not heard must still be carried out within the platform's `cancel_s`.
 * The worst case is a response that renews a worker's lease just before the leader's authority ends, while the
 * cancellation is unknown here: the task then runs until that lease expires.
 */

import type { Revision } from "../../protocol/model/identifiers.js";
import type { Cancellation } from "../../protocol/peer/messages.js";
import type { PlatformSettings } from "../../protocol/settings/platform.js";

/** Part of a worker's lease that is kept free for the drift of clocks. */
const leaseDriftAllowance = 0.01;

/** Kept free beside that, for responses that were decided in time and written a little later. */
const marginMs = 2000;

/**
 * The longest authority after the moment up to which this process knows every cancellation that a user was told
 * of: `cancel_s` less a worker's whole lease and a margin, and never less than 0. All three times count from the
 * sending of requests, so delays on the way are on the safe side.
 *
 * Tests: `cancellation-staleness.test.ts`, traces 05 and 39.
 */
export function maxCancellationStalenessMs(workers: PlatformSettings["cluster"]["workers"]): number {
	const { cancel_s, lease_s } = workers;
	return Math.max(0, (cancel_s - lease_s * (1 + leaseDriftAllowance)) * 1000 - marginMs);
}

/** On a quiet day, answers of the watch that bring the news are up to this old. */
const maxWatchAnswerAgeMs = 8000;

/**
 * Authority after the moment up to which every cancellation is known, as the leader counts it. Where `cancel_s` is
 * so little more than a worker's lease that the bound lies within the age of a watch's answers, a leader that the
 * store serves counts that age, since no leader could act at all otherwise. Without the store there is no such
 * allowance. Test: "where cancel_s hardly exceeds a lease ..." in leadership.test.ts.
 */
export function stalenessBoundMs(maxStalenessMs: number, servedByStore: boolean): number {
	return servedByStore ? Math.max(maxStalenessMs, maxWatchAnswerAgeMs) : maxStalenessMs;
}

/** What this process knows of cancellations; all of it comes from its replica of the store. */
export interface CancellationTracker {
	/** Steady time up to which every change of the store is in the replica. */
	syncedAt(): number;
	/** Revision up to which this process knows the store. */
	replicaRevision(): Revision;
	/** Every cancellation after the revision of which this node can have told a user; null: it cannot say. */
	since(revision: Revision): Cancellation[] | null;
	/** Takes over cancellations of which other controllers have told their users. */
	record(cancellations: Cancellation[]): void;
}
