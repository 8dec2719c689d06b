/**
 * Operators' settings: a YAML file (`--operator`) in which every field is optional. Fields that are not known
 * are rejected by name. The names stay as they are; `docs/operations.md` lists them for operators.
 *
 * A name that ends in `_s` is a duration in seconds.
 */

import * as v from "valibot";
import { SettingsError } from "../errors.js";
import { nonNegative, positive } from "../schema-checks.js";
import { checkSettings, fieldError, formatError } from "./settings-file.js";

const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1));
const nonNegativeInteger = v.pipe(v.number(), v.integer(), v.minValue(0));

/** A lease of half a second to a minute. */
const leaseS = v.pipe(v.number(), v.minValue(0.5), v.maxValue(60));

/** The hill climb, which scales the fleet: `coordination/fleet`. */
const HillClimb = v.strictObject({
	/** Time between scaling rounds. */
	round_s: v.optional(positive, 0.5),
	/**
	 * Load above which machines are wanted and up to which machines can be spared, as multiples of a machine's
	 * mean cores times half the mean estimated run time of the present tasks.
	 */
	high: v.optional(positive, 1.2),
	low: v.optional(positive, 0.8),
	/** The fleet scales out once the counter of rounds with high load exceeds this. */
	up_past: v.optional(nonNegative, 3),
	/** The fleet scales in once the counter of rounds with low load reaches this. */
	down_at: v.optional(positiveInteger, 6),
	/** Most remaining seconds of a task that count as load, per core. */
	cap_s: v.optional(positive, 600),
	/** How long a machine type, zone and kind is not asked for again after the cloud had no capacity. */
	refusal_s: v.optional(nonNegative, 20),
	/** Most machines at once, as a bound of the operators' own; 0: none. */
	most_machines: v.optional(nonNegativeInteger, 0),
});

/** Leadership among the controllers: `coordination/leadership`. */
const LeadershipTiming = v.strictObject({
	/** Lease of the leader key. A longer one survives more hiccups of the store, a shorter one fails over sooner. */
	ttl_s: v.optional(leaseS, 3),
	/** Kept free at the end of every lease, in addition to the allowance for clock drift. */
	margin_s: v.optional(nonNegative, 0.3),
});

/** Placement of tasks: `coordination/placement`. */
const Placement = v.strictObject({
	/** Least time between placement cycles. */
	cycle_s: v.optional(positive, 0.2),
	/** A placer that has not answered for this long is taken to be out of reach. */
	silent_s: v.optional(positive, 1),
	/** Most machines in a placement request; of more, a random sample is shown. */
	sample: v.optional(positiveInteger, 200),
});

/** Workers' heartbeats: `coordination/workers`. */
const Heartbeats = v.strictObject({
	/**
	 * With more heartbeats a second than this for each core of a controller's share, all controllers receive them
	 * and forward them to the leader; 0: never.
	 */
	relay_per_core: v.optional(nonNegative, 500),
});

/** Team quota: `packages/team-quota`. */
const TeamQuota = v.strictObject({
	/** Teams' limits are divided among the controllers, each of which admits tasks by its own allotment. */
	enabled: v.optional(v.boolean(), false),
	/** A controller that has not been heard for about this long loses its allotments. */
	expiry_s: v.optional(leaseS, 2.5),
	/** Kept free at the end of that, in addition to the allowance for clock drift. */
	margin_s: v.optional(nonNegative, 0.1),
	/** Least time between moves of one team's allotment. */
	move_pause_s: v.optional(nonNegative, 1),
	/** How long a team may run more than a lowered limit before tasks are stopped; 0: until they end. */
	preempt_after_s: v.optional(nonNegative, 60),
});

/** Machines: `coordination/workers` and `coordination/fleet`. */
const Machines = v.strictObject({
	/** Failures of different jobs after which a machine is quarantined. */
	faulty_after: v.optional(positiveInteger, 2),
	/**
	 * A machine that has not come up after twice this many stated boot times of its type is deleted; after two
	 * stated boot times, if a machine of the type that was requested no earlier is up.
	 */
	boot_times: v.optional(positive, 3),
	/** A machine is deleted once it has been silent for this much longer than its worker's lease. */
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

/** The operators' settings after all checks, with the defaults of what the file leaves out. */
export type OperatorSettings = v.InferOutput<typeof Operator>;

/** The settings without an operators' file. */
export function defaultOperatorSettings(): OperatorSettings {
	return checkOperator("defaults", {});
}

/**
 * Reads an operators' file.
 *
 * @param file Name of the file, for errors.
 * @param source Its text.
 * @throws SettingsError that names the file and the first faulty field.
 */
export async function parseOperatorSettings(file: string, source: string): Promise<OperatorSettings> {
	// Loaded only when there is such a file: the time that a start takes is paid for.
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
