/** Values of counters at which a representation as a 32-bit integer or as a number ends. */

import type { Uint64 } from "../../src/protocol/model/uint64.js";

/** Name and value. */
export const largeCounters: readonly [name: string, value: Uint64][] = [
	["2^31", 2 ** 31],
	["2^53 - 1", 2 ** 53 - 1],
	["2^53", 2n ** 53n],
	["2^53 + 1, which no number can represent", 2n ** 53n + 1n],
	["2^64 - 1", 2n ** 64n - 1n],
];
