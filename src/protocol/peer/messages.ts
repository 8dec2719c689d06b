import * as v from "valibot";
import { checkShape, count, MalformedMessageError, name } from "../checks.js";
import type { Order } from "../model.js";
import { isOrder, isPackedReport, type PackedReport } from "./packed-heartbeat.js";
import {
	type Grant,
	GrantSchema,
	type Placement,
	PlacementSchema,
	type ViewMachine,
	ViewMachineSchema,
} from "./placement.js";

/**
 * Messages between controllers. The strings in `kind` and the field names are what versions in
 * production send and expect: they stay as they are, whatever the types here are called.
 */

/** Leader to placer: free machines, and how many tasks of each job may start. */
export interface PlacementRequest {
	kind: "view";
	epoch: number;
	cycle: number;
	/** Index of the machine at which this placer begins. */
	start: number;
	machines: ViewMachine[];
	grants: Grant[];
	/** Team quota's own message to the holder; checked by the package. Left out where it is off. */
	quota?: unknown;
}

/** Placer to leader. */
export interface PlacementProposal {
	kind: "placed";
	epoch: number;
	cycle: number;
	placements: Placement[];
	/** Granted jobs that the placer's own copy of the store lacks. */
	unknown: string[];
	/** Team quota's reply, with the batch of admissions that the placements are. */
	quota?: unknown;
}

/** Leader to all, twice a second. */
export interface LeaderHeartbeat {
	kind: "running";
	epoch: number;
	/** Tasks running, by job: shown to users by every node. */
	counts: [job: string, running: number][];
	/** The store answers the leader. */
	served: boolean;
	/** Most workers reach the leader. */
	hearing: boolean;
	/** Reports may be received by every node and are to be forwarded to the leader. */
	relay: boolean;
	/** As in a placement request. */
	quota?: unknown;
}

/** Answer to a heartbeat, and sent unasked by a node to which the leader's workers turn. */
export interface HeartbeatReply {
	kind: "pong";
	epoch: number;
	/** Machines whose reports came to this node lately although it does not lead. */
	strays: number;
	/** This node serves standing jobs; left out by versions before 0.5.0. */
	standing?: boolean | undefined;
	/** Team quota's reply; left out by versions before 0.8.0 and where it is off. */
	quota?: unknown;
}

/** Node to leader: workers' reports, each with a number of the sender's. */
export interface ForwardedReports {
	kind: "reports";
	epoch: number;
	reports: [number: number, report: PackedReport][];
}

/** Leader to forwarding node: what to answer; null: this leader may not answer. */
export interface ForwardedAnswers {
	kind: "answers";
	epoch: number;
	answers: [number: number, orders: Order[] | null][];
}

/** Leader to all while the store refuses it: are you refused too, and will you not campaign for a while? */
export interface PromiseRequest {
	kind: "ask";
	epoch: number;
	number: number;
	/** Epoch up to which the leader knows the store; left out by versions before 0.4.0. */
	known?: number | undefined;
}

/** The answer of a node that will not campaign for the length of a lease. */
export interface CampaignPromise {
	kind: "promise";
	epoch: number;
	number: number;
	/**
	 * Every cancellation after the leader's epoch that this node can have told a user of; left out
	 * by one that cannot say, such as a version before 0.4.0.
	 */
	cancelled?: Cancellation[] | undefined;
}

/** A node that has just started, to all: do you lead? */
export interface LeaderQuery {
	kind: "who";
	epoch: number;
	asker: string;
}

export interface LeaderQueryReply {
	kind: "leading";
	epoch: number;
	leading: boolean;
	/** The process that asked, so that late copies of answers to an earlier one are known. */
	asker: string;
}

export type Cancellation = [job: string, revision: number, tasks: number, done: number];

export type PeerMessage =
	| PlacementRequest
	| PlacementProposal
	| LeaderHeartbeat
	| HeartbeatReply
	| ForwardedReports
	| ForwardedAnswers
	| PromiseRequest
	| CampaignPromise
	| LeaderQuery
	| LeaderQueryReply;

/** What leadership exchanges with other nodes. */
export type LeadershipMessage = PromiseRequest | CampaignPromise | LeaderQuery | LeaderQueryReply;

const epoch = v.pipe(v.number(), v.integer());
const text = v.pipe(v.string(), v.maxLength(1000));

const schemas = {
	view: v.object({
		kind: v.literal("view"),
		epoch,
		cycle: count,
		start: count,
		machines: v.array(ViewMachineSchema),
		grants: v.array(GrantSchema),
		quota: v.optional(v.unknown()),
	}),
	placed: v.object({
		kind: v.literal("placed"),
		epoch,
		cycle: count,
		placements: v.array(PlacementSchema),
		// The first versions did not say which jobs they lack.
		unknown: v.optional(v.array(v.string()), []),
		quota: v.optional(v.unknown()),
	}),
	running: v.object({
		kind: v.literal("running"),
		epoch,
		counts: v.array(v.tuple([name, count])),
		served: v.boolean(),
		hearing: v.boolean(),
		relay: v.boolean(),
		quota: v.optional(v.unknown()),
	}),
	pong: v.object({
		kind: v.literal("pong"),
		epoch,
		strays: count,
		standing: v.optional(v.boolean()),
		quota: v.optional(v.unknown()),
	}),
	ask: v.object({
		kind: v.literal("ask"),
		epoch,
		number: count,
		known: v.optional(v.pipe(v.number(), v.integer())),
	}),
	promise: v.object({
		kind: v.literal("promise"),
		epoch,
		number: count,
		cancelled: v.optional(v.array(v.tuple([name, count, count, count]))),
	}),
	who: v.object({ kind: v.literal("who"), epoch, asker: text }),
	leading: v.object({ kind: v.literal("leading"), epoch, leading: v.boolean(), asker: text }),
	reports: v.object({
		kind: v.literal("reports"),
		epoch,
		reports: v.array(v.tuple([count, v.custom<PackedReport>(isPackedReport, "must be a report")])),
	}),
	answers: v.object({
		kind: v.literal("answers"),
		epoch,
		answers: v.array(v.tuple([count, v.nullable(v.array(v.custom<Order>(isOrder, "must be an order")))])),
	}),
} satisfies { [K in PeerMessage["kind"]]: v.GenericSchema<unknown, Extract<PeerMessage, { kind: K }>> };

export type PeerMessageKind = PeerMessage["kind"];

/** The kind that a message claims to be of, for logs; whatever it is otherwise. */
export function claimedKind(raw: unknown): string {
	const kind = (raw as { kind?: unknown } | null)?.kind;
	return typeof kind === "string" ? kind.slice(0, 40) : "none";
}

/** Throws a MalformedMessageError for a kind that is not known or a message not of its kind's form. */
export function parsePeerMessage(raw: unknown): PeerMessage {
	const kind = claimedKind(raw);
	if (!Object.hasOwn(schemas, kind)) throw new MalformedMessageError(`no such kind of message: ${kind}`);
	return checkShape<v.GenericSchema<unknown, PeerMessage>>(schemas[kind as PeerMessageKind], raw);
}
