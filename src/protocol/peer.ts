import type { Grant, Placement, ViewMachine } from "../coordination/placing.js";
import type { ExitCause, Order, TaskState, WorkerReport } from "./model.js";

/** What controllers say to each other over the back link. */
export type PeerMessage =
	/** Leader to placer: what is free and what may be started; also a sign of life. */
	| { kind: "view"; epoch: number; cycle: number; start: number; machines: ViewMachine[]; grants: Grant[] }
	/** Placer to leader; `unknown`: jobs that its own copy of the store lacks. */
	| { kind: "placed"; epoch: number; cycle: number; placements: Placement[]; unknown: string[] }
	/**
	 * Leader to all, now and then: tasks running by job, for display; answered by a sign of life.
	 * `served`: the store answers the leader; `hearing`: most workers reach it; `relay`: workers
	 * may stay with whichever node they report to, and their reports are to be passed on.
	 */
	| {
			kind: "running";
			epoch: number;
			counts: [string, number][];
			served: boolean;
			hearing: boolean;
			relay: boolean;
	  }
	/** Relay to leader: reports of workers, each with a number of the relay's. */
	| { kind: "reports"; epoch: number; reports: [number, PackedReport][] }
	/** Leader to relay: what to answer to them; null: this leader may not answer. */
	| { kind: "answers"; epoch: number; answers: [number, Order[] | null][] }
	/**
	 * Leader to all, while the store refuses it: are you refused too, and will you not campaign
	 * for a while? `known`: the epoch up to which the leader knows the store. In the answer,
	 * `cancelled`: every cancellation after that epoch that the promiser can have told a user of;
	 * left out by one that cannot say, such as a version before 0.4.0.
	 */
	| { kind: "ask"; epoch: number; number: number; known?: number }
	| { kind: "promise"; epoch: number; number: number; cancelled?: Cancellation[] }
	/** A node that has just started, to all: does anyone lead? */
	| { kind: "who"; epoch: number; asker: string }
	/** Names the process that asked, so that late copies of answers to an earlier one are known. */
	| { kind: "leading"; epoch: number; leading: boolean; asker: string }
	/**
	 * `standing`: this node serves standing jobs; left out by versions before 0.5.0.
	 * `strays`: machines whose reports came to this node of late, although it does not lead.
	 */
	| { kind: "pong"; epoch: number; strays: number; standing?: boolean };

export type Cancellation = [job: string, revision: number, tasks: number, done: number];

export function asPeerMessage(raw: unknown): PeerMessage | null {
	if (typeof raw !== "object" || raw === null) return null;
	const message = raw as PeerMessage;
	if (typeof message.kind !== "string" || typeof message.epoch !== "number") return null;
	return message;
}

/** Reports pass between controllers by the hundred, so without names of fields. */
export type PackedReport = [
	machine: string,
	endpoint: string,
	type: string,
	zone: string,
	spot: boolean,
	session: number,
	seq: number,
	token: number,
	noticeS: number | null,
	tasks: PackedTask[],
];
type PackedTask = [job: string, index: number, attempt: number, state: number, cause: number, saved: boolean];

const states: TaskState[] = ["fetching", "running", "saving", "exited"];
const causes: ExitCause[] = ["done", "stopped", "error", "no_room", "busy", "unknown"];

export function packReport(r: WorkerReport): PackedReport {
	const tasks = r.tasks.map(
		(t): PackedTask => [
			t.job,
			t.index,
			t.attempt,
			states.indexOf(t.state),
			t.cause === null ? -1 : causes.indexOf(t.cause),
			t.saved,
		],
	);
	return [r.machine, r.endpoint, r.type, r.zone, r.spot, r.session, r.seq, r.token, r.noticeS, tasks];
}

export function unpackReport(packed: PackedReport): WorkerReport {
	const [machine, endpoint, type, zone, spot, session, seq, token, noticeS, tasks] = packed;
	return {
		machine,
		endpoint,
		type,
		zone,
		spot,
		session,
		seq,
		token,
		noticeS,
		tasks: tasks.map(([job, index, attempt, state, cause, saved]) => ({
			job,
			index,
			attempt,
			state: states[state] as TaskState,
			cause: causes[cause] ?? null,
			saved,
		})),
	};
}
