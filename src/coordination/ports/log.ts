/** The logger as coordination uses it. */

/**
 * A structured logger. The message is a constant string that names the event; all variable data goes into the
 * fields, whose names are in camel case with units. An error is passed as the error object, in the field `err`.
 */
export interface Log {
	/** Logs a fault that an operator should look at. */
	error(fields: object, message: string): void;
	/** Logs a change of leadership, of a machine or of a job; each once, with its reason. */
	info(fields: object, message: string): void;
	/** Logs decisions, failed calls and refused requests. */
	debug(fields: object, message: string): void;
}
