import * as v from "valibot";
import { type Amount, AmountSchema } from "./amount.js";

/**
 * What the leader's allotment manager and the holders tell each other. Both sides send state, not
 * changes of it: a message that is lost, doubled or late does no harm.
 */

/** One team's allotment, to its holder. */
export interface TeamTerms {
	team: string;
	/** What the holder may admit against. */
	cap: Amount;
	/** Admissions of this holder that run or may run, as far as its batches are settled. */
	charged: Amount;
	/** What is left of the team's limit, wherever it is allotted. */
	free: Amount;
}

/** Manager to holder. */
export interface QuotaTerms {
	/** The process that is meant: not one of the same node before it. */
	incarnation: string;
	/** Counts the messages to this process in this term of leadership. */
	number: number;
	/** The last reply of this process that has arrived: the holder's time counts from its sending. */
	echo: number;
	/** Batches of admissions up to this one are within `charged`, or will never start. */
	settledBatch: number;
	/** Teams whose terms have changed since the last message that the holder has confirmed. */
	teams: TeamTerms[];
}

/** More than the holder has: what all its tasks of a team would take. */
export interface Wanted {
	team: string;
	amount: Amount;
}

/** Holder to manager. */
export interface HolderReply {
	incarnation: string;
	/** Counts the replies of this process. */
	number: number;
	/** The last message of the manager's that was applied. */
	confirmed: number;
	/** The last batch of admissions that was sent; links keep their order, so all up to it were sent before. */
	batch: number;
	wanted?: Wanted[] | undefined;
}

const text = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const QuotaTermsSchema = v.object({
	incarnation: text,
	number: count,
	echo: count,
	settledBatch: count,
	teams: v.array(v.object({ team: text, cap: AmountSchema, charged: AmountSchema, free: AmountSchema })),
});

const HolderReplySchema = v.object({
	incarnation: text,
	number: count,
	confirmed: count,
	batch: count,
	wanted: v.optional(v.array(v.object({ team: text, amount: AmountSchema }))),
});

function parseAs<T extends v.GenericSchema>(schema: T, raw: unknown): v.InferOutput<T> | null {
	const result = v.safeParse(schema, raw, { abortEarly: true });
	return result.success ? result.output : null;
}

/** null: not of the form. */
export const parseTerms = (raw: unknown): QuotaTerms | null => parseAs(QuotaTermsSchema, raw);
export const parseReply = (raw: unknown): HolderReply | null => parseAs(HolderReplySchema, raw);
