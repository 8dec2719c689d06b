import * as v from "valibot";
import {
	type Amount,
	AmountSchema,
	greater,
	isNothing,
	lesser,
	minus,
	nothing,
	plus,
	same,
	sum,
	within,
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

export interface LimitTerms {
	limit: Amount;
	guarantee: Amount;
}

/** A lower limit that is not in force yet, since more than it is allotted. */
export interface PendingLimit extends LimitTerms {
	revision: number;
	/** Wall-clock time in milliseconds, for operators. */
	requestedAt: number;
}

/** The stored record of one team's limit. Errors name its fields. */
export interface QuotaRecord {
	team: string;
	/** Revision of the limit in force: 1 at first, and raised by each change. */
	revision: number;
	inForce: LimitTerms;
	/** The limits of the platform's settings when they were last applied. */
	settings: LimitTerms;
	pending: PendingLimit | null;
	allotments: Allotment[];
}

/** A record is malformed or would allow more than the limit. Such a record is never written. */
export class QuotaInvariantError extends Error {}

const mostNodes = 1000;
const text = v.pipe(v.string(), v.nonEmpty("must not be empty"), v.maxLength(200, "is too long"));
const count = v.pipe(v.number("must be a number"), v.safeInteger(), v.minValue(0, "must not be negative"));
const LimitTermsSchema = v.object({ limit: AmountSchema, guarantee: AmountSchema });

const AllotmentSchema = v.object({
	node: text,
	incarnation: text,
	amount: AmountSchema,
	reclaiming: AmountSchema,
	reason: v.nullable(v.picklist(["wanted elsewhere", "limit lowered", "another placer"])),
});

const QuotaRecordSchema = v.object({
	team: text,
	revision: count,
	inForce: LimitTermsSchema,
	settings: LimitTermsSchema,
	pending: v.nullable(
		v.object({ ...LimitTermsSchema.entries, revision: count, requestedAt: v.pipe(v.number(), v.finite()) }),
	),
	allotments: v.pipe(v.array(AllotmentSchema), v.maxLength(mostNodes, "has too many entries")),
});

/** Returns the validated record, or throws a QuotaInvariantError that names the first invalid field. */
export function parseRecord(value: unknown): QuotaRecord {
	const result = v.safeParse(QuotaRecordSchema, value, { abortEarly: true });
	if (!result.success) {
		const issue = result.issues[0];
		throw new QuotaInvariantError(`field "${v.getDotPath(issue) ?? ""}" ${issue.message}`);
	}
	return checked(result.output);
}

/**
 * Returns the record if its invariants hold. The main one: all allotments, including the parts that are
 * still being reclaimed, never exceed the limit in force.
 */
export function checked(record: QuotaRecord): QuotaRecord {
	const nodes = new Set<string>();
	for (const { node, amount, reclaiming } of record.allotments) {
		if (nodes.has(node)) throw new QuotaInvariantError(`field "allotments": "${node}" is named twice`);
		nodes.add(node);
		if (!within(reclaiming, amount))
			throw new QuotaInvariantError(`field "allotments": more is reclaimed of "${node}" than it holds`);
	}
	for (const terms of [record.inForce, record.pending])
		if (terms && !within(terms.guarantee, terms.limit))
			throw new QuotaInvariantError('field "guarantee" must not exceed the limit');
	if (!within(allotted(record), record.inForce.limit))
		throw new QuotaInvariantError('field "allotments": together they exceed the limit');
	return record;
}

export function newRecord(team: string, settings: LimitTerms): QuotaRecord {
	return checked({ team, revision: 1, inForce: settings, settings, pending: null, allotments: [] });
}

export function allotted(record: QuotaRecord): Amount {
	return sum(record.allotments.map((allotment) => allotment.amount));
}

export function allotmentOf(record: QuotaRecord, node: string): Allotment | undefined {
	return record.allotments.find((allotment) => allotment.node === node);
}

/** Returns the amount that the holder may admit against. */
export function capOf(allotment: Allotment | undefined): Amount {
	return allotment ? minus(allotment.amount, allotment.reclaiming) : nothing;
}

/**
 * Returns the limit for raising allotments. A lower limit that is pending applies at once, since the
 * allotments must shrink to it.
 */
export function ceiling({ inForce, pending }: QuotaRecord): Amount {
	return pending ? lesser(inForce.limit, pending.limit) : inForce.limit;
}

/** Returns the amount that is in no allotment. */
export function unallotted(record: QuotaRecord): Amount {
	return minus(ceiling(record), allotted(record));
}

export function sameTerms(a: LimitTerms, b: LimitTerms): boolean {
	return same(a.limit, b.limit) && same(a.guarantee, b.guarantee);
}

/**
 * Returns the record with a new limit. The limit is in force at once if all allotments fit within it;
 * otherwise it is pending, in place of a limit that was pending before.
 */
export function requestLimit(record: QuotaRecord, terms: LimitTerms, requestedAt: number): QuotaRecord {
	const revision = Math.max(record.revision, record.pending?.revision ?? 0) + 1;
	if (within(allotted(record), terms.limit))
		return checked({ ...record, revision, inForce: terms, pending: null });
	return checked({ ...record, pending: { ...terms, revision, requestedAt } });
}

/** Puts a pending limit in force once all allotments fit within it. */
export function enforcePending(record: QuotaRecord): QuotaRecord {
	const { pending } = record;
	if (!pending || !within(allotted(record), pending.limit)) return record;
	const { limit, guarantee, revision } = pending;
	return checked({ ...record, revision, inForce: { limit, guarantee }, pending: null });
}

function withAllotment(record: QuotaRecord, changed: Allotment): QuotaRecord {
	const others = record.allotments.filter((allotment) => allotment.node !== changed.node);
	const kept = isNothing(changed.amount) ? others : [...others, changed];
	kept.sort((a, b) => (a.node < b.node ? -1 : 1));
	return checked({ ...record, allotments: kept });
}

/**
 * Lowers the amount that the holder may admit against to `newCap`, and marks the rest as being reclaimed.
 * A cap of the whole amount or more ends a recall.
 */
export function recall(record: QuotaRecord, node: string, keep: Amount, reason: RecallReason): QuotaRecord {
	const allotment = allotmentOf(record, node);
	if (!allotment) return record;
	const reclaiming = minus(allotment.amount, keep);
	if (same(reclaiming, allotment.reclaiming)) return record;
	return withAllotment(record, { ...allotment, reclaiming, reason: isNothing(reclaiming) ? null : reason });
}

/** Releases the reclaimed amount that a holder, which has confirmed the recall, does not use. */
export function settleRecall(record: QuotaRecord, node: string, used: Amount): QuotaRecord {
	const allotment = allotmentOf(record, node);
	if (!allotment || isNothing(allotment.reclaiming)) return record;
	const cap = capOf(allotment);
	const amount = lesser(allotment.amount, greater(cap, used));
	if (same(amount, allotment.amount)) return record;
	const reclaiming = minus(amount, cap);
	const reason = isNothing(reclaiming) ? null : allotment.reason;
	return withAllotment(record, { ...allotment, amount, reclaiming, reason });
}

/** Removes the allotment of a holder that can certainly no longer admit anything. */
export function revoke(record: QuotaRecord, node: string): QuotaRecord {
	const allotment = allotmentOf(record, node);
	return allotment ? withAllotment(record, { ...allotment, amount: nothing, reclaiming: nothing }) : record;
}

/** Raises the process's allotment by the requested amount, or by as much of it as is unallotted. */
export function allot(record: QuotaRecord, node: string, incarnation: string, more: Amount): QuotaRecord {
	const granted = lesser(more, unallotted(record));
	if (isNothing(granted)) return record;
	const old = allotmentOf(record, node);
	const held = old ?? { node, incarnation, amount: nothing, reclaiming: nothing, reason: null };
	return withAllotment(record, { ...held, amount: plus(held.amount, granted) });
}
