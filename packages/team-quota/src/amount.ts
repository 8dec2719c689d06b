import * as v from "valibot";

/**
 * CPUs and accelerators in thousandths. Whole numbers, so that sums are exact: the invariant of a
 * record is checked with `<=` and no tolerance.
 */
export interface Amount {
	readonly cpus: number;
	readonly gpus: number;
}

const perUnit = 1000;
/** Stands for no limit. Sums of many of these are still exact. */
export const unlimited = 2 ** 44;
/** Sizes that are not whole thousandths come with the errors of binary fractions. */
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

/** What a task takes: never less than it is. */
export function demandAmount(cpus: number, gpus: number): Amount {
	const up = (value: number) => Math.ceil(value - roundingError);
	return { cpus: thousandths(cpus, up), gpus: thousandths(gpus, up) };
}

/** What a limit allows: never more than it is. Infinity is no limit. */
export function limitAmount(cpus: number, gpus: number): Amount {
	const down = (value: number) => Math.floor(value + roundingError);
	return { cpus: thousandths(cpus, down), gpus: thousandths(gpus, down) };
}

/** In CPUs or accelerators; Infinity for no limit. */
export function inUnits(value: number): number {
	return value >= unlimited ? Number.POSITIVE_INFINITY : value / perUnit;
}

function combine(a: Amount, b: Amount, by: (x: number, y: number) => number): Amount {
	return { cpus: by(a.cpus, b.cpus), gpus: by(a.gpus, b.gpus) };
}

export const plus = (a: Amount, b: Amount): Amount => combine(a, b, (x, y) => x + y);
/** Never below nothing. */
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

/** How many times the size fits into the room. */
export function countWithin(room: Amount, size: Amount): number {
	const byCpus = size.cpus > 0 ? Math.floor(room.cpus / size.cpus) : Number.POSITIVE_INFINITY;
	const byGpus = size.gpus > 0 ? Math.floor(room.gpus / size.gpus) : Number.POSITIVE_INFINITY;
	return Math.max(0, Math.min(byCpus, byGpus));
}
