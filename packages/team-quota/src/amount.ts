import * as v from "valibot";

/**
 * CPUs and accelerators in thousandths. The numbers are integers, so sums are exact and the invariants of
 * a record are checked with `<=` and no tolerance.
 */
export interface Amount {
	readonly cpus: number;
	readonly gpus: number;
}

const perUnit = 1000;
/** Represents no limit. Small enough that sums of many such values are still exact. */
export const unlimited = 2 ** 44;
/** Absorbs the floating-point error of sizes such as 0.1 + 0.2, in thousandths. */
const roundingError = 1e-6;

export const nothing: Amount = { cpus: 0, gpus: 0 };

const dimension = v.pipe(
	v.number("must be a number"),
	v.safeInteger("must be a whole number of thousandths"),
	v.minValue(0, "must not be negative"),
	v.maxValue(unlimited, "must not be above the largest limit"),
);

export const AmountSchema = v.object({ cpus: dimension, gpus: dimension });

function thousandths(units: number, round: (value: number) => number): number {
	return Math.min(unlimited, Math.max(0, round(units * perUnit)));
}

/** Returns the amount that a task needs, rounded up so that it is never charged too little. */
export function demandAmount(cpus: number, gpus: number): Amount {
	const up = (value: number) => Math.ceil(value - roundingError);
	return { cpus: thousandths(cpus, up), gpus: thousandths(gpus, up) };
}

/**
 * Returns the amount that a limit allows, rounded down so that it never allows too much. Infinity is no
 * limit.
 */
export function limitAmount(cpus: number, gpus: number): Amount {
	const down = (value: number) => Math.floor(value + roundingError);
	return { cpus: thousandths(cpus, down), gpus: thousandths(gpus, down) };
}

/** Converts thousandths to CPUs or accelerators; Infinity for no limit. */
export function inUnits(value: number): number {
	return value >= unlimited ? Number.POSITIVE_INFINITY : value / perUnit;
}

function combine(a: Amount, b: Amount, by: (x: number, y: number) => number): Amount {
	return { cpus: by(a.cpus, b.cpus), gpus: by(a.gpus, b.gpus) };
}

export const plus = (a: Amount, b: Amount): Amount => combine(a, b, (x, y) => x + y);
/** Subtracts each dimension; the result is never below zero. */
export const minus = (a: Amount, b: Amount): Amount => combine(a, b, (x, y) => Math.max(0, x - y));
export const lesser = (a: Amount, b: Amount): Amount => combine(a, b, Math.min);
export const greater = (a: Amount, b: Amount): Amount => combine(a, b, Math.max);
export const times = (a: Amount, count: number): Amount => ({ cpus: a.cpus * count, gpus: a.gpus * count });
export const within = (a: Amount, b: Amount): boolean => a.cpus <= b.cpus && a.gpus <= b.gpus;
export const same = (a: Amount, b: Amount): boolean => a.cpus === b.cpus && a.gpus === b.gpus;
export const isNothing = (a: Amount): boolean => a.cpus === 0 && a.gpus === 0;

export function sum(amounts: Iterable<Amount>): Amount {
	let total = nothing;
	for (const amount of amounts) total = plus(total, amount);
	return total;
}

/** Returns how many tasks of the size fit into the available amount. */
export function countWithin(room: Amount, size: Amount): number {
	const byCpus = size.cpus > 0 ? Math.floor(room.cpus / size.cpus) : Number.POSITIVE_INFINITY;
	const byGpus = size.gpus > 0 ? Math.floor(room.gpus / size.gpus) : Number.POSITIVE_INFINITY;
	return Math.max(0, Math.min(byCpus, byGpus));
}
