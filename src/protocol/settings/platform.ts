/**
 * The platform's settings: a TOML file (`--config`) from the platform that runs the controllers. The field names
 * are the platform's and must not change. Unknown fields are ignored.
 *
 * A name that ends in `_s` or `_ms` is a duration in seconds or milliseconds, `rps` is a rate per second, `kb` and
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

/**
 * The limit of a team; 0 means no limit. A team without a limit, such as a guest team, may use all idle resources.
 */
const limit = v.pipe(
	nonNegative,
	v.transform((value) => (value === 0 ? Number.POSITIVE_INFINITY : value)),
);

/** A team. Its guarantee and its limit are amounts that all its running tasks use together. */
const Team = v.object({
	name: nonEmptyText,
	/** Guaranteed CPU cores. */
	cpus: nonNegative,
	/** Maximum CPU cores; 0 in the file: no limit. */
	cpus_max: limit,
	/** Guaranteed accelerators. */
	gpus: v.optional(nonNegative, 0),
	/** Maximum accelerators; 0 in the file, or omitted: no limit. */
	gpus_max: v.optional(limit, 0),
});

/** A team, converted to a `TeamQuota`. */
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

/** A service-level objective for a class of jobs; see `objectives.ts` for the objectives that the service uses. */
const ServiceLevelObjective = v.object({
	/** `wait`: until the start of tasks; `finished`, `deadline`: until the end of jobs. */
	kind: v.string(),
	/** The class of jobs (`lane` of a submission). */
	class: v.optional(v.string()),
	within_s: v.optional(v.number()),
	/** Fraction of the jobs or tasks that should meet the objective, 0 to 1. */
	share: v.optional(v.number()),
	/** For `deadline`: a multiple of the deadline. */
	times: v.optional(v.number()),
});

/** Limits of the store. */
const storeLimits = {
	/** Requests per second of all controllers together. */
	rps: positive,
	/** Puts and deletes per second of all controllers together. */
	write_rps: positive,
	/** Maximum size of a value, in KiB. */
	value_kb: positive,
	/** Maximum number of puts and deletes in one transaction, which may have four times as many conditions. */
	txn_ops: positiveInteger,
};

const StoreSettings = v.object({
	...storeLimits,
	/** Limits that will replace those above at an unknown time, without notice. */
	next: v.optional(v.partial(v.object(storeLimits)), {}),
});

const WorkerSettings = v.object({
	/** Time between heartbeats of a worker, which varies by up to a quarter. */
	report_s: positive,
	/** A worker that receives no response to its heartbeats for this long stops all its tasks. */
	lease_s: positive,
	/** Time from a cancellation until all tasks of the job must have ended. */
	cancel_s: positive,
});

const CloudSettings = v.object({
	/** Requests per second. */
	rps: positive,
	/** Delay with which the machine list shows changes; occasionally up to twice as long. */
	list_lag_s: nonNegative,
});

/** Resource limits of the process. */
const ResourceSettings = v.object({
	/** CPU share, in cores. */
	cores: v.optional(positive),
	/** Memory, in MiB. */
	ram_mb: v.optional(positive),
	/** Maximum number of open files and sockets. */
	fd_limit: v.optional(positiveInteger, 1000),
});

const ClusterSettings = v.object({
	/** Number of controllers, this one included. */
	nodes: v.optional(positiveInteger),
	/** The zones of the cluster; empty: unknown. */
	zones: v.optional(v.array(nonEmptyText), []),
	/** Maximum error of the time of day. */
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
	/** Name of the controller. */
	node: nonEmptyText,
	/** Failure domain of the controller, which is its zone. */
	domain: nonEmptyText,
	/** Address at which it accepts connections of other controllers, `host:port`. */
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
	/** Addresses of external systems: the cloud's API and the store, `host:port`. */
	endpoints: v.object({ cloud: address, state: address }),
	cluster: ClusterSettings,
});

/** The platform's settings after validation, with the lower of the present and the future store limits. */
export type PlatformSettings = v.InferOutput<typeof Platform>;

/** A service-level objective for a class of jobs. */
export type ServiceLevelObjective = v.InferOutput<typeof ServiceLevelObjective>;

type StoreSettings = PlatformSettings["cluster"]["state"];

/**
 * Parses the platform's settings.
 *
 * @param file Name of the file, for errors.
 * @param source Text of the file.
 * @throws SettingsError that names the file and the first invalid field.
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

/** Leadership counts votes by the names of controllers, so the names must be unique. */
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

/**
 * Checks that a lease is longer than the time between heartbeats, and shorter than the time for a cancellation,
 * which takes at least a lease.
 */
function checkWorkerTimings(file: string, { cluster }: PlatformSettings): void {
	const { report_s, lease_s, cancel_s } = cluster.workers;
	if (report_s >= lease_s) {
		throw fieldError(file, "cluster.workers.report_s", 'must be less than "lease_s"');
	}
	if (lease_s >= cancel_s) {
		throw fieldError(file, "cluster.workers.lease_s", 'must be less than "cancel_s"');
	}
}

/** Applies lower future limits from the start, because they come into force without notice. */
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
