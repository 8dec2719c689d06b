import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** The resolution of random fractions. */
const fractionSteps = 1_000_000;

/** Random decisions that a seed determines. */
export class Random {
	private readonly generator: RandomGenerator;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Returns an integer from `min` to `max`. */
	between(min: number, max: number): number {
		return uniformInt(this.generator, min, max);
	}

	/** Returns true with this probability. */
	chance(probability: number): boolean {
		return this.between(0, fractionSteps - 1) < probability * fractionSteps;
	}

	/** Returns one of the items; undefined: there are none. */
	pick<T>(items: readonly T[]): T | undefined {
		return items.length === 0 ? undefined : items[this.between(0, items.length - 1)];
	}
}
