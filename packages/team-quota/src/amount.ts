/** Amounts of CPUs and accelerators, and calculations with them. */

import * as v from "valibot";

/**
 * CPUs and accelerators in thousandths. The numbers are integers, so sums are exact and the invariants of
 * a record are checked with `<=` and no tolerance.
 */
export interface Amount {
	readonly cpus: number;
	readonly gpus: number;
}

const thousandthsPerUnit = 1000;
/** Represents no limit. Small enough that sums of many such values are still exact. */
export const unlimited = 2 ** 44;
/** Absorbs the floating-point error of sizes such as 0.1 + 0.2, in thousandths. */
const roundingTolerance = 1e-6;

/** No CPUs and no accelerators. */
export const zeroAmount: Amount = { cpus: 0, gpus: 0 };

const DimensionSchema = v.pipe(
	v.number("must be a number"),
	v.safeInteger("must be a whole number of thousandths"),
	v.minValue(0, "must not be negative"),
	v.maxValue(unlimited, "must not be above the largest limit"),
);

/** The form of an amount in messages and stored values. */
export const AmountSchema = v.object({ cpus: DimensionSchema, gpus: DimensionSchema });

function thousandths(units: number, round: (value: number) => number): number {
	return Math.min(unlimited, Math.max(0, round(units * thousandthsPerUnit)));
}

/** Returns the amount that a task needs, rounded up so that it is never charged too little. */
export function demandAmount(cpus: number, gpus: number): Amount {
	const up = (value: number) => Math.ceil(value - roundingTolerance);
	return { cpus: thousandths(cpus, up), gpus: thousandths(gpus, up) };
}

/**
 * Returns the amount that a limit allows, rounded down so that it never allows too much. Infinity is no
 * limit.
 */
export function limitAmount(cpus: number, gpus: number): Amount {
	const down = (value: number) => Math.floor(value + roundingTolerance);
	return { cpus: thousandths(cpus, down), gpus: thousandths(gpus, down) };
}

/** Converts thousandths to CPUs or accelerators; Infinity for no limit. */
export function toUnits(value: number): number {
	return value >= unlimited ? Number.POSITIVE_INFINITY : value / thousandthsPerUnit;
}

/** Returns the amount in CPUs and accelerators; Infinity for no limit. */
export function inUnits({ cpus, gpus }: Amount): { cpus: number; gpus: number } {
	return { cpus: toUnits(cpus), gpus: toUnits(gpus) };
}

function combineAmounts(a: Amount, b: Amount, combineDimension: (x: number, y: number) => number): Amount {
	return { cpus: combineDimension(a.cpus, b.cpus), gpus: combineDimension(a.gpus, b.gpus) };
}

/** Adds each dimension. */
export const addAmounts = (a: Amount, b: Amount): Amount => combineAmounts(a, b, (x, y) => x + y);
/** Subtracts each dimension; the result is never below zero. */
export const subtractAmounts = (a: Amount, b: Amount): Amount =>
	combineAmounts(a, b, (x, y) => Math.max(0, x - y));
/** Returns the smaller value of each dimension. */
export const minAmount = (a: Amount, b: Amount): Amount => combineAmounts(a, b, Math.min);
/** Returns the larger value of each dimension. */
export const maxAmount = (a: Amount, b: Amount): Amount => combineAmounts(a, b, Math.max);
/** Multiplies each dimension by a count. */
export const multiplyAmount = (a: Amount, count: number): Amount => ({
	cpus: a.cpus * count,
	gpus: a.gpus * count,
});
/** True if neither dimension of the first amount exceeds that of the second. */
export const fitsWithin = (a: Amount, b: Amount): boolean => a.cpus <= b.cpus && a.gpus <= b.gpus;
/** True if both dimensions are equal. */
export const sameAmount = (a: Amount, b: Amount): boolean => a.cpus === b.cpus && a.gpus === b.gpus;
/** True if both dimensions are zero. */
export const isZeroAmount = (a: Amount): boolean => a.cpus === 0 && a.gpus === 0;

/** Returns the sum of the amounts in each dimension. */
export function sumAmounts(amounts: Iterable<Amount>): Amount {
	let total = zeroAmount;
	for (const amount of amounts) total = addAmounts(total, amount);
	return total;
}

/** Returns how many tasks of the size fit into the available amount. */
export function countThatFits(available: Amount, size: Amount): number {
	const byCpus = size.cpus > 0 ? Math.floor(available.cpus / size.cpus) : Number.POSITIVE_INFINITY;
	const byGpus = size.gpus > 0 ? Math.floor(available.gpus / size.gpus) : Number.POSITIVE_INFINITY;
	return Math.max(0, Math.min(byCpus, byGpus));
}
