import type { ExitCause, Order, TaskState, WorkerHeartbeat } from "../model.js";

/**
 * Workers' reports, and orders for them, as they pass between controllers: by the hundred a
 * second, so reports go without names of fields and the checks are written by hand.
 */

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
const noCause = -1;

export function packReport(r: WorkerHeartbeat): PackedReport {
	const tasks = r.tasks.map(
		(t): PackedTask => [
			t.jobId,
			t.taskIndex,
			t.attempt,
			states.indexOf(t.state),
			t.exitCause === null ? noCause : causes.indexOf(t.exitCause),
			t.checkpointed,
		],
	);
	return [
		r.machineId,
		r.endpoint,
		r.machineType,
		r.zone,
		r.spot,
		r.agentEpoch,
		r.sequence,
		r.fencingToken,
		r.reclaimInS,
		tasks,
	];
}

export function unpackReport(packed: PackedReport): WorkerHeartbeat {
	const [machine, endpoint, type, zone, spot, session, seq, token, noticeS, tasks] = packed;
	return {
		machineId: machine,
		endpoint,
		machineType: type,
		zone,
		spot,
		agentEpoch: session,
		sequence: seq,
		fencingToken: token,
		reclaimInS: noticeS,
		tasks: tasks.map(([job, index, attempt, state, cause, saved]) => ({
			jobId: job,
			taskIndex: index,
			attempt,
			state: states[state] as TaskState,
			exitCause: causes[cause] ?? null,
			checkpointed: saved,
		})),
	};
}

const isText = (value: unknown): boolean => typeof value === "string" && value !== "";
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;

function isPackedTask(raw: unknown): boolean {
	if (!Array.isArray(raw)) return false;
	const [job, index, attempt, state, cause, saved] = raw;
	return (
		isText(job) &&
		isCount(index) &&
		isCount(attempt) &&
		states[state] !== undefined &&
		Number.isInteger(cause) &&
		typeof saved === "boolean"
	);
}

export function isPackedReport(raw: unknown): raw is PackedReport {
	if (!Array.isArray(raw)) return false;
	const [machine, endpoint, type, zone, spot, session, seq, token, noticeS, tasks] = raw;
	return (
		[machine, endpoint, type, zone].every(isText) &&
		typeof spot === "boolean" &&
		[session, seq, token].every(isCount) &&
		(noticeS === null || Number.isFinite(noticeS)) &&
		Array.isArray(tasks) &&
		tasks.every(isPackedTask)
	);
}

/** Whether it is an order as a controller passes it on for a worker. */
export function isOrder(raw: unknown): raw is Order {
	if (typeof raw !== "object" || raw === null) return false;
	const order = raw as Record<string, unknown>;
	if (!isText(order.job) || !isCount(order.index) || !isCount(order.attempt)) return false;
	if (order.op === "stop") return Number.isFinite(order.graceS);
	return order.op === "start" || order.op === "forget";
}
