/**
 * Integers from 0 to 2^64 - 1, the range of all counts, versions, tokens and attempts of the protocols. JavaScript's
 * numbers are exact up to 2^53 - 1 only.
 */

/**
 * An integer from 0 to 2^64 - 1: a number up to 2^53 - 1, and a bigint above that. Each value has one form, so that `===`,
 * `<` and keys of maps are exact, and values below 2^53 cost no more than numbers.
 */
export type Uint64 = number | bigint;

const limit = 2n ** 64n;

/** Returns the value in its one form. */
export function uint64Of(value: bigint): Uint64 {
	return value <= Number.MAX_SAFE_INTEGER ? Number(value) : value;
}

/** Orders two values for sorting: negative if the first is smaller. */
export function compareUint64(a: Uint64, b: Uint64): number {
	if (a === b) return 0;
	return a < b ? -1 : 1;
}

/** Returns the larger of two values. */
export function maxUint64(a: Uint64, b: Uint64): Uint64 {
	return a > b ? a : b;
}

/** Returns the smaller of two values. */
export function minUint64(a: Uint64, b: Uint64): Uint64 {
	return a < b ? a : b;
}

/** Returns the next larger value; for 2^64 - 1 it is 2^64, which no value reaches. */
export function nextUint64(value: Uint64): Uint64 {
	return typeof value === "number" && value < Number.MAX_SAFE_INTEGER
		? value + 1
		: uint64Of(BigInt(value) + 1n);
}

/**
 * Returns a decoded integer in its one form; null: it is none from 0 to 2^64 - 1. A number above 2^53 - 1 is not accepted,
 * because it may have been rounded when it was decoded.
 */
export function toUint64(value: unknown): Uint64 | null {
	if (typeof value === "number") return Number.isSafeInteger(value) && value >= 0 ? value : null;
	if (typeof value === "bigint") return value >= 0n && value < limit ? uint64Of(value) : null;
	return null;
}

/**
 * Like `toUint64`, for attempt numbers of leaders up to 0.8.0, which calculated with numbers: from term 2^31 on they sent
 * rounded ones, and workers list those.
 */
export function toUint64OrRounded(value: unknown): Uint64 | null {
	const isRounded = typeof value === "number" && Number.isInteger(value) && value > Number.MAX_SAFE_INTEGER;
	return toUint64(isRounded ? BigInt(value) : value);
}
