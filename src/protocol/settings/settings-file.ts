/** Reads and validates settings files. Errors name the file and the field. */

import { readFileSync } from "node:fs";
import * as v from "valibot";
import { SettingsError } from "../errors.js";

/** Reads a settings file as text. Throws a SettingsError that names the file. */
export function readSettingsFile(file: string): string {
	try {
		return readFileSync(file, "utf8");
	} catch (error) {
		const reason = (error as NodeJS.ErrnoException).code ?? error;
		throw new SettingsError(`${file}: cannot be read (${reason})`, { cause: error });
	}
}

/**
 * Validates the settings and returns them in the schema's output form. Throws a SettingsError that names the first
 * invalid field.
 */
export function checkSettings<T extends v.GenericSchema>(
	file: string,
	schema: T,
	input: unknown,
): v.InferOutput<T> {
	const result = v.safeParse(schema, input, { abortEarly: true });
	if (result.success) return result.output;
	const issue = result.issues[0];
	const path = v.getDotPath(issue);
	if (path) throw fieldError(file, path, issue.message);
	throw new SettingsError(`${file}: top level: ${issue.message}`);
}

/** Returns the error for a field that is invalid, or inconsistent with another field. */
export function fieldError(file: string, field: string, fault: string): SettingsError {
	return new SettingsError(`${file}: field "${field}": ${fault}`);
}

/**
 * Returns the error for a file that does not have the expected format. It contains only the first line of the
 * parser's message, because the other lines are of no use.
 */
export function formatError(file: string, format: "TOML" | "YAML", error: unknown): SettingsError {
	const message = error instanceof Error ? error.message : String(error);
	return new SettingsError(`${file}: not ${format}: ${message.split("\n")[0]}`, { cause: error });
}
