/** Singleton records, stored below `r/one/`. */

import * as v from "valibot";
import type { Incarnation, NodeId } from "../model/identifiers.js";
import type { MachineType } from "../model/machine.js";
import { checkShape, name, nonNegative, nonNegativeInteger } from "../schema-checks.js";

/** The value of the leader key. */
export interface LeaderRecord {
	node: NodeId;
	/** Identifies the attempt to become leader that wrote the value. */
	incarnation: Incarnation;
}

const StoredLeaderSchema = v.looseObject({ node: v.string(), incarnation: v.string() });

/** The stored form of the leader key. */
export type StoredLeader = v.InferOutput<typeof StoredLeaderSchema>;

/** Encodes the value of the leader key in its stored form. */
export function encodeLeaderRecord({ node, incarnation }: LeaderRecord): StoredLeader {
	return { node, incarnation };
}

/** Decodes the stored leader key. Throws a MalformedMessageError that names the first invalid field. */
export function decodeLeaderRecord(value: unknown): LeaderRecord {
	return checkShape(StoredLeaderSchema, value);
}

/**
 * Features that every controller has reported as supported, so that they may be used. A recorded feature is never
 * removed.
 */
export interface FeatureSet {
	/** Service jobs, whose replicas run until the job is cancelled; supported from version 0.5.0. */
	serviceJobs: boolean;
	/** Team quota: limits are divided among the controllers from the beginning of each term; supported from version 0.8.0. */
	teamQuota: boolean;
	/** Fields of later versions, which are written back unchanged. */
	unknownFields: Readonly<Record<string, unknown>>;
}

/** The features before any feature is recorded. */
export const noFeatures: FeatureSet = { serviceJobs: false, teamQuota: false, unknownFields: {} };

const StoredFeaturesSchema = v.looseObject({
	standing: v.optional(v.boolean()),
	quota: v.optional(v.boolean()),
});

/** The stored form of a set of features, without the features that not all controllers support. */
export type StoredFeatures = v.InferOutput<typeof StoredFeaturesSchema>;

/** Encodes a set of features in its stored form. */
export function encodeFeatures({ serviceJobs, teamQuota, unknownFields }: FeatureSet): StoredFeatures {
	return { ...unknownFields, ...(serviceJobs && { standing: true }), ...(teamQuota && { quota: true }) };
}

/** Decodes stored features. Throws a MalformedMessageError that names the first invalid field. */
export function decodeFeatures(value: unknown): FeatureSet {
	const { standing, quota, ...unknownFields } = checkShape(StoredFeaturesSchema, value);
	return { serviceJobs: standing === true, teamQuota: quota === true, unknownFields };
}

/** The ranges of attempt numbers that leaders have reserved; terms from 2^41 on need one. */
export interface AttemptRanges {
	/** Number of reserved ranges, which is the index of the next one. */
	reserved: number;
}

const StoredAttemptRangesSchema = v.looseObject({ ranges: nonNegativeInteger });

/** The stored form of the reserved ranges. */
export type StoredAttemptRanges = v.InferOutput<typeof StoredAttemptRangesSchema>;

/** Encodes the reserved ranges in their stored form. */
export function encodeAttemptRanges({ reserved }: AttemptRanges): StoredAttemptRanges {
	return { ranges: reserved };
}

/** Decodes the stored ranges. Throws a MalformedMessageError that names the first invalid field. */
export function decodeAttemptRanges(value: unknown): AttemptRanges {
	return { reserved: checkShape(StoredAttemptRangesSchema, value).ranges };
}

/** The stored form of the machine types; the fields of a type are stored under their own names. */
export interface StoredMachineTypes {
	types: MachineType[];
}

const StoredMachineTypeSchema = v.looseObject({
	name,
	cpus: nonNegative,
	gpus: nonNegative,
	memoryGb: nonNegative,
	cacheGb: nonNegative,
	fetchGbPerS: nonNegative,
	price: nonNegative,
	spotPrice: nonNegative,
	bootS: nonNegative,
	zones: v.array(v.string()),
});

const StoredMachineTypesSchema = v.looseObject({ types: v.array(StoredMachineTypeSchema) });

/** Encodes the machine types in their stored form. */
export function encodeMachineTypes(types: MachineType[]): StoredMachineTypes {
	return { types };
}

/** Decodes the stored machine types. Throws a MalformedMessageError that names the first invalid field. */
export function decodeMachineTypes(value: unknown): MachineType[] {
	return checkShape(StoredMachineTypesSchema, value).types;
}
