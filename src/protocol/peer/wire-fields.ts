/** Schemas of fields that several messages between controllers share on the wire. */

import * as v from "valibot";
import type { Incarnation } from "../model/identifiers.js";
import { uint64 } from "../model/uint64-schema.js";

/** A term. Its historic name on the wire is `epoch`. */
export const term = uint64;

/** A string of at most 1000 characters. */
export const shortText = v.pipe(v.string(), v.maxLength(1000));

/** The message of team quota, which the team quota package checks itself. */
export const teamQuota = v.optional(v.unknown());

/** The process that a message names. Versions up to 0.8.0 omit the field. */
export const incarnation = v.optional(shortText);

/** Returns the field that names the process; no field if the message names none. */
export function encodeIncarnation(incarnation: Incarnation | undefined): { process?: string } {
	return incarnation === undefined ? {} : { process: incarnation };
}

/** Returns the process that the field names; nothing if the message lacks the field. */
export function decodeIncarnation(process: string | undefined): { incarnation?: Incarnation } {
	return process === undefined ? {} : { incarnation: process };
}
