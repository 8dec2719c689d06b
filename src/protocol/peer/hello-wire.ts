/**
 * The first message on a connection between controllers, by which the one that connected names itself. It comes
 * before all messages of `messages.ts` and is no part of them.
 */

import type { NodeId } from "../model/identifiers.js";

/** The first message on a connection, on the wire. */
export function encodeHello(node: NodeId): object {
	return { hello: node };
}

/** Reads which controller has connected; null: the message is not of that form. */
export function decodeHello(raw: unknown): NodeId | null {
	const hello = (raw as { hello?: unknown } | null | undefined)?.hello;
	return typeof hello === "string" ? hello : null;
}
