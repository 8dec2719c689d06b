/** The messages between the leader's allotment manager and the holders. */

import * as v from "valibot";
import { type Amount, AmountSchema } from "./amount.js";
import { type Uint64, Uint64Schema } from "./uint64.js";

/**
 * Messages between the leader's allotment manager and the holders, sent under these field names.
 * Both sides send state, not changes of it, so a lost, duplicated or late message does no harm.
 */

/** The state of one team's allotment, for its holder. */
export interface TeamAllotmentUpdate {
	team: string;
	/** The amount that the holder may admit against, including what it already uses. */
	cap: Amount;
	/** The amount of this holder's admissions that run or may run, from its settled batches. */
	charged: Amount;
	/** The unused part of the team's limit, whichever controller it is allotted to. */
	free: Amount;
}

/** A message from the allotment manager to a holder. */
export interface AllotmentUpdate {
	/** The process that the message is for, not an earlier process of the same node. */
	incarnation: string;
	/** Sequence number of the messages to this process in this term of leadership. */
	number: number;
	/** Number of the last reply received from this process: the holder's validity counts from its sending. */
	echo: number;
	/** Number of the last settled batch: admissions up to it are included in `charged` or will never start. */
	settledBatch: number;
	/** The teams whose state has changed since the last message that the holder confirmed. */
	teams: TeamAllotmentUpdate[];
}

/** The amount that all tasks of a team at this holder would use, which may exceed its allotment. */
export interface RequestedAmount {
	team: string;
	amount: Amount;
}

/** A message from a holder to the allotment manager. */
export interface HolderReply {
	incarnation: string;
	/** Sequence number of the replies of this process. */
	number: number;
	/**
	 * Term of leadership of the last update that was applied. A reply may reach the leader of a later term, to which
	 * `confirmed` and `batch` then state nothing. Controllers of 0.8.0 do not send it.
	 */
	term?: Uint64 | undefined;
	/** Number of the last update that was applied. */
	confirmed: number;
	/**
	 * Number of the last closed batch. Links keep the order of messages, so all batches up to it were sent
	 * before or with this reply.
	 */
	batch: number;
	wanted?: RequestedAmount[] | undefined;
}

const NameSchema = v.pipe(v.string(), v.nonEmpty(), v.maxLength(200));
const CountSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

const AllotmentUpdateSchema = v.object({
	incarnation: NameSchema,
	number: CountSchema,
	echo: CountSchema,
	settledBatch: CountSchema,
	teams: v.array(
		v.object({ team: NameSchema, cap: AmountSchema, charged: AmountSchema, free: AmountSchema }),
	),
});

const HolderReplySchema = v.object({
	incarnation: NameSchema,
	number: CountSchema,
	term: v.optional(Uint64Schema),
	confirmed: CountSchema,
	batch: CountSchema,
	wanted: v.optional(v.array(v.object({ team: NameSchema, amount: AmountSchema }))),
});

function parseAs<T extends v.GenericSchema>(schema: T, raw: unknown): v.InferOutput<T> | null {
	const result = v.safeParse(schema, raw, { abortEarly: true });
	return result.success ? result.output : null;
}

/** Decodes an update of the leader; null: it is malformed. */
export const parseAllotmentUpdate = (raw: unknown): AllotmentUpdate | null =>
	parseAs(AllotmentUpdateSchema, raw);
/** Decodes a reply of a holder; null: it is malformed. */
export const parseReply = (raw: unknown): HolderReply | null => parseAs(HolderReplySchema, raw);
