/** Schemas of fields that several messages between controllers share on the wire. */

import * as v from "valibot";

/** A term. Its historic name on the wire is `epoch`. */
export const term = v.pipe(v.number(), v.integer());

/** A string of at most 1000 characters. */
export const shortText = v.pipe(v.string(), v.maxLength(1000));

/** The message of team quota, which the team quota package checks itself. */
export const teamQuota = v.optional(v.unknown());
