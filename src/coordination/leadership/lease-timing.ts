/**
 * How long a lease, or a pledge that lasts as long as a lease, may be relied upon.
 *
 * Two controllers, or a controller and the store, count on their own clocks. The side that relies on a lease or a
 * pledge counts from the moment at which it sent its request, since the other side cannot have begun to count
 * before that, and stops early by the drift of clocks and a margin. The side that is bound counts from the moment
 * at which it gave its word, and holds to it longer by the drift.
 */

/** Two steady clocks drift apart by at most this part of the time that passes. */
export const maxClockDriftFraction = 0.001;

/** The durations of the leader lease; both come from the operators' settings. */
export interface LeaseTiming {
	/** Duration of the leader lease in the store, and of a pledge not to campaign. */
	leaseTtlMs: number;
	/** Kept free at the end of each, for what is decided in time and sent a little later. */
	marginMs: number;
}

/** Steady time until which the side whose request was sent at `sentAt` may rely on what was granted. */
export function holderExpiryAt({ leaseTtlMs, marginMs }: LeaseTiming, sentAt: number): number {
	return sentAt + leaseTtlMs * (1 - maxClockDriftFraction) - marginMs;
}

/** Steady time until which the side that gave its word at `givenAt` holds to it. */
export function grantorExpiryAt({ leaseTtlMs }: LeaseTiming, givenAt: number): number {
	return givenAt + leaseTtlMs * (1 + maxClockDriftFraction);
}
