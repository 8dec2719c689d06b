/** The numbers of attempts, which are unique in the cluster. */

import type { Term } from "../../protocol/model/identifiers.js";

/** Size of the range of attempt numbers of one term. Numbers are exact integers for terms below 2^31. */
export const attemptsPerTerm = 2 ** 22;

/**
 * Owns the attempt numbers of one term: the term times 2^22 plus a counter. Later terms thus have larger numbers,
 * and of two attempts of a task that heartbeats list, the one with the larger number is the later one ("a late copy
 * that lists an earlier attempt does not replace the later attempt of the task" in
 * tests/coordination/workers/heartbeat-reconciliation.test.ts).
 */
export class AttemptNumbers {
	#count = 0;

	constructor(private readonly term: Term) {}

	/** True if the range is used up: the leader must resign, and the next term has a new range. */
	get exhausted(): boolean {
		return this.#count >= attemptsPerTerm - 1;
	}

	/** Returns the next number. */
	next(): number {
		this.#count += 1;
		return this.term * attemptsPerTerm + this.#count;
	}
}
