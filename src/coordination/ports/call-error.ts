/** How a call to an outside system fails. */

import { RamphubError } from "../../protocol/errors.js";

/**
 * What a failed call has brought about:
 *
 * - `not executed`: certainly nothing (status 429 or 503, no connection);
 * - `unknown`: no usable answer; it may have been executed, or may still be;
 * - `rejected`: the other side refuses it and will keep refusing it (status 400, 404, 410).
 */
export type CallOutcome = "not executed" | "unknown" | "rejected";

/** A call to the store, the cloud or a worker that failed. */
export class CallError extends RamphubError {
	/**
	 * @param outcome What the call has brought about.
	 * @param status The HTTP status of the answer; 0: there was none.
	 * @param message What was called and how it failed.
	 */
	constructor(
		readonly outcome: CallOutcome,
		readonly status: number,
		message: string,
		options?: ErrorOptions,
	) {
		super(message, options);
	}
}
