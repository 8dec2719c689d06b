/**
 * The platform's settings: what the platform that runs the controllers hands over in a TOML file (`--config`).
 * The names are the platform's and stay as they are. Fields that are not known are ignored.
 *
 * A name that ends in `_s` or `_ms` is a duration in seconds or milliseconds, `rps` counts per second, `kb` and
 * `mb` are KiB and MiB.
 */

import { parse as parseToml } from "smol-toml";
import * as v from "valibot";
import type { TeamQuota } from "../model/team-quota.js";
import { nonNegative, positive } from "../schema-checks.js";
import { checkSettings, fieldError, formatError } from "./settings-file.js";

const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));

const nonEmptyText = v.pipe(v.string(), v.nonEmpty());

const address = v.pipe(v.string(), v.regex(/^\S+:\d{1,5}$/, "expected an address such as 10.0.0.1:8080"));

/** 0 stands for no limit: a team without one, such as a guest team, may use whatever is idle. */
const limit = v.pipe(
	nonNegative,
	v.transform((value) => (value === 0 ? Number.POSITIVE_INFINITY : value)),
);

/** A team. What it is guaranteed, and its limit, are amounts that its running tasks take together. */
const Team = v.object({
	name: nonEmptyText,
	/** Guaranteed CPU cores. */
	cpus: nonNegative,
	/** Most CPU cores; 0 in the file: no limit. */
	cpus_max: limit,
	/** Guaranteed accelerators. */
	gpus: v.optional(nonNegative, 0),
	/** Most accelerators; 0 in the file, or left out: no limit. */
	gpus_max: v.optional(limit, 0),
});

/** A team in the service's own terms. */
const TeamQuotaOfTeam = v.pipe(
	Team,
	v.transform(
		({ name, cpus, cpus_max, gpus, gpus_max }): TeamQuota => ({
			name,
			guaranteed: { cpus, gpus },
			limit: { cpus: cpus_max, gpus: gpus_max },
		}),
	),
);

/** What users expect of a class of jobs; see `objectives.ts` for those that the service acts on. */
const ServiceLevelObjective = v.object({
	/** `wait`: until the start of tasks; `finished`, `deadline`: until the end of jobs. */
	kind: v.string(),
	/** The class of jobs (`lane` of a submission). */
	class: v.optional(v.string()),
	within_s: v.optional(v.number()),
	/** Part of the jobs or tasks that should meet the objective, 0 to 1. */
	share: v.optional(v.number()),
	/** For `deadline`: multiples of the deadline. */
	times: v.optional(v.number()),
});

/** Limits of the store. */
const storeLimits = {
	/** Requests per second of all controllers together. */
	rps: positive,
	/** Puts and deletes per second of all controllers together. */
	write_rps: positive,
	/** Largest value, in KiB. */
	value_kb: positive,
	/** Most puts and deletes in one transaction; it may have four times as many conditions. */
	txn_ops: positiveInteger,
};

const StoreSettings = v.object({
	...storeLimits,
	/** Limits that will replace those above at some moment, without notice. */
	next: v.optional(v.partial(v.object(storeLimits)), {}),
});

const WorkerSettings = v.object({
	/** Time between heartbeats of a worker, give or take a quarter. */
	report_s: positive,
	/** A worker whose heartbeats are not answered for this long stops all its tasks. */
	lease_s: positive,
	/** Within this time of a cancellation all tasks of the job must be gone. */
	cancel_s: positive,
});

const CloudSettings = v.object({
	/** Requests per second. */
	rps: positive,
	/** How far the machine list lags behind; at times up to twice that. */
	list_lag_s: nonNegative,
});

/** What the process may use. */
const ResourceSettings = v.object({
	/** Share of a processor, in cores. */
	cores: v.optional(positive),
	/** Memory, in MiB. */
	ram_mb: v.optional(positive),
	/** Open files and sockets. */
	fd_limit: v.optional(positiveInteger, 1000),
});

const ClusterSettings = v.object({
	/** Number of controllers, this one included. */
	nodes: v.optional(positiveInteger),
	/** The zones of the cluster; empty: not known. */
	zones: v.optional(v.array(nonEmptyText), []),
	/** Bound on the error of the time of day. */
	clock_off_ms: v.optional(nonNegative, 0),
	teams: v.optional(v.array(TeamQuotaOfTeam), []),
	objectives: v.optional(v.array(ServiceLevelObjective), []),
	workers: WorkerSettings,
	/** The store. */
	state: StoreSettings,
	cloud: CloudSettings,
	resources: v.optional(ResourceSettings, {}),
});

/** Another controller. */
const OtherController = v.object({
	/** Its name. */
	node: nonEmptyText,
	/** Its failure domain, which is its zone. */
	domain: nonEmptyText,
	/** Where it takes connections of controllers, `host:port`. */
	addr: address,
});

const Platform = v.object({
	/** Name of this controller. */
	node: nonEmptyText,
	/** Failure domain of this controller, which is its zone. */
	domain: nonEmptyText,
	/** Public address, for users, workers and the load balancer, `host:port`. */
	front: address,
	/** Address for the other controllers, `host:port`. */
	back: address,
	/** All other controllers. */
	others: v.optional(v.array(OtherController), []),
	/** Addresses of outside systems: the cloud's API and the store, `host:port`. */
	endpoints: v.object({ cloud: address, state: address }),
	cluster: ClusterSettings,
});

/** The platform's settings after all checks, with the lesser of present and coming store limits. */
export type PlatformSettings = v.InferOutput<typeof Platform>;

/** What users expect of a class of jobs. */
export type ServiceLevelObjective = v.InferOutput<typeof ServiceLevelObjective>;

type StoreSettings = PlatformSettings["cluster"]["state"];

/**
 * Reads the platform's settings.
 *
 * @param file Name of the file, for errors.
 * @param source Its text.
 * @throws SettingsError that names the file and the first faulty field.
 */
export function parsePlatformSettings(file: string, source: string): PlatformSettings {
	let raw: unknown;
	try {
		raw = parseToml(source);
	} catch (error) {
		throw formatError(file, "TOML", error);
	}
	const settings = checkSettings(file, Platform, raw);
	checkTeams(file, settings);
	checkControllers(file, settings);
	checkWorkerTimings(file, settings);
	settings.cluster.state = lowerLimits(settings.cluster.state);
	return settings;
}

function checkTeams(file: string, { cluster }: PlatformSettings): void {
	const names = new Set<string>();
	cluster.teams.forEach((team, i) => {
		if (names.has(team.name)) {
			throw fieldError(file, `cluster.teams.${i}.name`, `"${team.name}" is named twice`);
		}
		names.add(team.name);
		const { guaranteed, limit } = team;
		if (guaranteed.cpus > limit.cpus || guaranteed.gpus > limit.gpus) {
			throw fieldError(file, `cluster.teams.${i}`, "the guarantee must not exceed the limit");
		}
	});
}

/** Votes of leadership are counted by the names of controllers, so each must be named once. */
function checkControllers(file: string, { node: localNode, others, cluster }: PlatformSettings): void {
	const names = new Set([localNode]);
	others.forEach(({ node }, i) => {
		if (names.has(node)) throw fieldError(file, `others.${i}.node`, `"${node}" is named twice`);
		names.add(node);
	});
	const { nodes } = cluster;
	if (nodes !== undefined && nodes !== names.size) {
		const fault = `is ${nodes}, but this node and "others" are ${names.size}`;
		throw fieldError(file, "cluster.nodes", fault);
	}
}

/** A lease is longer than the time between heartbeats, and a cancellation takes at least a lease. */
function checkWorkerTimings(file: string, { cluster }: PlatformSettings): void {
	const { report_s, lease_s, cancel_s } = cluster.workers;
	if (report_s >= lease_s) {
		throw fieldError(file, "cluster.workers.report_s", 'must be less than "lease_s"');
	}
	if (lease_s >= cancel_s) {
		throw fieldError(file, "cluster.workers.lease_s", 'must be less than "cancel_s"');
	}
}

/** Limits that are to come are kept from the start, since the change comes without notice. */
function lowerLimits(state: StoreSettings): StoreSettings {
	const lowerLimit = (limit: keyof typeof storeLimits) =>
		Math.min(state[limit], state.next[limit] ?? Infinity);
	return {
		...state,
		rps: lowerLimit("rps"),
		write_rps: lowerLimit("write_rps"),
		value_kb: lowerLimit("value_kb"),
		txn_ops: lowerLimit("txn_ops"),
	};
}
