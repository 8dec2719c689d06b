/**
 * Schemas shared by the parsers of all data from outside this process. Users see the messages after the name of the
 * field: `field "cores" must be above 0`.
 */

import * as v from "valibot";
import { MalformedMessageError } from "./errors.js";

const maxNameLength = 200;

/** A decimal number. Exactly parsed JSON has a bigint for one that is written as a large integer. */
const decimal = v.union([v.number(), v.pipe(v.bigint(), v.transform(Number))], "must be a number");

const finite = v.pipe(decimal, v.finite("must be finite"));

/** A finite number above 0. */
export const positive = v.pipe(finite, v.gtValue(0, "must be above 0"));

/** A finite number of 0 or more. */
export const nonNegative = v.pipe(finite, v.minValue(0, "must not be negative"));

/** An integer of 0 or more. */
export const nonNegativeInteger = v.pipe(
	v.number("must be a number"),
	v.safeInteger("must be a whole number"),
	v.minValue(0, "must not be negative"),
);

/** A string of 1 to 200 characters. */
export const name = v.pipe(
	v.string("must be a string"),
	v.nonEmpty("must not be empty"),
	v.maxLength(maxNameLength, `must have at most ${maxNameLength} characters`),
);

/** A truth value. */
export const boolean = v.boolean("must be true or false");

/** An optional field; a missing field and null are both read as null. */
export const orNull = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

function describeIssue(issue: v.BaseIssue<unknown>): string {
	const path = v.getDotPath(issue);
	if (!path) return issue.message;
	return `field "${path}" ${issue.input === undefined ? "is missing" : issue.message}`;
}

/**
 * Validates the input and returns it in the schema's output form. Throws a MalformedMessageError that names the
 * first invalid field.
 */
export function checkShape<T extends v.GenericSchema>(schema: T, input: unknown): v.InferOutput<T> {
	const result = v.safeParse(schema, input, { abortEarly: true });
	if (!result.success) throw new MalformedMessageError(describeIssue(result.issues[0]));
	return result.output;
}

/**
 * Parses a JSON object. Throws a MalformedMessageError for any other text.
 *
 * @param parse The parser; by default the standard library's, which rounds integers above 2^53 - 1.
 */
export function parseObject(
	body: string,
	parse: (text: string) => unknown = JSON.parse,
): Record<string, unknown> {
	let raw: unknown;
	try {
		raw = parse(body);
	} catch (error) {
		throw new MalformedMessageError("the body is not JSON", { cause: error });
	}
	if (typeof raw !== "object" || raw === null || Array.isArray(raw)) {
		throw new MalformedMessageError("the body is not a JSON object");
	}
	return raw as Record<string, unknown>;
}
