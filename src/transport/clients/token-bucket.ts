/** A token bucket, which keeps a rate of requests below a limit of an external system. */

import type { Clock } from "../../coordination/ports/clock.js";

/**
 * Tokens are added at a constant rate up to the burst size, and each request takes some. The number of tokens may
 * be negative: see `debit`. The bucket only counts; its caller waits.
 */
export class TokenBucket {
	private tokens: number;
	private lastRefillAt: number;

	/**
	 * @param ratePerS Tokens added per second.
	 * @param burst Maximum number of tokens, which is also the initial number.
	 */
	constructor(
		private readonly ratePerS: number,
		private readonly burst: number,
		private readonly clock: Pick<Clock, "now">,
	) {
		this.tokens = burst;
		this.lastRefillAt = clock.now();
	}

	/** Takes tokens if at least the reserve remains. Returns true if the tokens were taken. */
	tryTake(count = 1, reserve = 0): boolean {
		this.refill();
		if (this.tokens < count + reserve) return false;
		this.tokens -= count;
		return true;
	}

	/**
	 * Takes tokens even if too few are available, up to a debt of one burst. Other requests wait until the debt is
	 * refilled.
	 */
	debit(count: number): void {
		this.refill();
		this.tokens = Math.max(-this.burst, this.tokens - count);
	}

	/** Returns the milliseconds until this many tokens are available beyond the reserve; at least 1. */
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
