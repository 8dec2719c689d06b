/**
 * Operators' settings: a YAML file (`--operator`) in which every field is optional. Unknown fields are rejected
 * with their names. Field names must not change; `docs/operations.md` lists them for operators.
 *
 * A name that ends in `_s` is a duration in seconds.
 */

import * as v from "valibot";
import { SettingsError } from "../errors.js";
import { nonNegative, positive } from "../schema-checks.js";
import { checkSettings, fieldError, formatError } from "./settings-file.js";

const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A lease duration of half a second to one minute. */
const leaseS = v.pipe(v.number(), v.minValue(0.5), v.maxValue(60));

/** The hill climb that scales the fleet: `coordination/fleet`. */
const HillClimb = v.strictObject({
	/** Time between scaling rounds. */
	round_s: v.optional(positive, 0.5),
	/**
	 * The high threshold, above which the fleet needs more machines, and the low threshold, up to which it can
	 * spare machines. Both are multiples of a machine's mean cores times half the mean estimated run time of the
	 * current tasks.
	 */
	high: v.optional(positive, 1.2),
	low: v.optional(positive, 0.8),
	/** The fleet scales out once the counter of rounds with high load exceeds this. */
	up_past: v.optional(nonNegative, 3),
	/** The fleet scales in once the counter of rounds with low load reaches this. */
	down_at: v.optional(positiveInteger, 6),
	/** Maximum remaining seconds of a task that count as load, per core. */
	cap_s: v.optional(positive, 600),
	/**
	 * Time for which a combination of machine type, zone and kind (spot or on-demand) is not requested again after
	 * the cloud had no capacity for it.
	 */
	refusal_s: v.optional(nonNegative, 20),
	/** The operators' own limit on the number of machines; 0: no limit. */
	most_machines: v.optional(nonNegativeInteger, 0),
});

/** Leadership among the controllers: `coordination/leadership`. */
const LeadershipTiming = v.strictObject({
	/**
	 * Duration of the leader key's lease. A longer lease survives longer interruptions of the store; a shorter
	 * lease makes failover faster.
	 */
	ttl_s: v.optional(leaseS, 3),
	/** Safety margin at the end of every lease, in addition to the allowance for clock drift. */
	margin_s: v.optional(nonNegative, 0.3),
});

/** Placement of tasks: `coordination/placement`. */
const Placement = v.strictObject({
	/** Minimum time between placement cycles. */
	cycle_s: v.optional(positive, 0.2),
	/** A placer that has not replied for this long is considered unreachable. */
	silent_s: v.optional(positive, 1),
	/** Maximum number of machines in a placement request; of a larger fleet, a random sample is sent. */
	sample: v.optional(positiveInteger, 200),
});

/** Workers' heartbeats: `coordination/workers`. */
const Heartbeats = v.strictObject({
	/**
	 * Heartbeats per second, for each core of a controller's CPU share, above which all controllers receive
	 * heartbeats and forward them to the leader; 0: heartbeats are never forwarded.
	 */
	relay_per_core: v.optional(nonNegative, 500),
});

/** Team quota: `packages/team-quota`. */
const TeamQuota = v.strictObject({
	/** Divides teams' limits among the controllers, each of which admits tasks by its own allotment. */
	enabled: v.optional(v.boolean(), false),
	/** A controller from which the leader has received nothing for about this long loses its allotments. */
	expiry_s: v.optional(leaseS, 2.5),
	/** Safety margin at the end of the expiry time, in addition to the allowance for clock drift. */
	margin_s: v.optional(nonNegative, 0.1),
	/** Minimum time between changes of one team's allotments. */
	move_pause_s: v.optional(nonNegative, 1),
	/**
	 * Time for which a team's tasks may exceed a lowered limit before tasks are stopped; 0: they are never stopped
	 * and run to their end.
	 */
	preempt_after_s: v.optional(nonNegative, 60),
});

/** Machines: `coordination/workers` and `coordination/fleet`. */
const Machines = v.strictObject({
	/** Number of failures of different jobs after which a machine is quarantined. */
	faulty_after: v.optional(positiveInteger, 2),
	/**
	 * A machine that is not up after twice this many stated boot times of its type is deleted; if a machine of the
	 * type that was requested no earlier is up, after two stated boot times.
	 */
	boot_times: v.optional(positive, 3),
	/** A machine is deleted once it has been unresponsive for its worker's lease and this additional time. */
	silent_extra_s: v.optional(nonNegative, 15),
});

const Operator = v.strictObject({
	climb: v.optional(HillClimb, {}),
	leadership: v.optional(LeadershipTiming, {}),
	placing: v.optional(Placement, {}),
	reports: v.optional(Heartbeats, {}),
	team_quota: v.optional(TeamQuota, {}),
	machines: v.optional(Machines, {}),
});

/** The operators' settings after validation, with defaults for the fields that the file omits. */
export type OperatorSettings = v.InferOutput<typeof Operator>;

/** Returns the settings that apply without an operators' file. */
export function defaultOperatorSettings(): OperatorSettings {
	return checkOperator("defaults", {});
}

/**
 * Parses an operators' file.
 *
 * @param file Name of the file, for errors.
 * @param source Text of the file.
 * @throws SettingsError that names the file and the first invalid field.
 */
export async function parseOperatorSettings(file: string, source: string): Promise<OperatorSettings> {
	// Loaded only if there is such a file, because loading the parser lengthens the start-up.
	const { parse } = await import("yaml");
	let raw: unknown;
	try {
		raw = parse(source);
	} catch (error) {
		throw formatError(file, "YAML", error);
	}
	if (raw !== null && (typeof raw !== "object" || Array.isArray(raw))) {
		throw new SettingsError(`${file}: top level: expected a mapping`);
	}
	return checkOperator(file, raw ?? {});
}

function checkOperator(file: string, raw: unknown): OperatorSettings {
	const settings = checkSettings(file, Operator, raw);
	const { climb, leadership, team_quota } = settings;
	if (climb.low >= climb.high) throw fieldError(file, "climb.low", 'must be below "climb.high"');
	if (leadership.margin_s * 2 >= leadership.ttl_s) {
		throw fieldError(file, "leadership.margin_s", 'must be less than half of "leadership.ttl_s"');
	}
	if (team_quota.margin_s * 2 >= team_quota.expiry_s) {
		throw fieldError(file, "team_quota.margin_s", 'must be less than half of "team_quota.expiry_s"');
	}
	return settings;
}
