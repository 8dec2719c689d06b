/** The numbers of attempts, which are unique in the cluster. */

import type { AttemptNumber, Term } from "../../protocol/model/identifiers.js";
import { uint64Of } from "../../protocol/model/uint64.js";

/** Size of the range of attempt numbers of one term. */
export const attemptsPerTerm = 2 ** 22;

/**
 * From this term on, a term times the size of a range would leave no room below 2^64 for all later terms. The range is
 * then one that the leader has reserved in the store, above all ranges of earlier terms.
 */
const firstTermWithReservedRange = 2 ** 41;

/** True if the leader of the term has to reserve the range of its attempt numbers in the store. */
export function needsReservedRange(term: Term): boolean {
	return term >= firstTermWithReservedRange;
}

/**
 * Owns the attempt numbers of one term: the beginning of its range plus a counter. Later terms have larger numbers, and of
 * two attempts of a task that heartbeats list, the one with the larger number is the later one ("a late copy that lists an
 * earlier attempt does not replace the later attempt of the task" in
 * tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
export class AttemptNumbers {
	/** The number below the first one of the range; null: the range is not reserved yet. */
	#rangeStart: bigint | null;
	#count = 0;

	constructor(term: Term) {
		this.#rangeStart = needsReservedRange(term) ? null : BigInt(term) * BigInt(attemptsPerTerm);
	}

	/** True if the range is known, so that there are numbers. */
	get available(): boolean {
		return this.#rangeStart !== null;
	}

	/** True if the range is used up: the leader must resign, and the next term has a new range. */
	get exhausted(): boolean {
		return this.#count >= attemptsPerTerm - 1;
	}

	/** Sets the range that the leader has reserved, by its index among all reserved ranges. */
	useReservedRange(index: number): void {
		const firstIndex = BigInt(firstTermWithReservedRange);
		this.#rangeStart = (firstIndex + BigInt(index)) * BigInt(attemptsPerTerm);
	}

	/** Returns the next number. Requires a range. */
	next(): AttemptNumber {
		this.#count += 1;
		return uint64Of((this.#rangeStart ?? 0n) + BigInt(this.#count));
	}
}
