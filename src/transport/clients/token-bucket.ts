/** A token bucket, which keeps a rate of requests below a limit of an outside system. */

import type { Clock } from "../../coordination/ports/clock.js";

/**
 * Tokens come at a steady rate up to the size of a burst; each request takes some. The number of tokens may be
 * negative: see `debit`. The bucket only counts, the caller waits.
 */
export class TokenBucket {
	private tokens: number;
	private lastRefillAt: number;

	/**
	 * @param ratePerS Tokens that come in a second.
	 * @param burst Most tokens at once; a new bucket has as many.
	 */
	constructor(
		private readonly ratePerS: number,
		private readonly burst: number,
		private readonly clock: Pick<Clock, "now">,
	) {
		this.tokens = burst;
		this.lastRefillAt = clock.now();
	}

	/** Takes tokens if that leaves at least the reserve; returns whether it did. */
	tryTake(count = 1, reserve = 0): boolean {
		this.refill();
		if (this.tokens < count + reserve) return false;
		this.tokens -= count;
		return true;
	}

	/** Takes tokens whether they are there or not, up to one burst of debt; others wait until it is paid. */
	debit(count: number): void {
		this.refill();
		this.tokens = Math.max(-this.burst, this.tokens - count);
	}

	/** Milliseconds until so many tokens beyond the reserve are there; at least 1. */
	waitMs(count = 1, reserve = 0): number {
		this.refill();
		return Math.max(1, ((count + reserve - this.tokens) / this.ratePerS) * 1000);
	}

	private refill(): void {
		const now = this.clock.now();
		this.tokens = Math.min(this.burst, this.tokens + ((now - this.lastRefillAt) / 1000) * this.ratePerS);
		this.lastRefillAt = now;
	}
}
