/**
 * Encodes and decodes the messages between controllers. Versions in production send and expect the `kind` strings
 * and the field names on the wire, so these must not change when types of the service are renamed. Unknown fields
 * are ignored.
 */

import { MalformedMessageError } from "../errors.js";
import { checkShape } from "../schema-checks.js";
import {
	decodeForwardedHeartbeats,
	decodeForwardedResponses,
	encodeForwardedHeartbeats,
	encodeForwardedResponses,
	ForwardedHeartbeatsSchema,
	ForwardedResponsesSchema,
} from "./forwarding-wire.js";
import {
	decodeLeaderHeartbeat,
	decodeLeaderHeartbeatReply,
	encodeLeaderHeartbeat,
	encodeLeaderHeartbeatReply,
	LeaderHeartbeatReplySchema,
	LeaderHeartbeatSchema,
} from "./leader-heartbeat-wire.js";
import {
	decodeLeaderQuery,
	decodeLeaderQueryReply,
	decodeLeaseExtensionRequest,
	decodeLeaseExtensionVote,
	encodeLeaderQuery,
	encodeLeaderQueryReply,
	encodeLeaseExtensionRequest,
	encodeLeaseExtensionVote,
	LeaderQueryReplySchema,
	LeaderQuerySchema,
	LeaseExtensionRequestSchema,
	LeaseExtensionVoteSchema,
} from "./leadership-wire.js";
import type { PeerMessage } from "./messages.js";
import {
	decodePlacementProposal,
	decodePlacementRequest,
	encodePlacementProposal,
	encodePlacementRequest,
	PlacementProposalSchema,
	PlacementRequestSchema,
} from "./placement-wire.js";

/** Decoders by the kind on the wire. */
const decoders: Readonly<Record<string, (raw: unknown) => PeerMessage>> = {
	view: (raw) => decodePlacementRequest(checkShape(PlacementRequestSchema, raw)),
	placed: (raw) => decodePlacementProposal(checkShape(PlacementProposalSchema, raw)),
	running: (raw) => decodeLeaderHeartbeat(checkShape(LeaderHeartbeatSchema, raw)),
	pong: (raw) => decodeLeaderHeartbeatReply(checkShape(LeaderHeartbeatReplySchema, raw)),
	reports: (raw) => decodeForwardedHeartbeats(checkShape(ForwardedHeartbeatsSchema, raw)),
	answers: (raw) => decodeForwardedResponses(checkShape(ForwardedResponsesSchema, raw)),
	ask: (raw) => decodeLeaseExtensionRequest(checkShape(LeaseExtensionRequestSchema, raw)),
	promise: (raw) => decodeLeaseExtensionVote(checkShape(LeaseExtensionVoteSchema, raw)),
	who: (raw) => decodeLeaderQuery(checkShape(LeaderQuerySchema, raw)),
	leading: (raw) => decodeLeaderQueryReply(checkShape(LeaderQueryReplySchema, raw)),
};

/** The maximum number of characters of an unknown kind that are logged. */
const maxLoggedKindLength = 40;

/**
 * Returns the kind of a message on the wire for logs, cut to the maximum length; "none" if the message has no kind.
 */
export function wireKind(raw: unknown): string {
	const kind = (raw as { kind?: unknown } | null)?.kind;
	return typeof kind === "string" ? kind.slice(0, maxLoggedKindLength) : "none";
}

/**
 * Decodes a message. Throws a MalformedMessageError for an unknown kind, and for a message that does not have the
 * form of its kind.
 */
export function decodePeerMessage(raw: unknown): PeerMessage {
	const kind = wireKind(raw);
	const decode = Object.hasOwn(decoders, kind) ? decoders[kind] : undefined;
	if (!decode) throw new MalformedMessageError(`no such kind of message: ${kind}`);
	return decode(raw);
}

/** Encodes a message. */
export function encodePeerMessage(message: PeerMessage): object {
	switch (message.kind) {
		case "placement-request":
			return encodePlacementRequest(message);
		case "placement-proposal":
			return encodePlacementProposal(message);
		case "leader-heartbeat":
			return encodeLeaderHeartbeat(message);
		case "leader-heartbeat-reply":
			return encodeLeaderHeartbeatReply(message);
		case "forwarded-heartbeats":
			return encodeForwardedHeartbeats(message);
		case "forwarded-responses":
			return encodeForwardedResponses(message);
		case "lease-extension-request":
			return encodeLeaseExtensionRequest(message);
		case "lease-extension-vote":
			return encodeLeaseExtensionVote(message);
		case "leader-query":
			return encodeLeaderQuery(message);
		case "leader-query-reply":
			return encodeLeaderQueryReply(message);
	}
}
