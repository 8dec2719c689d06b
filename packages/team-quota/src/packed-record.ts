/** The stored form of quota records. */

import * as v from "valibot";
import type { Amount } from "./amount.js";
import {
	type Allotment,
	type LimitAndGuarantee,
	parseRecord,
	QuotaInvariantError,
	type QuotaRecord,
	type RecallReason,
	sameLimitAndGuarantee,
} from "./record.js";

/**
 * Records as stored in the state service: arrays of numbers, since many teams share a value and the size
 * of a value is limited. The order of the entries and the names of the fields are the stored format and
 * must not change.
 */
type PackedLimitAndGuarantee = [
	limitCpus: number,
	limitGpus: number,
	guaranteeCpus: number,
	guaranteeGpus: number,
];
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
	limit: PackedLimitAndGuarantee;
	/** Omitted if the limit in force equals that of the platform's settings. */
	settings?: PackedLimitAndGuarantee | undefined;
	/** A lower limit that is not in force yet; `at` is the time of the request. */
	pending?: { revision: number; at: number; limit: PackedLimitAndGuarantee } | undefined;
	allotments: PackedAllotment[];
}

/** The stored value: the records of several teams. */
export interface PackedQuotaValue {
	teams: Record<string, PackedRecord>;
}

/** Reasons are stored by their index in this list: append new ones at the end. */
const recallReasons: (RecallReason | null)[] = [null, "wanted elsewhere", "limit lowered", "another placer"];

const LimitAndGuaranteeSchema = v.tuple([v.number(), v.number(), v.number(), v.number()]);
const PackedRecordSchema = v.object({
	revision: v.number(),
	limit: LimitAndGuaranteeSchema,
	settings: v.optional(LimitAndGuaranteeSchema),
	pending: v.optional(v.object({ revision: v.number(), at: v.number(), limit: LimitAndGuaranteeSchema })),
	allotments: v.array(
		v.tuple([v.string(), v.string(), v.number(), v.number(), v.number(), v.number(), v.number()]),
	),
});
const ValueSchema = v.object({ teams: v.record(v.string(), v.unknown()) });

const packLimitAndGuarantee = ({ limit, guarantee }: LimitAndGuarantee): PackedLimitAndGuarantee => [
	limit.cpus,
	limit.gpus,
	guarantee.cpus,
	guarantee.gpus,
];

function unpackLimitAndGuarantee([
	limitCpus,
	limitGpus,
	guaranteeCpus,
	guaranteeGpus,
]: PackedLimitAndGuarantee): LimitAndGuarantee {
	return {
		limit: { cpus: limitCpus, gpus: limitGpus },
		guarantee: { cpus: guaranteeCpus, gpus: guaranteeGpus },
	};
}

function packAllotment(allotment: Allotment): PackedAllotment {
	const { node, incarnation, amount, reclaiming, reason } = allotment;
	const reasonIndex = recallReasons.indexOf(reason);
	return [node, incarnation, amount.cpus, amount.gpus, reclaiming.cpus, reclaiming.gpus, reasonIndex];
}

function unpackAllotment(packed: PackedAllotment): Allotment {
	const [node, incarnation, cpus, gpus, reclaimingCpus, reclaimingGpus, reasonIndex] = packed;
	const amount: Amount = { cpus, gpus };
	const reclaiming: Amount = { cpus: reclaimingCpus, gpus: reclaimingGpus };
	return { node, incarnation, amount, reclaiming, reason: recallReasons[reasonIndex] ?? null };
}

function packRecord({ revision, inForce, settings, pending, allotments }: QuotaRecord): PackedRecord {
	return {
		revision,
		limit: packLimitAndGuarantee(inForce),
		...(!sameLimitAndGuarantee(inForce, settings) && { settings: packLimitAndGuarantee(settings) }),
		...(pending && {
			pending: { revision: pending.revision, at: pending.requestedAt, limit: packLimitAndGuarantee(pending) },
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
	const inForce = unpackLimitAndGuarantee(limit);
	return parseRecord({
		team,
		revision,
		inForce,
		settings: settings ? unpackLimitAndGuarantee(settings) : inForce,
		pending: pending
			? { ...unpackLimitAndGuarantee(pending.limit), revision: pending.revision, requestedAt: pending.at }
			: null,
		allotments: allotments.map(unpackAllotment),
	});
}

/** Returns the stored form of the records that share a value. */
export function packValue(records: Iterable<QuotaRecord>): PackedQuotaValue {
	return { teams: Object.fromEntries([...records].map((record) => [record.team, packRecord(record)])) };
}

/**
 * Returns an upper bound of the bytes of a team's record with an allotment for every node and a pending
 * limit.
 */
export function maxRecordBytes(team: string, nodes: readonly string[], incarnationLength: number): number {
	const bytesOfNumbers = 60;
	const allotments = nodes.map((node) => Buffer.byteLength(node) + incarnationLength + bytesOfNumbers);
	return Buffer.byteLength(team) + 4 * bytesOfNumbers + allotments.reduce((sum, bytes) => sum + bytes, 0);
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
