/** JSON with exact integers. The functions of the standard library round integers above 2^53 - 1 and cannot write them. */

import { parse, stringify } from "lossless-json";

/** Matches every integer above 2^53 - 1, and some other runs of digits. */
const largeInteger = /[1-9]\d{16}|9\d{15}/;

const onlyDigits = /^\d+$/;

function readNumber(text: string): number | bigint {
	const value = Number(text);
	const isRounded = value > Number.MAX_SAFE_INTEGER && onlyDigits.test(text);
	return isRounded ? BigInt(text) : value;
}

/**
 * Parses JSON; integers above 2^53 - 1 become bigints. Throws an error for any other text. Like the parser of the
 * standard library, it takes the last of several fields of one name.
 */
export function parseExactJson(text: string): unknown {
	return parse(text, null, { parseNumber: readNumber, onDuplicateKey: ({ newValue }) => newValue });
}

/** Like `parseExactJson`, at the cost of the standard library's parser for texts without large integers. */
export function parseJson(text: string): unknown {
	return largeInteger.test(text) ? parseExactJson(text) : JSON.parse(text);
}

/** Returns the JSON text of a value, which may contain bigints. */
export function stringifyJson(value: unknown): string {
	try {
		return JSON.stringify(value);
	} catch (error) {
		// The standard library does not write bigints.
		const text = error instanceof TypeError ? stringify(value) : undefined;
		if (text === undefined) throw error;
		return text;
	}
}
