/** A request rate kept below a limit that several nodes share. */
export class TokenBucket {
	private tokens: number;
	private last: number;

	constructor(
		private readonly rate: number,
		private readonly burst: number,
		private readonly now: () => number,
	) {
		this.tokens = burst;
		this.last = now();
	}

	private refill(): void {
		const now = this.now();
		this.tokens = Math.min(this.burst, this.tokens + ((now - this.last) / 1000) * this.rate);
		this.last = now;
	}

	/** Takes n tokens if they are there, leaving at least `reserve`. */
	take(n = 1, reserve = 0): boolean {
		this.refill();
		if (this.tokens < n + reserve) return false;
		this.tokens -= n;
		return true;
	}

	/** Takes n tokens whether they are there or not; others wait until the debt is paid. */
	debit(n: number): void {
		this.refill();
		this.tokens = Math.max(-this.burst, this.tokens - n);
	}

	/** Milliseconds until n tokens beyond the reserve are there. */
	waitMs(n = 1, reserve = 0): number {
		this.refill();
		return Math.max(1, ((n + reserve - this.tokens) / this.rate) * 1000);
	}
}
