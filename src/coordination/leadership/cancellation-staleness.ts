/** How long a leader may go on without knowing of every cancellation. */

import type { PlatformSettings } from "../../protocol/settings/platform.js";

/** Leases are counted this much longer, for the drift of clocks. */
const leaseDriftFactor = 1.01;
/** Beside the drift of clocks: for responses that were decided in time and written a little later. */
const responseDelayMs = 2000;

/**
 * Longest authority, in milliseconds, beyond the moment up to which this process knows every cancellation.
 *
 * A cancellation that the leader has not heard of must still be carried out within `cancel_s`: authority without
 * knowing of it, then a worker's whole lease, then a margin. All three count from the sending of requests, so delays
 * on the way are on the safe side (docs/safety.md, traces 04 and 39).
 */
export function maxCancellationStalenessMs(workers: PlatformSettings["cluster"]["workers"]): number {
	const { cancel_s, lease_s } = workers;
	return Math.max(0, (cancel_s - lease_s * leaseDriftFactor) * 1000 - responseDelayMs);
}
