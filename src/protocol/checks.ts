import * as v from "valibot";
import { MalformedMessageError } from "./errors.js";

/** Checks shared by the parsers of everything that comes from outside this process. */

const finite = v.pipe(v.number("must be a number"), v.finite("must be finite"));

export const positive = v.pipe(finite, v.gtValue(0, "must be above 0"));

export const amount = v.pipe(finite, v.minValue(0, "must not be negative"));

export const count = v.pipe(
	v.number("must be a number"),
	v.safeInteger("must be a whole number"),
	v.minValue(0, "must not be negative"),
);

export const name = v.pipe(
	v.string("must be a string"),
	v.nonEmpty("must not be empty"),
	v.maxLength(200, "must have at most 200 characters"),
);

export const flag = v.boolean("must be true or false");

/** A field that may be null may also be left out. */
export const orNull = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

function firstIssue(issues: [v.BaseIssue<unknown>, ...v.BaseIssue<unknown>[]]): string {
	const issue = issues[0];
	const path = v.getDotPath(issue);
	const missing = issue.input === undefined && path;
	return path ? `field "${path}" ${missing ? "is missing" : issue.message}` : issue.message;
}

/** The input in the schema's form, or a MalformedMessageError that names the first fault. */
export function checkShape<T extends v.GenericSchema>(schema: T, input: unknown): v.InferOutput<T> {
	const result = v.safeParse(schema, input, { abortEarly: true });
	if (!result.success) throw new MalformedMessageError(firstIssue(result.issues));
	return result.output;
}

/** A body that must be a JSON object. */
export function parseObject(body: string): Record<string, unknown> {
	let raw: unknown;
	try {
		raw = JSON.parse(body);
	} catch {
		throw new MalformedMessageError("the body is not JSON");
	}
	if (typeof raw !== "object" || raw === null || Array.isArray(raw)) {
		throw new MalformedMessageError("the body is not a JSON object");
	}
	return raw as Record<string, unknown>;
}
