import { readFileSync } from "node:fs";
import { parse as parseToml } from "smol-toml";
import * as v from "valibot";
import { amount, positive } from "../checks.js";
import { SettingsError } from "../errors.js";
import type { TeamQuota } from "../model/team-quota.js";

/** What the platform hands over in its TOML file. Unknown fields are ignored. */
const count = v.pipe(v.number(), v.integer(), v.minValue(1));
const text = v.pipe(v.string(), v.nonEmpty());
const address = v.pipe(v.string(), v.regex(/^\S+:\d{1,5}$/, "expected an address such as 10.0.0.1:8080"));

/** 0 stands for none: a team with no limit, such as a guest team, may use whatever is idle. */
const limit = v.pipe(
	amount,
	v.transform((most) => (most === 0 ? Number.POSITIVE_INFINITY : most)),
);

/** A team's guarantee and limit, as `TeamQuota` has them. */
const Team = v.pipe(
	v.object({
		name: text,
		cpus: amount,
		cpus_max: limit,
		gpus: v.optional(amount, 0),
		gpus_max: v.optional(limit, 0),
	}),
	v.transform(
		({ name, cpus, cpus_max, gpus, gpus_max }): TeamQuota => ({
			name,
			guaranteed: { cpus, gpus },
			limit: { cpus: cpus_max, gpus: gpus_max },
		}),
	),
);

const ServiceLevelObjective = v.object({
	kind: v.string(),
	class: v.optional(v.string()),
	within_s: v.optional(v.number()),
	share: v.optional(v.number()),
	times: v.optional(v.number()),
});

const limits = { rps: positive, write_rps: positive, value_kb: positive, txn_ops: count };

const Platform = v.object({
	node: text,
	domain: text,
	front: address,
	back: address,
	others: v.optional(v.array(v.object({ node: text, domain: text, addr: address })), []),
	endpoints: v.object({ cloud: address, state: address }),
	cluster: v.object({
		nodes: v.optional(count),
		zones: v.optional(v.array(text), []),
		clock_off_ms: v.optional(amount, 0),
		teams: v.optional(v.array(Team), []),
		objectives: v.optional(v.array(ServiceLevelObjective), []),
		workers: v.object({
			report_s: positive,
			lease_s: positive,
			cancel_s: positive,
		}),
		state: v.object({
			...limits,
			/** Limits that come at some moment, without notice. */
			next: v.optional(v.partial(v.object(limits)), {}),
		}),
		cloud: v.object({ rps: positive, list_lag_s: amount }),
		resources: v.optional(
			v.object({
				cores: v.optional(positive),
				ram_mb: v.optional(positive),
				fd_limit: v.optional(count, 1000),
			}),
			{},
		),
	}),
});

export type PlatformSettings = v.InferOutput<typeof Platform>;

export type ServiceLevelObjective = v.InferOutput<typeof ServiceLevelObjective>;

/** A class of jobs whose tasks are to start within a time. */
export interface StartTimeObjective {
	jobClass: string;
	withinS: number;
}

/** Of what the platform expects, how soon tasks of which classes are to start. */
export function startTimeObjectives(objectives: readonly ServiceLevelObjective[]): StartTimeObjective[] {
	const starts: StartTimeObjective[] = [];
	for (const { kind, class: jobClass, within_s: withinS } of objectives) {
		if (kind === "wait" && jobClass !== undefined && withinS !== undefined)
			starts.push({ jobClass, withinS });
	}
	return starts;
}

export function readText(file: string): string {
	try {
		return readFileSync(file, "utf8");
	} catch (error) {
		throw new SettingsError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? error})`);
	}
}

export function checkSchema<T extends v.GenericSchema>(
	file: string,
	schema: T,
	input: unknown,
): v.InferOutput<T> {
	const result = v.safeParse(schema, input, { abortEarly: true });
	if (result.success) return result.output;
	const issue = result.issues[0];
	const path = v.getDotPath(issue);
	throw new SettingsError(`${file}: ${path ? `field "${path}"` : "top level"}: ${issue.message}`);
}

export function parsePlatform(file: string, source: string): PlatformSettings {
	let raw: unknown;
	try {
		raw = parseToml(source);
	} catch (error) {
		throw new SettingsError(`${file}: not TOML: ${(error as Error).message.split("\n")[0]}`);
	}
	const settings = checkSchema(file, Platform, raw);
	const names = new Set<string>();
	settings.cluster.teams.forEach((team, i) => {
		if (names.has(team.name)) {
			throw new SettingsError(`${file}: field "cluster.teams.${i}.name": "${team.name}" is named twice`);
		}
		names.add(team.name);
		const { guaranteed, limit } = team;
		if (guaranteed.cpus > limit.cpus || guaranteed.gpus > limit.gpus) {
			throw new SettingsError(`${file}: field "cluster.teams.${i}": the guarantee must not exceed the limit`);
		}
	});
	// Every promise and vote is counted by node name.
	const nodes = new Set([settings.node]);
	settings.others.forEach(({ node }, i) => {
		if (nodes.has(node)) {
			throw new SettingsError(`${file}: field "others.${i}.node": "${node}" is named twice`);
		}
		nodes.add(node);
	});
	const { nodes: count, workers } = settings.cluster;
	if (count !== undefined && count !== nodes.size) {
		throw new SettingsError(
			`${file}: field "cluster.nodes": is ${count}, but this node and "others" are ${nodes.size}`,
		);
	}
	if (workers.report_s >= workers.lease_s) {
		throw new SettingsError(`${file}: field "cluster.workers.report_s": must be less than "lease_s"`);
	}
	if (workers.lease_s >= workers.cancel_s) {
		throw new SettingsError(`${file}: field "cluster.workers.lease_s": must be less than "cancel_s"`);
	}
	settings.cluster.state = lesserLimits(settings.cluster.state);
	return settings;
}

/** What holds now and what is to come are kept from the start: the change comes without notice. */
function lesserLimits(state: PlatformSettings["cluster"]["state"]): PlatformSettings["cluster"]["state"] {
	const lesser = (limit: keyof typeof limits) => Math.min(state[limit], state.next[limit] ?? Infinity);
	return {
		...state,
		rps: lesser("rps"),
		write_rps: lesser("write_rps"),
		value_kb: lesser("value_kb"),
		txn_ops: lesser("txn_ops"),
	};
}
