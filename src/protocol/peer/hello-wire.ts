/**
 * The first message on a connection between controllers, with the name of the controller that opened the
 * connection. It precedes all messages of `messages.ts` and is not one of them.
 */

import type { NodeId } from "../model/identifiers.js";

/** Encodes the first message on a connection. */
export function encodeHello(node: NodeId): object {
	return { hello: node };
}

/**
 * Returns the name of the controller that opened the connection; null: the message does not have the form of a
 * first message.
 */
export function decodeHello(raw: unknown): NodeId | null {
	const hello = (raw as { hello?: unknown } | null | undefined)?.hello;
	return typeof hello === "string" ? hello : null;
}
