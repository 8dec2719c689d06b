/** The error of a failed call to an outside system. */

import { RamphubError } from "../../protocol/errors.js";

/**
 * The effect of a failed call:
 *
 * - `not executed`: the call was certainly not executed (status 429 or 503, no connection);
 * - `unknown`: there was no usable response; the call may have been executed, or may be executed later;
 * - `rejected`: the other side rejects the call and would reject a retry too (status 400, 404, 410).
 */
export type CallOutcome = "not executed" | "unknown" | "rejected";

/** The error of a failed call to the store, the cloud or a worker. */
export class CallError extends RamphubError {
	/**
	 * @param outcome The effect of the call.
	 * @param status The HTTP status of the response; 0: there was no response.
	 * @param message The call and the cause of its failure.
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
