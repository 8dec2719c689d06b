/** Leader heartbeats (`running` on the wire) and their replies (`pong`). */

import * as v from "valibot";
import { name, nonNegativeInteger } from "../schema-checks.js";
import type { LeaderHeartbeat, LeaderHeartbeatReply } from "./messages.js";
import { decodeIncarnation, encodeIncarnation, incarnation, teamQuota, term } from "./wire-fields.js";

/** A leader heartbeat on the wire. */
export const LeaderHeartbeatSchema = v.object({
	kind: v.literal("running"),
	epoch: term,
	counts: v.array(v.tuple([name, nonNegativeInteger])),
	served: v.boolean(),
	hearing: v.boolean(),
	relay: v.boolean(),
	quota: teamQuota,
});

/** The reply to a leader heartbeat on the wire. */
export const LeaderHeartbeatReplySchema = v.object({
	kind: v.literal("pong"),
	epoch: term,
	strays: nonNegativeInteger,
	standing: v.optional(v.boolean()),
	process: incarnation,
	quota: teamQuota,
});

/** Encodes a leader heartbeat. */
export function encodeLeaderHeartbeat(message: LeaderHeartbeat): v.InferInput<typeof LeaderHeartbeatSchema> {
	const { term, runningTasks, storeReachable, workersReachable, forwardHeartbeats, teamQuota } = message;
	return {
		kind: "running",
		epoch: term,
		counts: runningTasks,
		served: storeReachable,
		hearing: workersReachable,
		relay: forwardHeartbeats,
		...(teamQuota !== undefined && { quota: teamQuota }),
	};
}

/** Decodes a leader heartbeat that was checked by its schema. */
export function decodeLeaderHeartbeat(wire: v.InferOutput<typeof LeaderHeartbeatSchema>): LeaderHeartbeat {
	const { epoch, counts, served, hearing, relay, quota } = wire;
	return {
		kind: "leader-heartbeat",
		term: epoch,
		runningTasks: counts,
		storeReachable: served,
		workersReachable: hearing,
		forwardHeartbeats: relay,
		...(quota !== undefined && { teamQuota: quota }),
	};
}

/** Encodes the reply to a leader heartbeat. */
export function encodeLeaderHeartbeatReply(
	message: LeaderHeartbeatReply,
): v.InferInput<typeof LeaderHeartbeatReplySchema> {
	const { term, misdirectedWorkers, supportsServiceJobs, teamQuota } = message;
	return {
		kind: "pong",
		epoch: term,
		strays: misdirectedWorkers,
		...(supportsServiceJobs !== undefined && { standing: supportsServiceJobs }),
		...encodeIncarnation(message.incarnation),
		...(teamQuota !== undefined && { quota: teamQuota }),
	};
}

/** Decodes the reply to a leader heartbeat that was checked by its schema. */
export function decodeLeaderHeartbeatReply(
	wire: v.InferOutput<typeof LeaderHeartbeatReplySchema>,
): LeaderHeartbeatReply {
	const { epoch, strays, standing, quota } = wire;
	return {
		kind: "leader-heartbeat-reply",
		term: epoch,
		misdirectedWorkers: strays,
		...(standing !== undefined && { supportsServiceJobs: standing }),
		...decodeIncarnation(wire.process),
		...(quota !== undefined && { teamQuota: quota }),
	};
}
