/** The schema of integers from 0 to 2^64 - 1, for the parsers of data from outside this process. */

import * as v from "valibot";
import { toUint64, type Uint64, uint64Of } from "./uint64.js";

/** An integer from 0 to 2^64 - 1, from JSON that was parsed exactly or from a message of this version. */
export const uint64 = v.pipe(
	v.custom<Uint64>((input) => toUint64(input) !== null, "must be a whole number below 2^64"),
	v.transform((value): Uint64 => (typeof value === "number" ? value : uint64Of(value))),
);
