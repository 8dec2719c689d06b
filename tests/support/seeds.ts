/**
 * Returns the seeds that a test plays: `SEEDS` of them from `FIRST_SEED` (1 by default) on if the environment names a
 * number, for a long run by hand; otherwise these.
 */
export function seedsOr(defaultSeeds: readonly number[]): readonly number[] {
	const { SEEDS: count, FIRST_SEED: first = "1" } = process.env;
	if (count === undefined) return defaultSeeds;
	return Array.from({ length: Number(count) }, (_, i) => Number(first) + i);
}
