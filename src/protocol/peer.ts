import type { Grant, Placement, ViewMachine } from "../coordination/placing.js";

/** What controllers say to each other over the back link. */
export type PeerMessage =
	/** Leader to placer: what is free and what may be started; also a sign of life. */
	| { kind: "view"; epoch: number; cycle: number; start: number; machines: ViewMachine[]; grants: Grant[] }
	/** Placer to leader; `unknown`: jobs that its own copy of the store lacks. */
	| { kind: "placed"; epoch: number; cycle: number; placements: Placement[]; unknown: string[] }
	/**
	 * Leader to all, now and then: tasks running by job, for display; answered by a sign of life.
	 * `served`: the store answers the leader; `hearing`: most workers reach it.
	 */
	| { kind: "running"; epoch: number; counts: [string, number][]; served: boolean; hearing: boolean }
	/** Leader to all, while the store refuses it: are you refused too, and will you not campaign for a while? */
	| { kind: "ask"; epoch: number; number: number }
	| { kind: "promise"; epoch: number; number: number }
	/** A node that has just started, to all: does anyone lead? */
	| { kind: "who"; epoch: number; asker: string }
	/** Names the process that asked, so that late copies of answers to an earlier one are known. */
	| { kind: "leading"; epoch: number; leading: boolean; asker: string }
	/** `strays`: machines whose reports came to this node of late, although it does not lead. */
	| { kind: "pong"; epoch: number; strays: number };

export function asPeerMessage(raw: unknown): PeerMessage | null {
	if (typeof raw !== "object" || raw === null) return null;
	const message = raw as PeerMessage;
	if (typeof message.kind !== "string" || typeof message.epoch !== "number") return null;
	return message;
}
