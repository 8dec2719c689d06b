/** The quota record of a team, and the transitions that keep its invariants. */

import * as v from "valibot";
import {
	type Amount,
	AmountSchema,
	addAmounts,
	fitsWithin,
	isZeroAmount,
	maxAmount,
	minAmount,
	sameAmount,
	subtractAmounts,
	sumAmounts,
	zeroAmount,
} from "./amount.js";

/** Why a part of an allotment is reclaimed. */
export type RecallReason = "wanted elsewhere" | "limit lowered" | "another placer";

/** The part of a team's limit that one controller may admit against. */
export interface Allotment {
	node: string;
	/** The process that holds the allotment; a later process of the same node does not hold it. */
	incarnation: string;
	amount: Amount;
	/**
	 * Part of the amount that the holder may no longer admit against, but that is not available to others
	 * yet.
	 */
	reclaiming: Amount;
	reason: RecallReason | null;
}

/** The limit of a team, and the part of it that it can always use. */
export interface LimitAndGuarantee {
	limit: Amount;
	guarantee: Amount;
}

/** A lower limit that is not in force yet, since more than it is allotted. */
export interface PendingLimit extends LimitAndGuarantee {
	revision: number;
	/** Wall-clock time in milliseconds, for operators. */
	requestedAt: number;
}

/** The stored record of one team's limit. Errors name its fields. */
export interface QuotaRecord {
	team: string;
	/** Revision of the limit in force: 1 at first, and raised by each change. */
	revision: number;
	inForce: LimitAndGuarantee;
	/** The limits of the platform's settings when they were last applied. */
	settings: LimitAndGuarantee;
	pending: PendingLimit | null;
	allotments: Allotment[];
}

/** Thrown if a record is malformed or would allow more than the limit. Such a record is never written. */
export class QuotaInvariantError extends Error {}

const maxAllotments = 1000;
const NameSchema = v.pipe(v.string(), v.nonEmpty("must not be empty"), v.maxLength(200, "is too long"));
const CountSchema = v.pipe(
	v.number("must be a number"),
	v.safeInteger(),
	v.minValue(0, "must not be negative"),
);
const LimitAndGuaranteeSchema = v.object({ limit: AmountSchema, guarantee: AmountSchema });

const AllotmentSchema = v.object({
	node: NameSchema,
	incarnation: NameSchema,
	amount: AmountSchema,
	reclaiming: AmountSchema,
	reason: v.nullable(v.picklist(["wanted elsewhere", "limit lowered", "another placer"])),
});

const QuotaRecordSchema = v.object({
	team: NameSchema,
	revision: CountSchema,
	inForce: LimitAndGuaranteeSchema,
	settings: LimitAndGuaranteeSchema,
	pending: v.nullable(
		v.object({
			...LimitAndGuaranteeSchema.entries,
			revision: CountSchema,
			requestedAt: v.pipe(v.number(), v.finite()),
		}),
	),
	allotments: v.pipe(v.array(AllotmentSchema), v.maxLength(maxAllotments, "has too many entries")),
});

/** Returns the validated record, or throws a QuotaInvariantError that names the first invalid field. */
export function parseRecord(value: unknown): QuotaRecord {
	const result = v.safeParse(QuotaRecordSchema, value, { abortEarly: true });
	if (!result.success) {
		const issue = result.issues[0];
		throw new QuotaInvariantError(`field "${v.getDotPath(issue) ?? ""}" ${issue.message}`);
	}
	return assertInvariants(result.output);
}

/**
 * Returns the record if its invariants hold. The main one: all allotments, including the parts that are
 * still being reclaimed, never exceed the limit in force.
 */
export function assertInvariants(record: QuotaRecord): QuotaRecord {
	const nodes = new Set<string>();
	for (const { node, amount, reclaiming } of record.allotments) {
		if (nodes.has(node)) throw new QuotaInvariantError(`field "allotments": "${node}" is named twice`);
		nodes.add(node);
		if (!fitsWithin(reclaiming, amount))
			throw new QuotaInvariantError(`field "allotments": more is reclaimed of "${node}" than it holds`);
	}
	for (const limits of [record.inForce, record.pending])
		if (limits && !fitsWithin(limits.guarantee, limits.limit))
			throw new QuotaInvariantError('field "guarantee" must not exceed the limit');
	if (!fitsWithin(totalAllotted(record), record.inForce.limit))
		throw new QuotaInvariantError('field "allotments": together they exceed the limit');
	return record;
}

/** Returns the first record of a team, by which nothing is allotted. */
export function newRecord(team: string, settings: LimitAndGuarantee): QuotaRecord {
	return assertInvariants({ team, revision: 1, inForce: settings, settings, pending: null, allotments: [] });
}

/** Returns the sum of all allotments of the team. */
export function totalAllotted(record: QuotaRecord): Amount {
	return sumAmounts(record.allotments.map((allotment) => allotment.amount));
}

/** Returns the allotment of the node; undefined: it has none. */
export function allotmentOf(record: QuotaRecord, node: string): Allotment | undefined {
	return record.allotments.find((allotment) => allotment.node === node);
}

/** Returns the amount that the holder may admit against. */
export function capOf(allotment: Allotment | undefined): Amount {
	return allotment ? subtractAmounts(allotment.amount, allotment.reclaiming) : zeroAmount;
}

/**
 * Returns the limit for raising allotments. A lower limit that is pending applies at once, since the
 * allotments must shrink to it.
 */
export function ceiling({ inForce, pending }: QuotaRecord): Amount {
	return pending ? minAmount(inForce.limit, pending.limit) : inForce.limit;
}

/** Returns the amount that is in no allotment. */
export function unallotted(record: QuotaRecord): Amount {
	return subtractAmounts(ceiling(record), totalAllotted(record));
}

/** True if both the limits and the guarantees are equal. */
export function sameLimitAndGuarantee(a: LimitAndGuarantee, b: LimitAndGuarantee): boolean {
	return sameAmount(a.limit, b.limit) && sameAmount(a.guarantee, b.guarantee);
}

/**
 * Returns the record with a new limit. The limit is in force at once if all allotments fit within it;
 * otherwise it is pending, in place of a limit that was pending before.
 */
export function requestLimit(
	record: QuotaRecord,
	requested: LimitAndGuarantee,
	requestedAt: number,
): QuotaRecord {
	const revision = Math.max(record.revision, record.pending?.revision ?? 0) + 1;
	if (fitsWithin(totalAllotted(record), requested.limit))
		return assertInvariants({ ...record, revision, inForce: requested, pending: null });
	return assertInvariants({ ...record, pending: { ...requested, revision, requestedAt } });
}

/** Puts a pending limit in force once all allotments fit within it. */
export function enforcePendingLimit(record: QuotaRecord): QuotaRecord {
	const { pending } = record;
	if (!pending || !fitsWithin(totalAllotted(record), pending.limit)) return record;
	const { limit, guarantee, revision } = pending;
	return assertInvariants({ ...record, revision, inForce: { limit, guarantee }, pending: null });
}

function withAllotment(record: QuotaRecord, changed: Allotment): QuotaRecord {
	const otherAllotments = record.allotments.filter((allotment) => allotment.node !== changed.node);
	const allotments = isZeroAmount(changed.amount) ? otherAllotments : [...otherAllotments, changed];
	allotments.sort((a, b) => (a.node < b.node ? -1 : 1));
	return assertInvariants({ ...record, allotments });
}

/**
 * Lowers the amount that the holder may admit against to `newCap`, and marks the rest as being reclaimed.
 * A cap of the whole amount or more ends a recall.
 */
export function recall(record: QuotaRecord, node: string, newCap: Amount, reason: RecallReason): QuotaRecord {
	const allotment = allotmentOf(record, node);
	if (!allotment) return record;
	const reclaiming = subtractAmounts(allotment.amount, newCap);
	if (sameAmount(reclaiming, allotment.reclaiming)) return record;
	return withAllotment(record, {
		...allotment,
		reclaiming,
		reason: isZeroAmount(reclaiming) ? null : reason,
	});
}

/** Releases the reclaimed amount that a holder, which has confirmed the recall, does not use. */
export function releaseReclaimed(record: QuotaRecord, node: string, used: Amount): QuotaRecord {
	const allotment = allotmentOf(record, node);
	if (!allotment || isZeroAmount(allotment.reclaiming)) return record;
	const cap = capOf(allotment);
	const amount = minAmount(allotment.amount, maxAmount(cap, used));
	if (sameAmount(amount, allotment.amount)) return record;
	const reclaiming = subtractAmounts(amount, cap);
	const reason = isZeroAmount(reclaiming) ? null : allotment.reason;
	return withAllotment(record, { ...allotment, amount, reclaiming, reason });
}

/** Removes the allotment of a holder that can certainly no longer admit anything. */
export function revoke(record: QuotaRecord, node: string): QuotaRecord {
	const allotment = allotmentOf(record, node);
	return allotment
		? withAllotment(record, { ...allotment, amount: zeroAmount, reclaiming: zeroAmount })
		: record;
}

/** Raises the process's allotment by the requested amount, or by as much of it as is unallotted. */
export function allot(
	record: QuotaRecord,
	node: string,
	incarnation: string,
	requested: Amount,
): QuotaRecord {
	const granted = minAmount(requested, unallotted(record));
	if (isZeroAmount(granted)) return record;
	const existing = allotmentOf(record, node);
	const allotment = existing ?? {
		node,
		incarnation,
		amount: zeroAmount,
		reclaiming: zeroAmount,
		reason: null,
	};
	return withAllotment(record, { ...allotment, amount: addAmounts(allotment.amount, granted) });
}
