import * as v from "valibot";
import type { Amount } from "./amount.js";
import {
	type Allotment,
	type LimitTerms,
	parseRecord,
	QuotaInvariantError,
	type QuotaRecord,
	type RecallReason,
	sameTerms,
} from "./record.js";

/**
 * Records as stored in the state service: arrays of numbers, since many teams share a value and the size
 * of a value is limited. The order of the entries and the names of the fields are the stored format and
 * must not change.
 */
type PackedTerms = [limitCpus: number, limitGpus: number, guaranteeCpus: number, guaranteeGpus: number];
type PackedAllotment = [
	node: string,
	incarnation: string,
	cpus: number,
	gpus: number,
	reclaimingCpus: number,
	reclaimingGpus: number,
	reason: number,
];

interface PackedRecord {
	revision: number;
	limit: PackedTerms;
	/** Omitted if the limit in force equals that of the platform's settings. */
	settings?: PackedTerms | undefined;
	/** A lower limit that is not in force yet; `at` is the time of the request. */
	pending?: { revision: number; at: number; limit: PackedTerms } | undefined;
	allotments: PackedAllotment[];
}

/** The stored value: the records of several teams. */
export interface PackedQuotaValue {
	teams: Record<string, PackedRecord>;
}

/** Reasons are stored by their index in this list: append new ones at the end. */
const reasons: (RecallReason | null)[] = [null, "wanted elsewhere", "limit lowered", "another placer"];

const TermsSchema = v.tuple([v.number(), v.number(), v.number(), v.number()]);
const PackedRecordSchema = v.object({
	revision: v.number(),
	limit: TermsSchema,
	settings: v.optional(TermsSchema),
	pending: v.optional(v.object({ revision: v.number(), at: v.number(), limit: TermsSchema })),
	allotments: v.array(
		v.tuple([v.string(), v.string(), v.number(), v.number(), v.number(), v.number(), v.number()]),
	),
});
const ValueSchema = v.object({ teams: v.record(v.string(), v.unknown()) });

const packTerms = ({ limit, guarantee }: LimitTerms): PackedTerms => [
	limit.cpus,
	limit.gpus,
	guarantee.cpus,
	guarantee.gpus,
];

function unpackTerms([limitCpus, limitGpus, guaranteeCpus, guaranteeGpus]: PackedTerms): LimitTerms {
	return {
		limit: { cpus: limitCpus, gpus: limitGpus },
		guarantee: { cpus: guaranteeCpus, gpus: guaranteeGpus },
	};
}

function packAllotment(allotment: Allotment): PackedAllotment {
	const { node, incarnation, amount, reclaiming, reason } = allotment;
	const why = reasons.indexOf(reason);
	return [node, incarnation, amount.cpus, amount.gpus, reclaiming.cpus, reclaiming.gpus, why];
}

function unpackAllotment(packed: PackedAllotment): Allotment {
	const [node, incarnation, cpus, gpus, reclaimingCpus, reclaimingGpus, why] = packed;
	const amount: Amount = { cpus, gpus };
	const reclaiming: Amount = { cpus: reclaimingCpus, gpus: reclaimingGpus };
	return { node, incarnation, amount, reclaiming, reason: reasons[why] ?? null };
}

function packRecord({ revision, inForce, settings, pending, allotments }: QuotaRecord): PackedRecord {
	return {
		revision,
		limit: packTerms(inForce),
		...(!sameTerms(inForce, settings) && { settings: packTerms(settings) }),
		...(pending && {
			pending: { revision: pending.revision, at: pending.requestedAt, limit: packTerms(pending) },
		}),
		allotments: allotments.map(packAllotment),
	};
}

function unpackRecord(team: string, value: unknown): QuotaRecord {
	const result = v.safeParse(PackedRecordSchema, value, { abortEarly: true });
	if (!result.success) {
		const issue = result.issues[0];
		throw new QuotaInvariantError(`field "${v.getDotPath(issue) ?? ""}" ${issue.message}`);
	}
	const { revision, limit, settings, pending, allotments } = result.output;
	const inForce = unpackTerms(limit);
	return parseRecord({
		team,
		revision,
		inForce,
		settings: settings ? unpackTerms(settings) : inForce,
		pending: pending
			? { ...unpackTerms(pending.limit), revision: pending.revision, requestedAt: pending.at }
			: null,
		allotments: allotments.map(unpackAllotment),
	});
}

export function packValue(records: Iterable<QuotaRecord>): PackedQuotaValue {
	return { teams: Object.fromEntries([...records].map((record) => [record.team, packRecord(record)])) };
}

/**
 * Returns an upper bound of the bytes of a team's record with an allotment for every node and a pending
 * limit.
 */
export function largestRecordBytes(
	team: string,
	nodes: readonly string[],
	incarnationLength: number,
): number {
	const terms = 60;
	const allotments = nodes.map((node) => Buffer.byteLength(node) + incarnationLength + terms);
	return Buffer.byteLength(team) + 4 * terms + allotments.reduce((sum, bytes) => sum + bytes, 0);
}

/** The readable records, and the faults of the others. */
export interface UnpackedValue {
	records: Map<string, QuotaRecord>;
	faults: { team: string; fault: string }[];
}

/**
 * Unpacks a stored value. An unreadable record is reported as a fault and does not prevent reading the
 * others.
 */
export function unpackValue(value: unknown): UnpackedValue {
	const result = v.safeParse(ValueSchema, value);
	if (!result.success) return { records: new Map(), faults: [{ team: "", fault: "is not a quota value" }] };
	const unpacked: UnpackedValue = { records: new Map(), faults: [] };
	for (const [team, packed] of Object.entries(result.output.teams)) {
		try {
			unpacked.records.set(team, unpackRecord(team, packed));
		} catch (error) {
			if (!(error instanceof QuotaInvariantError)) throw error;
			unpacked.faults.push({ team, fault: error.message });
		}
	}
	return unpacked;
}
