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

/** Why a part of an allotment is taken back. */
export type RecallReason = "wanted elsewhere" | "limit lowered" | "another placer";

/** The part of a team's limit that one controller may admit against. */
export interface Allotment {
	node: string;
	/** The process that holds it; a later process of the node does not. */
	incarnation: string;
	amount: Amount;
	/** Part of the amount that may not be admitted against any more and is not yet free. */
	reclaiming: Amount;
	reason: RecallReason | null;
}

export interface LimitTerms {
	limit: Amount;
	guarantee: Amount;
}

/** A lower limit that is not in force yet. */
export interface PendingLimit extends LimitTerms {
	revision: number;
	/** Time of day in milliseconds, for operators. */
	requestedAt: number;
}

/** All that the state service keeps of one team's limit. */
export interface QuotaRecord {
	team: string;
	/** Counts the changes of the limit that are in force. */
	revision: number;
	inForce: LimitTerms;
	/** What the platform's settings said when they were last taken over. */
	settings: LimitTerms;
	pending: PendingLimit | null;
	allotments: Allotment[];
}

/** A record that would allow more than the limit. It is never written. */
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

/** The record in its form, or an error that names the first faulty field. */
export function parseRecord(value: unknown): QuotaRecord {
	const result = v.safeParse(QuotaRecordSchema, value, { abortEarly: true });
	if (!result.success) {
		const issue = result.issues[0];
		throw new QuotaInvariantError(`field "${v.getDotPath(issue) ?? ""}" ${issue.message}`);
	}
	return checked(result.output);
}

/** Allotments, with what is still being reclaimed of them, never exceed the limit in force. */
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

/** What the holder may admit against. */
export function capOf(allotment: Allotment | undefined): Amount {
	return allotment ? minus(allotment.amount, allotment.reclaiming) : nothing;
}

/** No allotment is raised beyond this: a lower limit that is pending must be reached. */
export function ceiling({ inForce, pending }: QuotaRecord): Amount {
	return pending ? lesser(inForce.limit, pending.limit) : inForce.limit;
}

/** What no allotment holds. */
export function unallotted(record: QuotaRecord): Amount {
	return minus(ceiling(record), allotted(record));
}

export function sameTerms(a: LimitTerms, b: LimitTerms): boolean {
	return same(a.limit, b.limit) && same(a.guarantee, b.guarantee);
}

/**
 * A limit that everything allotted is within holds at once; a lower one is pending, and replaces one
 * that was pending before.
 */
export function requestLimit(record: QuotaRecord, terms: LimitTerms, requestedAt: number): QuotaRecord {
	const revision = Math.max(record.revision, record.pending?.revision ?? 0) + 1;
	if (within(allotted(record), terms.limit))
		return checked({ ...record, revision, inForce: terms, pending: null });
	return checked({ ...record, pending: { ...terms, revision, requestedAt } });
}

/** A pending limit comes into force once everything allotted is within it. */
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

/** From here on the holder may admit against `keep` at the most. Keeping all ends a recall. */
export function recall(record: QuotaRecord, node: string, keep: Amount, reason: RecallReason): QuotaRecord {
	const allotment = allotmentOf(record, node);
	if (!allotment) return record;
	const reclaiming = minus(allotment.amount, keep);
	if (same(reclaiming, allotment.reclaiming)) return record;
	return withAllotment(record, { ...allotment, reclaiming, reason: isNothing(reclaiming) ? null : reason });
}

/** The holder has heard of the recall and has so much in use: the rest of what is reclaimed is free. */
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

/** The holder, certainly unable to admit anything any more, loses its allotment. */
export function revoke(record: QuotaRecord, node: string): QuotaRecord {
	const allotment = allotmentOf(record, node);
	return allotment ? withAllotment(record, { ...allotment, amount: nothing, reclaiming: nothing }) : record;
}

/** Gives the process so much more, of what no allotment holds. */
export function allot(record: QuotaRecord, node: string, incarnation: string, more: Amount): QuotaRecord {
	const granted = lesser(more, unallotted(record));
	if (isNothing(granted)) return record;
	const old = allotmentOf(record, node);
	const held = old ?? { node, incarnation, amount: nothing, reclaiming: nothing, reason: null };
	return withAllotment(record, { ...held, amount: plus(held.amount, granted) });
}
