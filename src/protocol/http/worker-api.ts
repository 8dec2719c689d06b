/**
 * The workers' API: heartbeats, and the commands in responses to heartbeats and in direct requests.
 *
 * | on the wire | here |
 * | --- | --- |
 * | report | heartbeat |
 * | `host`, `shape`, `hall` | `machineId`, `machineType`, `zone` |
 * | `loaners` | `spot` |
 * | `shift` | `agentEpoch` |
 * | `tick` | `sequence` |
 * | `baton` | `fencingToken` |
 * | `recall_s` | `reclaimInS` |
 * | `pieces` | `tasks` |
 * | `piece` | the task: job and index, as in `j-000412/3` |
 * | `try` | `attempt` |
 * | `status` | `state`: `pulling` is `fetching`, `flushing` is `checkpointing` |
 * | `cause` | `exitCause`: `full` is `no_room`, `no_such` is `unknown` |
 * | `stored` | `checkpointed` |
 * | `orders`, `verb` | commands, `kind`: `run` is `start`, `halt` is `stop` |
 * | `wind_down_s` | `graceS` |
 * | `foreman` | the controller to which a worker is redirected |
 */

import { MalformedMessageError } from "../errors.js";
import { parseExactJson } from "../json.js";
import type { AgentEpoch, FencingToken, JobId, NodeId } from "../model/identifiers.js";
import { toUint64, type Uint64 } from "../model/uint64.js";
import type { ExitCause, TaskState, TaskStatus, WorkerCommand, WorkerHeartbeat } from "../model/worker.js";
import { parseObject } from "../schema-checks.js";

const taskStates: Readonly<Record<string, TaskState>> = {
	pulling: "fetching",
	running: "running",
	flushing: "checkpointing",
	exited: "exited",
};

const exitCauses: Readonly<Record<string, ExitCause>> = {
	done: "done",
	stopped: "stopped",
	error: "error",
	full: "no_room",
	busy: "busy",
	no_such: "unknown",
};

/**
 * The maximum number of tasks that a worker may list, exited ones included: its heartbeats and the commands for them have
 * at most 64 KiB (test: "the largest heartbeat and response ..." in worker-api.test.ts).
 */
export const maxListedTasks = 500;

/** The maximum length of a string in a heartbeat. */
const maxTextLength = 200;

/**
 * Parses the body of a heartbeat. Throws a MalformedMessageError that names the first invalid field.
 *
 * A controller receives hundreds of heartbeats per second, from machines that belong to the service. Hand-written
 * code therefore checks only the fields that are used, at a fraction of a schema's CPU time.
 */
export function parseHeartbeat(body: string): WorkerHeartbeat {
	const raw = parseObject(body);
	return readHeartbeat(hasRoundedInteger(raw) ? parseObject(body, parseExactJson) : raw);
}

/**
 * True if an integer of the heartbeat may have been rounded by the parser of the standard library. Such integers are
 * rare, and the check takes a small fraction of the time that the exact parser takes.
 */
function hasRoundedInteger({ shift, tick, baton, pieces }: Record<string, unknown>): boolean {
	if (isRounded(shift) || isRounded(tick) || isRounded(baton)) return true;
	return Array.isArray(pieces) && pieces.some((piece) => isRounded(piece?.try));
}

function isRounded(value: unknown): boolean {
	return typeof value === "number" && value > Number.MAX_SAFE_INTEGER;
}

/** Parses the response to direct commands, which is the worker's heartbeat after their execution. */
export function parseDirectCommandsResponse(raw: unknown): WorkerHeartbeat {
	return readHeartbeat((raw ?? {}) as Record<string, unknown>);
}

function readHeartbeat(raw: Record<string, unknown>): WorkerHeartbeat {
	if (!Array.isArray(raw.pieces)) throw new MalformedMessageError('field "pieces" must be a list');
	const reclaimInS = readReclaimTime(raw.recall_s);
	return {
		machineId: readText(raw.host, "host"),
		endpoint: readText(raw.endpoint, "endpoint"),
		machineType: readText(raw.shape, "shape"),
		zone: readText(raw.hall, "hall"),
		spot: raw.loaners === true,
		agentEpoch: readCount(raw.shift, "shift"),
		sequence: readCount(raw.tick, "tick"),
		fencingToken: readCount(raw.baton ?? 0, "baton"),
		reclaimInS,
		tasks: raw.pieces.map(readTask),
	};
}

function readCount(value: unknown, field: string): Uint64 {
	const count = toUint64(value);
	if (count === null) throw new MalformedMessageError(`field "${field}" must be a whole number`);
	return count;
}

function readText(value: unknown, field: string): string {
	if (typeof value !== "string" || value === "" || value.length > maxTextLength) {
		throw new MalformedMessageError(`field "${field}" must be a string of 1 to ${maxTextLength} characters`);
	}
	return value;
}

function readReclaimTime(value: unknown): number | null {
	if (value === null || value === undefined) return null;
	if (typeof value !== "number" || !Number.isFinite(value)) {
		throw new MalformedMessageError('field "recall_s" must be a number or null');
	}
	return value;
}

function readTask(raw: unknown): TaskStatus {
	const item = (raw ?? {}) as Record<string, unknown>;
	const task = parseTaskId(readText(item.piece, "pieces.piece"));
	if (!task) throw new MalformedMessageError('field "pieces.piece" must look like "j-000412/3"');
	const state = taskStates[String(item.status)];
	if (!state) throw new MalformedMessageError('field "pieces.status" is not a known state');
	return {
		...task,
		attempt: readCount(item.try, "pieces.try"),
		state,
		exitCause: state === "exited" ? readExitCause(item.cause) : null,
		checkpointed: item.stored === true,
	};
}

/** A missing or unknown cause counts as `error`, because the attempt has ended without success. */
function readExitCause(cause: unknown): ExitCause {
	if (cause === undefined || cause === null) return "error";
	return exitCauses[String(cause)] ?? "error";
}

/** Parses a task id such as `j-000412/3`; null: the text does not have that form. */
function parseTaskId(taskId: string): { jobId: JobId; taskIndex: number } | null {
	const slash = taskId.indexOf("/");
	const taskIndex = Number(taskId.slice(slash + 1));
	if (slash <= 0 || slash === taskId.length - 1) return null;
	if (!Number.isSafeInteger(taskIndex) || taskIndex < 0) return null;
	return { jobId: taskId.slice(0, slash), taskIndex };
}

/** Returns the response body for an accepted heartbeat. */
export function heartbeatResponseBody(fencingToken: FencingToken, commands: WorkerCommand[]) {
	return { baton: fencingToken, orders: commands.map(commandBody) };
}

/** Returns the response body that redirects a worker to another controller; null: to any other controller. */
export function redirectBody(controller: NodeId | null) {
	return controller === null ? {} : { foreman: controller };
}

/** Returns the request body for direct commands to a worker. */
export function directCommandsBody(
	fencingToken: FencingToken,
	agentEpoch: AgentEpoch,
	commands: WorkerCommand[],
) {
	return { baton: fencingToken, shift: agentEpoch, orders: commands.map(commandBody) };
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
