/**
 * Forwarded heartbeats (`reports` on the wire) and the responses to them (`answers`).
 *
 * They pass by the hundred a second, so heartbeats go as rows without field names and the checks of rows and
 * commands are written by hand.
 */

import * as v from "valibot";
import type { ExitCause, TaskState, TaskStatus, WorkerCommand, WorkerHeartbeat } from "../model/worker.js";
import { nonNegativeInteger } from "../schema-checks.js";
import type { ForwardedHeartbeats, ForwardedResponses } from "./messages.js";
import { term } from "./wire-fields.js";

type HeartbeatRow = [
	machineId: string,
	endpoint: string,
	machineType: string,
	zone: string,
	spot: boolean,
	agentEpoch: number,
	sequence: number,
	fencingToken: number,
	reclaimInS: number | null,
	tasks: TaskRow[],
];

type TaskRow = [
	jobId: string,
	taskIndex: number,
	attempt: number,
	state: number,
	exitCause: number,
	checkpointed: boolean,
];

/** A worker's command on the wire between controllers. */
type WireCommand =
	| { op: "start" | "forget"; job: string; index: number; attempt: number }
	| { op: "stop"; job: string; index: number; attempt: number; graceS: number };

/** States and causes stand for their index on the wire: the order is data of the versions in production. */
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
		attempt,
		state: states[state] as TaskState,
		exitCause: exitCauses[cause] ?? null,
		checkpointed,
	};
}

/** Maps a worker's heartbeat to a row. */
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

/** Reads a row that was checked by its schema. */
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
		agentEpoch,
		sequence,
		fencingToken,
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
	const { op, job, index, attempt } = wire;
	if (op !== "stop") return { kind: op, jobId: job, taskIndex: index, attempt };
	return { kind: op, jobId: job, taskIndex: index, attempt, graceS: wire.graceS };
}

const isText = (value: unknown): boolean => typeof value === "string" && value !== "";
const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && (value as number) >= 0;

function isTaskRow(raw: unknown): boolean {
	if (!Array.isArray(raw)) return false;
	const [jobId, taskIndex, attempt, state, cause, checkpointed] = raw;
	return (
		isText(jobId) &&
		isCount(taskIndex) &&
		isCount(attempt) &&
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
		[agentEpoch, sequence, fencingToken].every(isCount) &&
		(reclaimInS === null || Number.isFinite(reclaimInS)) &&
		Array.isArray(tasks) &&
		tasks.every(isTaskRow)
	);
}

function isWireCommand(raw: unknown): raw is WireCommand {
	if (typeof raw !== "object" || raw === null) return false;
	const command = raw as Record<string, unknown>;
	if (!isText(command.job) || !isCount(command.index) || !isCount(command.attempt)) return false;
	if (command.op === "stop") return Number.isFinite(command.graceS);
	return command.op === "start" || command.op === "forget";
}

/** Forwarded heartbeats on the wire. */
export const ForwardedHeartbeatsSchema = v.object({
	kind: v.literal("reports"),
	epoch: term,
	reports: v.array(v.tuple([nonNegativeInteger, v.custom<HeartbeatRow>(isHeartbeatRow, "must be a report")])),
});

/** Responses to forwarded heartbeats on the wire. */
export const ForwardedResponsesSchema = v.object({
	kind: v.literal("answers"),
	epoch: term,
	answers: v.array(
		v.tuple([
			nonNegativeInteger,
			v.nullable(v.array(v.custom<WireCommand>(isWireCommand, "must be an order"))),
		]),
	),
});

/** Maps forwarded heartbeats to the wire. */
export function encodeForwardedHeartbeats(
	message: ForwardedHeartbeats,
): v.InferInput<typeof ForwardedHeartbeatsSchema> {
	return {
		kind: "reports",
		epoch: message.term,
		reports: message.heartbeats.map(({ requestId, heartbeat }) => [requestId, encodeHeartbeat(heartbeat)]),
	};
}

/** Reads forwarded heartbeats that have the form of their schema. */
export function decodeForwardedHeartbeats(
	wire: v.InferOutput<typeof ForwardedHeartbeatsSchema>,
): ForwardedHeartbeats {
	return {
		kind: "forwarded-heartbeats",
		term: wire.epoch,
		heartbeats: wire.reports.map(([requestId, row]) => ({ requestId, heartbeat: decodeHeartbeat(row) })),
	};
}

/** Maps responses to forwarded heartbeats to the wire. */
export function encodeForwardedResponses(
	message: ForwardedResponses,
): v.InferInput<typeof ForwardedResponsesSchema> {
	return {
		kind: "answers",
		epoch: message.term,
		answers: message.responses.map(({ requestId, commands }) => [
			requestId,
			commands?.map(encodeCommand) ?? null,
		]),
	};
}

/** Reads responses to forwarded heartbeats that have the form of their schema. */
export function decodeForwardedResponses(
	wire: v.InferOutput<typeof ForwardedResponsesSchema>,
): ForwardedResponses {
	return {
		kind: "forwarded-responses",
		term: wire.epoch,
		responses: wire.answers.map(([requestId, commands]) => ({
			requestId,
			commands: commands?.map(decodeCommand) ?? null,
		})),
	};
}
