import { parseObject } from "../checks.js";
import { MalformedMessageError } from "../errors.js";
import type { JobId } from "../model/identifiers.js";
import type { ExitCause, TaskState, TaskStatus, WorkerCommand, WorkerHeartbeat } from "../model/worker.js";

/** The workers' API: reports, and orders in answers and in direct requests. */

const taskStates: Record<string, TaskState> = {
	pulling: "fetching",
	running: "running",
	flushing: "checkpointing",
	exited: "exited",
};
const causes: Record<string, ExitCause> = {
	done: "done",
	stopped: "stopped",
	error: "error",
	full: "no_room",
	busy: "busy",
	no_such: "unknown",
};

/**
 * Reports come by the dozen a second and from our own machines, so they are
 * checked by hand-written tests of the fields used, not by schema.
 */
export function parseHeartbeat(body: string): WorkerHeartbeat {
	return heartbeatFrom(parseObject(body));
}

function whole(value: unknown, field: string): number {
	if (typeof value !== "number" || !Number.isSafeInteger(value) || value < 0) {
		throw new MalformedMessageError(`field "${field}" must be a whole number`);
	}
	return value;
}

function string(value: unknown, field: string): string {
	if (typeof value !== "string" || value === "" || value.length > 200) {
		throw new MalformedMessageError(`field "${field}" must be a string of 1 to 200 characters`);
	}
	return value;
}

export function parseTaskId(name: string): { jobId: JobId; taskIndex: number } | null {
	const at = name.indexOf("/");
	const index = Number(name.slice(at + 1));
	if (at <= 0 || at === name.length - 1 || !Number.isSafeInteger(index) || index < 0) return null;
	return { jobId: name.slice(0, at), taskIndex: index };
}

function taskFrom(raw: unknown): TaskStatus {
	const item = (raw ?? {}) as Record<string, unknown>;
	const name = parseTaskId(string(item.piece, "pieces.piece"));
	if (!name) throw new MalformedMessageError('field "pieces.piece" must look like "j-000412/3"');
	const state = taskStates[String(item.status)];
	if (!state) throw new MalformedMessageError('field "pieces.status" is not a known state');
	const cause = item.cause === undefined || item.cause === null ? null : causes[String(item.cause)];
	return {
		...name,
		attempt: whole(item.try, "pieces.try"),
		state,
		// A cause we have never heard of still means that the attempt has ended without success.
		exitCause: state === "exited" ? (cause ?? "error") : null,
		checkpointed: item.stored === true,
	};
}

export function heartbeatFrom(raw: Record<string, unknown>): WorkerHeartbeat {
	if (!Array.isArray(raw.pieces)) throw new MalformedMessageError('field "pieces" must be a list');
	const notice = raw.recall_s;
	if (notice !== null && notice !== undefined && (typeof notice !== "number" || !Number.isFinite(notice))) {
		throw new MalformedMessageError('field "recall_s" must be a number or null');
	}
	return {
		machineId: string(raw.host, "host"),
		endpoint: string(raw.endpoint, "endpoint"),
		machineType: string(raw.shape, "shape"),
		zone: string(raw.hall, "hall"),
		spot: raw.loaners === true,
		agentEpoch: whole(raw.shift, "shift"),
		sequence: whole(raw.tick, "tick"),
		fencingToken: whole(raw.baton ?? 0, "baton"),
		reclaimInS: notice ?? null,
		tasks: raw.pieces.map(taskFrom),
	};
}

function commandBody(command: WorkerCommand) {
	const piece = `${command.jobId}/${command.taskIndex}`;
	switch (command.kind) {
		case "start":
			return { verb: "run", piece, try: command.attempt };
		case "stop":
			return { verb: "halt", piece, try: command.attempt, wind_down_s: command.graceS };
		case "forget":
			return { verb: "forget", piece, try: command.attempt };
	}
}

export function heartbeatResponseBody(token: number, commands: WorkerCommand[]) {
	return { baton: token, orders: commands.map(commandBody) };
}

export function directCommandsBody(token: number, session: number, commands: WorkerCommand[]) {
	return { baton: token, shift: session, orders: commands.map(commandBody) };
}

export function redirectBody(node: string | null) {
	return node === null ? {} : { foreman: node };
}
