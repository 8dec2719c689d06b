/**
 * refused: certainly not executed (503, 429, no connection).
 * unknown: no answer; it may have been executed, or may still be.
 * rejected: the other side says no and will keep saying so (400, 404, 410).
 */

export type FailureKind = "refused" | "unknown" | "rejected";
export class CallFailed extends Error {
	constructor(
		readonly kind: FailureKind,
		readonly status: number,
		message: string,
	) {
		super(message);
	}
}
