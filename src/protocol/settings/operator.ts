import * as v from "valibot";
import { SettingsError } from "../errors.js";
import { amount, positive } from "../schema-checks.js";
import { checkSchema } from "./platform.js";

/** Operators' own settings (YAML). Unknown fields are rejected by name. */
const whole = v.pipe(v.number(), v.integer(), v.minValue(1));

const Operator = v.strictObject({
	climb: v.optional(
		v.strictObject({
			/** Seconds between rounds of the hill climb. */
			round_s: v.optional(positive, 0.5),
			/** Marks, as multiples of a machine's cores times half an estimated run of the present tasks. */
			high: v.optional(positive, 1.2),
			low: v.optional(positive, 0.8),
			/** The up counter acts when it is past this. */
			up_past: v.optional(amount, 3),
			/** The down counter acts when it reaches this. */
			down_at: v.optional(whole, 6),
			/** Remaining work counts at most this many seconds per core. */
			cap_s: v.optional(positive, 600),
			/** How long a refused type, zone and kind is not asked for again. */
			refusal_s: v.optional(amount, 20),
			/** At most so many machines at once, 0 for no bound of our own. */
			most_machines: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0)), 0),
		}),
		{},
	),
	leadership: v.optional(
		v.strictObject({
			/** Lease of the leader's key in the state service. */
			ttl_s: v.optional(v.pipe(v.number(), v.minValue(0.5), v.maxValue(60)), 3),
			/** Kept free at the end of every lease, on top of clock drift. */
			margin_s: v.optional(amount, 0.3),
		}),
		{},
	),
	placing: v.optional(
		v.strictObject({
			/** Least time between placement cycles. */
			cycle_s: v.optional(positive, 0.2),
			/** A placer that has not answered for this long is silent. */
			silent_s: v.optional(positive, 1),
			/** With more machines than this, a sample of them is looked at. */
			sample: v.optional(whole, 200),
		}),
		{},
	),
	reports: v.optional(
		v.strictObject({
			/**
			 * With more reports a second than this for each core of a controller's share, all
			 * controllers receive them and pass them on to the leader; 0: never.
			 */
			relay_per_core: v.optional(amount, 500),
		}),
		{},
	),
	team_quota: v.optional(
		v.strictObject({
			/** Teams' limits are divided among the controllers, each of which admits on its own. */
			enabled: v.optional(v.boolean(), false),
			/** A controller that has not been heard for about this long loses its allotments. */
			expiry_s: v.optional(v.pipe(v.number(), v.minValue(0.5), v.maxValue(60)), 2.5),
			/** Kept free at the end of that, on top of clock drift. */
			margin_s: v.optional(amount, 0.1),
			/** Least time between moves of one team's allotment. */
			move_pause_s: v.optional(amount, 1),
			/** What a team runs above a lowered limit is stopped after this; 0: it ends by itself. */
			preempt_after_s: v.optional(amount, 60),
		}),
		{},
	),
	machines: v.optional(
		v.strictObject({
			/** Failures of different jobs after which a machine is set aside. */
			faulty_after: v.optional(whole, 2),
			/** A machine still booting after this many times its usual boot time is returned. */
			boot_times: v.optional(positive, 3),
			/** Silent this much longer than its lease, a machine is returned. */
			silent_extra_s: v.optional(amount, 15),
		}),
		{},
	),
});

export type OperatorSettings = v.InferOutput<typeof Operator> & {
	climb: Required<NonNullable<v.InferOutput<typeof Operator>["climb"]>>;
};

export function defaultOperator(): OperatorSettings {
	return checkOperator("defaults", {});
}

function checkOperator(file: string, raw: unknown): OperatorSettings {
	const source = (raw ?? {}) as Record<string, unknown>;
	const filled = {
		climb: {},
		leadership: {},
		placing: {},
		reports: {},
		team_quota: {},
		machines: {},
		...source,
	};
	const settings = checkSchema(file, Operator, filled) as OperatorSettings;
	if (settings.climb.low >= settings.climb.high) {
		throw new SettingsError(`${file}: field "climb.low": must be below "climb.high"`);
	}
	if (settings.leadership.margin_s * 2 >= settings.leadership.ttl_s) {
		throw new SettingsError(
			`${file}: field "leadership.margin_s": must be less than half of "leadership.ttl_s"`,
		);
	}
	if (settings.team_quota.margin_s * 2 >= settings.team_quota.expiry_s) {
		throw new SettingsError(
			`${file}: field "team_quota.margin_s": must be less than half of "team_quota.expiry_s"`,
		);
	}
	return settings;
}

/** The YAML parser is loaded only when an operators' file is given: start-up is paid for. */
export async function parseOperator(file: string, source: string): Promise<OperatorSettings> {
	const { parse } = await import("yaml");
	let raw: unknown;
	try {
		raw = parse(source);
	} catch (error) {
		throw new SettingsError(`${file}: not YAML: ${(error as Error).message.split("\n")[0]}`);
	}
	if (raw !== null && (typeof raw !== "object" || Array.isArray(raw))) {
		throw new SettingsError(`${file}: top level: expected a mapping`);
	}
	return checkOperator(file, raw);
}
