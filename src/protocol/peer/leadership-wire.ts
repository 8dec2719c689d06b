/**
 * Messages of the leadership protocol: lease extension requests (`ask` on the wire) and votes (`promise`), leader queries
 * (`who`) and their replies (`leading`).
 */

import * as v from "valibot";
import { uint64 } from "../model/uint64-schema.js";
import { name, nonNegativeInteger } from "../schema-checks.js";
import type {
	Cancellation,
	LeaderQuery,
	LeaderQueryReply,
	LeaseExtensionRequest,
	LeaseExtensionVote,
} from "./messages.js";
import { shortText, term } from "./wire-fields.js";

/** A lease extension request on the wire. */
export const LeaseExtensionRequestSchema = v.object({
	kind: v.literal("ask"),
	epoch: term,
	number: nonNegativeInteger,
	known: v.optional(uint64),
});

const CancellationSchema = v.tuple([name, uint64, nonNegativeInteger, nonNegativeInteger]);

/** A lease extension vote on the wire. */
export const LeaseExtensionVoteSchema = v.object({
	kind: v.literal("promise"),
	epoch: term,
	number: nonNegativeInteger,
	cancelled: v.optional(v.array(CancellationSchema)),
});

/** A leader query on the wire. */
export const LeaderQuerySchema = v.object({ kind: v.literal("who"), epoch: term, asker: shortText });

/** The reply to a leader query on the wire. */
export const LeaderQueryReplySchema = v.object({
	kind: v.literal("leading"),
	epoch: term,
	leading: v.boolean(),
	asker: shortText,
});

const encodeCancellation = (cancellation: Cancellation): v.InferInput<typeof CancellationSchema> => {
	const { jobId, revision, taskCount, doneCount } = cancellation;
	return [jobId, revision, taskCount, doneCount];
};

const decodeCancellation = ([jobId, revision, taskCount, doneCount]: v.InferOutput<
	typeof CancellationSchema
>): Cancellation => ({ jobId, revision, taskCount, doneCount });

/** Encodes a lease extension request. */
export function encodeLeaseExtensionRequest(
	message: LeaseExtensionRequest,
): v.InferInput<typeof LeaseExtensionRequestSchema> {
	const { term, requestNumber, replicaRevision } = message;
	return {
		kind: "ask",
		epoch: term,
		number: requestNumber,
		...(replicaRevision !== undefined && { known: replicaRevision }),
	};
}

/** Decodes a lease extension request that was checked by its schema. */
export function decodeLeaseExtensionRequest(
	wire: v.InferOutput<typeof LeaseExtensionRequestSchema>,
): LeaseExtensionRequest {
	const { epoch, number, known } = wire;
	return {
		kind: "lease-extension-request",
		term: epoch,
		requestNumber: number,
		...(known !== undefined && { replicaRevision: known }),
	};
}

/** Encodes a lease extension vote. */
export function encodeLeaseExtensionVote(
	message: LeaseExtensionVote,
): v.InferInput<typeof LeaseExtensionVoteSchema> {
	const { term, requestNumber, cancellations } = message;
	return {
		kind: "promise",
		epoch: term,
		number: requestNumber,
		...(cancellations !== undefined && { cancelled: cancellations.map(encodeCancellation) }),
	};
}

/** Decodes a lease extension vote that was checked by its schema. */
export function decodeLeaseExtensionVote(
	wire: v.InferOutput<typeof LeaseExtensionVoteSchema>,
): LeaseExtensionVote {
	const { epoch, number, cancelled } = wire;
	return {
		kind: "lease-extension-vote",
		term: epoch,
		requestNumber: number,
		...(cancelled !== undefined && { cancellations: cancelled.map(decodeCancellation) }),
	};
}

/** Encodes a leader query. */
export function encodeLeaderQuery({
	term,
	incarnation,
}: LeaderQuery): v.InferInput<typeof LeaderQuerySchema> {
	return { kind: "who", epoch: term, asker: incarnation };
}

/** Decodes a leader query that was checked by its schema. */
export function decodeLeaderQuery({ epoch, asker }: v.InferOutput<typeof LeaderQuerySchema>): LeaderQuery {
	return { kind: "leader-query", term: epoch, incarnation: asker };
}

/** Encodes the reply to a leader query. */
export function encodeLeaderQueryReply(
	message: LeaderQueryReply,
): v.InferInput<typeof LeaderQueryReplySchema> {
	const { term, isLeader, incarnation } = message;
	return { kind: "leading", epoch: term, leading: isLeader, asker: incarnation };
}

/** Decodes the reply to a leader query that was checked by its schema. */
export function decodeLeaderQueryReply(wire: v.InferOutput<typeof LeaderQueryReplySchema>): LeaderQueryReply {
	const { epoch, leading, asker } = wire;
	return { kind: "leader-query-reply", term: epoch, isLeader: leading, incarnation: asker };
}
