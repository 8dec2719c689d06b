/** The ids of the requests that a process sends to a leader. */

import { createHash } from "node:crypto";
import type { Incarnation } from "../../protocol/model/identifiers.js";

/** Size of the number below the first id. It leaves room for 2^52 ids that are exact numbers. */
const startBytes = 6;

/**
 * Consecutive ids that begin at a number derived from the process, so that a process does not reuse the ids of an
 * earlier process of its node. Leaders of versions up to 0.8.0 return the id of a request and not the process.
 */
export class RequestIds {
	private last: number;

	constructor(incarnation: Incarnation) {
		this.last = createHash("sha256").update(incarnation).digest().readUIntBE(0, startBytes);
	}

	/** Returns the next id. */
	next(): number {
		this.last += 1;
		return this.last;
	}
}
