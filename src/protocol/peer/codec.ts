/**
 * The edge between the messages that controllers exchange and their form on the wire. The strings in `kind`
 * and the field names on the wire are what versions in production send and expect: they stay as they are,
 * whatever the types of the service are called. Unknown fields are ignored.
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

/** Decoders by the kind that the wire names. */
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

/** Longest part of an unknown kind that is logged. */
const maxLoggedKindLength = 40;

/** The kind that a message claims to have on the wire, for logs. */
export function wireKind(raw: unknown): string {
	const kind = (raw as { kind?: unknown } | null)?.kind;
	return typeof kind === "string" ? kind.slice(0, maxLoggedKindLength) : "none";
}

/** Throws a MalformedMessageError for a kind that is not known or a message that lacks its kind's form. */
export function decodePeerMessage(raw: unknown): PeerMessage {
	const kind = wireKind(raw);
	const decode = Object.hasOwn(decoders, kind) ? decoders[kind] : undefined;
	if (!decode) throw new MalformedMessageError(`no such kind of message: ${kind}`);
	return decode(raw);
}

/** Maps a message to the wire. */
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
