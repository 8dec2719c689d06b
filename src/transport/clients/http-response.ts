/** Responses of external systems, and their conversion to results or to errors with a known outcome. */

import { CallError, type CallOutcome } from "../../coordination/ports/call-error.js";
import { MalformedMessageError } from "../../protocol/errors.js";

/** A response whose body has been received completely. */
export interface HttpResponse {
	status: number;
	/** The JSON value of the body; null for an empty body. */
	body: unknown;
}

/** Returns the outcome of a request that was answered with an unexpected status. */
function outcomeOf(status: number): CallOutcome {
	if (status === 429 || status === 503) return "not executed";
	return status >= 500 ? "unknown" : "rejected";
}

/** Throws a CallError unless the response has one of the expected statuses. */
export function expectStatus(response: HttpResponse, operation: string, ...expected: number[]): void {
	const { status } = response;
	if (!expected.includes(status))
		throw new CallError(outcomeOf(status), status, `${operation}: status ${status}`);
}

/**
 * Parses the body of a response. A body that does not have the published form does not show if the request was
 * executed: it counts as a missing response (a CallError with the outcome `unknown`), and no part of it is used.
 * The test is `tests/protocol/http/malformed-responses.test.ts`.
 */
export function parseResponse<T>(response: HttpResponse, operation: string, parse: (body: unknown) => T): T {
	try {
		return parse(response.body);
	} catch (error) {
		if (!(error instanceof MalformedMessageError)) throw error;
		const message = `${operation}: malformed response: ${error.message}`;
		throw new CallError("unknown", response.status, message, { cause: error });
	}
}
