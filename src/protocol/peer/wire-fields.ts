/** Schemas of fields that several messages between controllers share on the wire. */

import * as v from "valibot";

/** A term. Its historic name on the wire is `epoch`. */
export const term = v.pipe(v.number(), v.integer());

/** A short text. */
export const shortText = v.pipe(v.string(), v.maxLength(1000));

/** Fields of team quota's package, which checks them itself. */
export const teamQuota = v.optional(v.unknown());
