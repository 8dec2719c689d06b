/** What coordination needs of logging. */

/**
 * Structured log lines. The message is a constant string that names the event; all that varies goes into the
 * fields, whose names are in camel case with units. Errors go under `err`, as the error object itself.
 */
export interface Log {
	/** Something is wrong that an operator should look at. */
	error(fields: object, message: string): void;
	/** A change of leadership, of a machine or of a job; each once, with its reason. */
	info(fields: object, message: string): void;
	/** Decisions, failed calls and refused requests. */
	debug(fields: object, message: string): void;
}
