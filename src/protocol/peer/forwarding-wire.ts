/**
 * Forwarded heartbeats (`reports` on the wire) and the responses to them (`answers`).
 *
 * Controllers exchange hundreds of them per second. Heartbeats are therefore encoded as rows without field names,
 * and rows and commands are checked by hand-written code.
 */

import * as v from "valibot";
import type { AgentEpoch, AttemptNumber, FencingToken, HeartbeatSequence } from "../model/identifiers.js";
import { toUint64, toUint64OrRounded, type Uint64 } from "../model/uint64.js";
import type { ExitCause, TaskState, TaskStatus, WorkerCommand, WorkerHeartbeat } from "../model/worker.js";
import { nonNegativeInteger } from "../schema-checks.js";
import type { ForwardedHeartbeats, ForwardedResponses } from "./messages.js";
import { decodeIncarnation, encodeIncarnation, incarnation, term } from "./wire-fields.js";

type HeartbeatRow = [
	machineId: string,
	endpoint: string,
	machineType: string,
	zone: string,
	spot: boolean,
	agentEpoch: AgentEpoch,
	sequence: HeartbeatSequence,
	fencingToken: FencingToken,
	reclaimInS: number | null,
	tasks: TaskRow[],
];

type TaskRow = [
	jobId: string,
	taskIndex: number,
	attempt: AttemptNumber,
	state: number,
	exitCause: number,
	checkpointed: boolean,
];

/** A command to a worker on the wire between controllers. */
type WireCommand =
	| { op: "start" | "forget"; job: string; index: number; attempt: AttemptNumber }
	| { op: "stop"; job: string; index: number; attempt: AttemptNumber; graceS: number };

/**
 * On the wire, states and causes are encoded as indexes into these lists. Versions in production rely on this
 * order, so it must not change.
 */
const states: readonly TaskState[] = ["fetching", "running", "checkpointing", "exited"];
const exitCauses: readonly ExitCause[] = ["done", "stopped", "error", "no_room", "busy", "unknown"];
const noExitCause = -1;

function encodeTask({ jobId, taskIndex, attempt, state, exitCause, checkpointed }: TaskStatus): TaskRow {
	const cause = exitCause === null ? noExitCause : exitCauses.indexOf(exitCause);
	return [jobId, taskIndex, attempt, states.indexOf(state), cause, checkpointed];
}

function decodeTask([jobId, taskIndex, attempt, state, cause, checkpointed]: TaskRow): TaskStatus {
	return {
		jobId,
		taskIndex,
		attempt: decodeAttempt(attempt),
		state: states[state] as TaskState,
		exitCause: exitCauses[cause] ?? null,
		checkpointed,
	};
}

/** Encodes a worker's heartbeat as a row. */
export function encodeHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatRow {
	return [
		heartbeat.machineId,
		heartbeat.endpoint,
		heartbeat.machineType,
		heartbeat.zone,
		heartbeat.spot,
		heartbeat.agentEpoch,
		heartbeat.sequence,
		heartbeat.fencingToken,
		heartbeat.reclaimInS,
		heartbeat.tasks.map(encodeTask),
	];
}

/** Decodes a row that was checked by its schema. */
export function decodeHeartbeat(row: HeartbeatRow): WorkerHeartbeat {
	const [
		machineId,
		endpoint,
		machineType,
		zone,
		spot,
		agentEpoch,
		sequence,
		fencingToken,
		reclaimInS,
		tasks,
	] = row;
	return {
		machineId,
		endpoint,
		machineType,
		zone,
		spot,
		agentEpoch: decodeUint64(agentEpoch),
		sequence: decodeUint64(sequence),
		fencingToken: decodeUint64(fencingToken),
		reclaimInS,
		tasks: tasks.map(decodeTask),
	};
}

function encodeCommand(command: WorkerCommand): WireCommand {
	const { kind, jobId, taskIndex, attempt } = command;
	if (kind !== "stop") return { op: kind, job: jobId, index: taskIndex, attempt };
	return { op: kind, job: jobId, index: taskIndex, attempt, graceS: command.graceS };
}

function decodeCommand(wire: WireCommand): WorkerCommand {
	const { op, job, index } = wire;
	const attempt = decodeAttempt(wire.attempt);
	if (op !== "stop") return { kind: op, jobId: job, taskIndex: index, attempt };
	return { kind: op, jobId: job, taskIndex: index, attempt, graceS: wire.graceS };
}

const isText = (value: unknown): boolean => typeof value === "string" && value !== "";
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;
const isUint64 = (value: unknown): boolean => toUint64(value) !== null;
const isAttempt = (value: unknown): boolean => toUint64OrRounded(value) !== null;

/** Returns a checked integer in its one form. */
function decodeUint64(value: Uint64): Uint64 {
	return toUint64(value) ?? value;
}

/** Returns a checked attempt number in its one form. */
function decodeAttempt(value: AttemptNumber): AttemptNumber {
	return toUint64OrRounded(value) ?? value;
}

function isTaskRow(raw: unknown): boolean {
	if (!Array.isArray(raw)) return false;
	const [jobId, taskIndex, attempt, state, cause, checkpointed] = raw;
	return (
		isText(jobId) &&
		isCount(taskIndex) &&
		isAttempt(attempt) &&
		states[state] !== undefined &&
		Number.isInteger(cause) &&
		typeof checkpointed === "boolean"
	);
}

function isHeartbeatRow(raw: unknown): raw is HeartbeatRow {
	if (!Array.isArray(raw)) return false;
	const [
		machineId,
		endpoint,
		machineType,
		zone,
		spot,
		agentEpoch,
		sequence,
		fencingToken,
		reclaimInS,
		tasks,
	] = raw;
	return (
		[machineId, endpoint, machineType, zone].every(isText) &&
		typeof spot === "boolean" &&
		[agentEpoch, sequence, fencingToken].every(isUint64) &&
		(reclaimInS === null || Number.isFinite(reclaimInS)) &&
		Array.isArray(tasks) &&
		tasks.every(isTaskRow)
	);
}

function isWireCommand(raw: unknown): raw is WireCommand {
	if (typeof raw !== "object" || raw === null) return false;
	const command = raw as Record<string, unknown>;
	if (!isText(command.job) || !isCount(command.index) || !isAttempt(command.attempt)) return false;
	if (command.op === "stop") return Number.isFinite(command.graceS);
	return command.op === "start" || command.op === "forget";
}

/** Forwarded heartbeats on the wire. */
export const ForwardedHeartbeatsSchema = v.object({
	kind: v.literal("reports"),
	epoch: term,
	process: incarnation,
	reports: v.array(v.tuple([nonNegativeInteger, v.custom<HeartbeatRow>(isHeartbeatRow, "must be a report")])),
});

/** Responses to forwarded heartbeats on the wire. */
export const ForwardedResponsesSchema = v.object({
	kind: v.literal("answers"),
	epoch: term,
	process: incarnation,
	answers: v.array(
		v.tuple([
			nonNegativeInteger,
			v.nullable(v.array(v.custom<WireCommand>(isWireCommand, "must be an order"))),
		]),
	),
});

/** Encodes forwarded heartbeats. */
export function encodeForwardedHeartbeats(
	message: ForwardedHeartbeats,
): v.InferInput<typeof ForwardedHeartbeatsSchema> {
	return {
		kind: "reports",
		epoch: message.term,
		...encodeIncarnation(message.incarnation),
		reports: message.heartbeats.map(({ requestId, heartbeat }) => [requestId, encodeHeartbeat(heartbeat)]),
	};
}

/** Decodes forwarded heartbeats that were checked by their schema. */
export function decodeForwardedHeartbeats(
	wire: v.InferOutput<typeof ForwardedHeartbeatsSchema>,
): ForwardedHeartbeats {
	return {
		kind: "forwarded-heartbeats",
		term: wire.epoch,
		...decodeIncarnation(wire.process),
		heartbeats: wire.reports.map(([requestId, row]) => ({ requestId, heartbeat: decodeHeartbeat(row) })),
	};
}

/** Encodes responses to forwarded heartbeats. */
export function encodeForwardedResponses(
	message: ForwardedResponses,
): v.InferInput<typeof ForwardedResponsesSchema> {
	return {
		kind: "answers",
		epoch: message.term,
		...encodeIncarnation(message.incarnation),
		answers: message.responses.map(({ requestId, commands }) => [
			requestId,
			commands?.map(encodeCommand) ?? null,
		]),
	};
}

/** Decodes responses to forwarded heartbeats that were checked by their schema. */
export function decodeForwardedResponses(
	wire: v.InferOutput<typeof ForwardedResponsesSchema>,
): ForwardedResponses {
	return {
		kind: "forwarded-responses",
		term: wire.epoch,
		...decodeIncarnation(wire.process),
		responses: wire.answers.map(([requestId, commands]) => ({
			requestId,
			commands: commands?.map(decodeCommand) ?? null,
		})),
	};
}
