import * as v from "valibot";
import type {
	ExitCause,
	JobSpec,
	JobStatus,
	ListedMachine,
	MachineType,
	Order,
	ReportedTask,
	TaskState,
	WorkerReport,
} from "./model.js";

/** Mapping between wire words and the service's own; checking of what others send. */

export class Malformed extends Error {}

const jobId = v.pipe(v.string("must be a string"), v.regex(/^j-\d{1,18}$/, 'must look like "j-000412"'));
const positive = v.pipe(
	v.number("must be a number"),
	v.finite("must be finite"),
	v.gtValue(0, "must be above 0"),
);
const amount = v.pipe(
	v.number("must be a number"),
	v.finite("must be finite"),
	v.minValue(0, "must not be negative"),
);
const text = v.pipe(
	v.string("must be a string"),
	v.nonEmpty("must not be empty"),
	v.maxLength(200, "must have at most 200 characters"),
);
const flag = v.boolean("must be true or false");
const orNull = <T extends v.GenericSchema>(schema: T) => v.optional(v.nullable(schema), null);

const JobBody = v.object({
	id: jobId,
	lane: text,
	desk: text,
	form: v.picklist(["array", "standing"], 'must be "array" or "standing"'),
	urgency: v.picklist(
		["critical", "urgent", "normal", "best_effort"],
		"must be critical, urgent, normal or best_effort",
	),
	pieces: v.pipe(
		v.number("must be a number"),
		v.integer("must be a whole number"),
		v.minValue(1, "must be at least 1"),
		v.maxValue(100_000, "must be at most 100000"),
	),
	cores: positive,
	accelerators: amount,
	ram_gb: amount,
	shapes: orNull(
		v.pipe(
			v.array(text, "must be a list or null"),
			v.minLength(1, "must not be empty"),
			v.maxLength(100, "must name at most 100 types"),
		),
	),
	hall: orNull(text),
	one_zone: flag,
	spread: flag,
	loaners: flag,
	bundle: text,
	image_gb: amount,
	guess_s: amount,
	bookmark_s: amount,
	bookmark_cost_s: amount,
	due_s: orNull(positive),
});

function firstIssue(issues: [v.BaseIssue<unknown>, ...v.BaseIssue<unknown>[]]): string {
	const issue = issues[0];
	const path = v.getDotPath(issue);
	const missing = issue.input === undefined && path;
	return path ? `field "${path}" ${missing ? "is missing" : issue.message}` : issue.message;
}

function parseObject(body: string): Record<string, unknown> {
	let raw: unknown;
	try {
		raw = JSON.parse(body);
	} catch {
		throw new Malformed("the body is not JSON");
	}
	if (typeof raw !== "object" || raw === null || Array.isArray(raw)) {
		throw new Malformed("the body is not a JSON object");
	}
	return raw as Record<string, unknown>;
}

/** The id of a submission that may be malformed otherwise; null if it has none. */
export function jobIdOf(body: string): string | null {
	try {
		const { id } = JSON.parse(body) as { id?: unknown };
		return v.is(jobId, id) ? id : null;
	} catch {
		return null;
	}
}

export function isJobId(id: string): boolean {
	return v.is(jobId, id);
}

export function parseJob(body: string): JobSpec {
	const result = v.safeParse(JobBody, parseObject(body), { abortEarly: true });
	if (!result.success) throw new Malformed(firstIssue(result.issues));
	const job = result.output;
	if (job.form === "standing" && job.guess_s !== 0)
		throw new Malformed('field "guess_s" must be 0 for a standing job');
	if (job.form !== "standing" && job.guess_s === 0) throw new Malformed('field "guess_s" must be above 0');
	return {
		id: job.id,
		form: job.form,
		lane: job.lane,
		team: job.desk,
		priority: job.urgency,
		tasks: job.pieces,
		cpus: job.cores,
		gpus: job.accelerators,
		memoryGb: job.ram_gb,
		types: job.shapes,
		zone: job.hall,
		oneZone: job.one_zone,
		spread: job.spread,
		spot: job.loaners,
		image: job.bundle,
		imageGb: job.image_gb,
		estimateS: job.guess_s,
		checkpointS: job.bookmark_s,
		saveS: job.bookmark_cost_s,
		deadlineS: job.due_s,
	};
}

export function jobAnswer(id: string, status: JobStatus, counts?: { done: number; running: number }) {
	return counts ? { id, status, ...counts } : { id, status };
}

const taskStates: Record<string, TaskState> = {
	pulling: "fetching",
	running: "running",
	flushing: "saving",
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
export function parseReport(body: string): WorkerReport {
	return reportFrom(parseObject(body));
}

function whole(value: unknown, name: string): number {
	if (typeof value !== "number" || !Number.isSafeInteger(value) || value < 0) {
		throw new Malformed(`field "${name}" must be a whole number`);
	}
	return value;
}

function string(value: unknown, name: string): string {
	if (typeof value !== "string" || value === "" || value.length > 200) {
		throw new Malformed(`field "${name}" must be a string of 1 to 200 characters`);
	}
	return value;
}

export function splitTask(name: string): { job: string; index: number } | null {
	const at = name.indexOf("/");
	const index = Number(name.slice(at + 1));
	if (at <= 0 || at === name.length - 1 || !Number.isSafeInteger(index) || index < 0) return null;
	return { job: name.slice(0, at), index };
}

function taskFrom(raw: unknown): ReportedTask {
	const item = (raw ?? {}) as Record<string, unknown>;
	const name = splitTask(string(item.piece, "pieces.piece"));
	if (!name) throw new Malformed('field "pieces.piece" must look like "j-000412/3"');
	const state = taskStates[String(item.status)];
	if (!state) throw new Malformed('field "pieces.status" is not a known state');
	const cause = item.cause === undefined || item.cause === null ? null : causes[String(item.cause)];
	return {
		...name,
		attempt: whole(item.try, "pieces.try"),
		state,
		// A cause we have never heard of still means that the attempt has ended without success.
		cause: state === "exited" ? (cause ?? "error") : null,
		saved: item.stored === true,
	};
}

export function reportFrom(raw: Record<string, unknown>): WorkerReport {
	if (!Array.isArray(raw.pieces)) throw new Malformed('field "pieces" must be a list');
	const notice = raw.recall_s;
	if (notice !== null && notice !== undefined && (typeof notice !== "number" || !Number.isFinite(notice))) {
		throw new Malformed('field "recall_s" must be a number or null');
	}
	return {
		machine: string(raw.host, "host"),
		endpoint: string(raw.endpoint, "endpoint"),
		type: string(raw.shape, "shape"),
		zone: string(raw.hall, "hall"),
		spot: raw.loaners === true,
		session: whole(raw.shift, "shift"),
		seq: whole(raw.tick, "tick"),
		token: whole(raw.baton ?? 0, "baton"),
		noticeS: notice ?? null,
		tasks: raw.pieces.map(taskFrom),
	};
}

function orderBody(order: Order) {
	const piece = `${order.job}/${order.index}`;
	if (order.op === "start") return { verb: "run", piece, try: order.attempt };
	if (order.op === "stop") return { verb: "halt", piece, try: order.attempt, wind_down_s: order.graceS };
	return { verb: "forget", piece, try: order.attempt };
}

export function ordersBody(token: number, orders: Order[]) {
	return { baton: token, orders: orders.map(orderBody) };
}

export function directOrdersBody(token: number, session: number, orders: Order[]) {
	return { baton: token, shift: session, orders: orders.map(orderBody) };
}

export function elsewhereBody(node: string | null) {
	return node === null ? {} : { foreman: node };
}

// --- cloud ---

const num = (value: unknown, otherwise = 0): number =>
	typeof value === "number" && Number.isFinite(value) ? value : otherwise;
const list = (value: unknown): Record<string, unknown>[] =>
	Array.isArray(value) ? value.filter((x) => typeof x === "object" && x !== null) : [];

export function machineTypesFrom(raw: unknown): MachineType[] {
	return list((raw as { shapes?: unknown })?.shapes).map((item) => ({
		name: String(item.sku),
		cpus: num(item.cores),
		gpus: num(item.accelerators),
		memoryGb: num(item.ram_gb),
		cacheGb: num(item.local_gb),
		fetchGbPerS: num(item.fetch_gb_per_s, 0.1),
		price: num(item.rate),
		spotPrice: num(item.market_price, num(item.rate)),
		bootS: num(item.boot_s, 60),
		zones: Array.isArray(item.halls) ? item.halls.map(String) : [],
	}));
}

export interface RentRequest {
	name: string;
	type: string;
	zone: string;
	spot: boolean;
	count: number;
}

export function rentBody(request: RentRequest) {
	return {
		hire: request.name,
		shape: request.type,
		hall: request.zone,
		loaners: request.spot,
		count: request.count,
	};
}

export function rentedFrom(raw: unknown): string[] {
	const hosts = (raw as { hosts?: unknown })?.hosts;
	return Array.isArray(hosts) ? hosts.map(String) : [];
}

export function isNoCapacity(raw: unknown): boolean {
	return (raw as { error?: unknown } | null)?.error === "no capacity";
}

export function returnBody(machines: string[]) {
	return { hosts: machines };
}

export function listPath(after: string, limit: number): string {
	return `/hosts?${after ? `from=${encodeURIComponent(after)}&` : ""}limit=${limit}`;
}

export function listedFrom(raw: unknown): { machines: ListedMachine[]; more: boolean } {
	const body = raw as { hosts?: unknown; truncated?: unknown };
	return {
		machines: list(body?.hosts).map((item) => ({
			id: String(item.id),
			endpoint: String(item.endpoint ?? ""),
			type: String(item.shape),
			zone: String(item.hall),
			spot: item.loaners === true,
			status: item.status === "booting" || item.status === "failed" ? item.status : "running",
			ageS: num(item.age_s),
		})),
		more: body?.truncated === true,
	};
}

// --- state service ---

export interface StoreRow {
	key: string;
	value: unknown;
	revision: number;
}
export interface StoreCondition {
	key: string;
	revision: number;
}
export type StoreChange = { put: string; value: unknown; lease?: number } | { delete: string };
export interface StoreEvent {
	key: string;
	/** undefined: the key was removed */
	value: unknown;
	revision: number;
}

export function transactionBody(conditions: StoreCondition[], changes: StoreChange[]) {
	const when = conditions.map((c) => ({ key: c.key, stamp: c.revision }));
	if (changes.length === 0) return { when };
	return {
		when,
		// biome-ignore lint/suspicious/noThenProperty: the state service's own word for the changes
		then: changes.map((c) =>
			"put" in c
				? c.lease === undefined
					? { put: c.put, v: c.value }
					: { put: c.put, v: c.value, permit: c.lease }
				: { drop: c.delete },
		),
	};
}

export function rowFrom(raw: unknown): StoreRow {
	const item = raw as Record<string, unknown>;
	return { key: String(item.key), value: item.v, revision: num(item.stamp) };
}

export function rowsFrom(raw: unknown): { rows: StoreRow[]; more: boolean; epoch: number } {
	const body = raw as Record<string, unknown>;
	return {
		rows: list(body.rows).map(rowFrom),
		more: body.truncated === true,
		epoch: num(body.epoch),
	};
}

export function epochFrom(raw: unknown): number {
	return num((raw as { epoch?: unknown })?.epoch, -1);
}

export function failedFrom(raw: unknown): string[] {
	const failed = (raw as { failed?: unknown })?.failed;
	return Array.isArray(failed) ? failed.map(String) : [];
}

export function leaseFrom(raw: unknown): number {
	return num((raw as { permit?: unknown })?.permit, -1);
}

export function eventsFrom(raw: unknown): { events: StoreEvent[]; epoch: number } {
	const body = raw as Record<string, unknown>;
	return {
		events: list(body.events).map((item) =>
			typeof item.put === "string"
				? { key: item.put, value: item.v, revision: num(item.stamp) }
				: { key: String(item.drop), value: undefined, revision: num(item.stamp) },
		),
		epoch: num(body.epoch),
	};
}

export const paths = {
	jobs: "/v1/jobs",
	report: "/v1/report",
	ready: "/ready",
	commands: "/commands",
	machineTypes: "/machine_types",
	machines: "/hosts",
	machinesReturn: "/hosts/return",
	store: "/store",
	transaction: "/multi",
	leases: "/leases",
	watch: "/watch",
} as const;

export function rowsPath(prefix: string, after: string | null, limit: number): string {
	return `${paths.store}?prefix=${prefix}${after === null ? "" : `&from=${after}`}&limit=${limit}`;
}

export function watchPath(prefix: string, from: number, waitMs: number): string {
	return `${paths.watch}?prefix=${prefix}&from=${from}&block_ms=${waitMs}`;
}
