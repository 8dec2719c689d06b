/**
 * The expiry of a lease, or of a vote that is valid as long as a lease, by the clocks of both sides.
 *
 * The holder is the side that relies on the lease or vote, and the grantor the side that is bound by it. The holder
 * counts the duration from the sending of its request, since the grantor cannot have started to count before that,
 * and subtracts clock drift and a margin. The grantor counts from the time of its grant, and adds clock drift.
 */

/** Two monotonic clocks drift apart by at most this fraction of the elapsed time. */
export const maxClockDriftFraction = 0.001;

/** The durations of the leader lease, both from the operators' settings. */
export interface LeaseTiming {
	/** Duration of the leader lease in the store, and of a vote for its extension. */
	leaseTtlMs: number;
	/** Margin at the end of each, for messages that are decided in time and sent a little later. */
	marginMs: number;
}

/** Returns the monotonic time until which the holder may rely on a lease or vote that it requested at `sentAt`. */
export function holderExpiryAt({ leaseTtlMs, marginMs }: LeaseTiming, sentAt: number): number {
	return sentAt + leaseTtlMs * (1 - maxClockDriftFraction) - marginMs;
}

/** Returns the monotonic time until which the grantor is bound by a lease or vote that it granted at `grantedAt`. */
export function grantorExpiryAt({ leaseTtlMs }: LeaseTiming, grantedAt: number): number {
	return grantedAt + leaseTtlMs * (1 + maxClockDriftFraction);
}
