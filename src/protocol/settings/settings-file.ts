/** Reading and checking of settings files, with errors that name the file and the field. */

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

/** Returns the settings in the schema's form. Throws a SettingsError that names the first faulty field. */
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

/** The error for a field that is wrong, or does not go with another one. */
export function fieldError(file: string, field: string, fault: string): SettingsError {
	return new SettingsError(`${file}: field "${field}": ${fault}`);
}

/** The error for a file that is not in its format. Only the first line of what its parser says is of use. */
export function formatError(file: string, format: "TOML" | "YAML", error: unknown): SettingsError {
	const message = error instanceof Error ? error.message : String(error);
	return new SettingsError(`${file}: not ${format}: ${message.split("\n")[0]}`, { cause: error });
}
