import type { Grant, Placement, ViewMachine } from "../coordination/placing.js";

/** What controllers say to each other over the back link. */
export type PeerMessage =
	/** Leader to placer: what is free and what may be started; also a sign of life. */
	| { kind: "view"; epoch: number; cycle: number; start: number; machines: ViewMachine[]; grants: Grant[] }
	/** Placer to leader. */
	| { kind: "placed"; epoch: number; cycle: number; placements: Placement[] }
	/** Leader to all, now and then: tasks running by job, for display. */
	| { kind: "running"; epoch: number; counts: [string, number][] }
	| { kind: "ping"; epoch: number }
	| { kind: "pong"; epoch: number };

export function asPeerMessage(raw: unknown): PeerMessage | null {
	if (typeof raw !== "object" || raw === null) return null;
	const message = raw as PeerMessage;
	if (typeof message.kind !== "string" || typeof message.epoch !== "number") return null;
	return message;
}
