/** Integers from 0 to 2^64 - 1. */

import * as v from "valibot";

/**
 * A revision or a term: an integer from 0 to 2^64 - 1, as a number up to 2^53 - 1 and as a bigint above that, so that each
 * value has one form.
 */
export type Uint64 = number | bigint;

const limit = 2n ** 64n;

function isUint64(value: unknown): value is Uint64 {
	if (typeof value === "bigint") return value >= 0n && value < limit;
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Checks a received value and returns it in its one form. */
export const Uint64Schema = v.pipe(
	v.custom<Uint64>(isUint64),
	v.transform((value): Uint64 => (value <= Number.MAX_SAFE_INTEGER ? Number(value) : value)),
);
