/** Decodes any value of the store by its key, for the store replica. */

import type { JobId } from "../model/identifiers.js";
import type { MachineType } from "../model/machine.js";
import { checkShape } from "../schema-checks.js";
import { type StoredChunk, StoredProgressChunkSchema } from "./chunk.js";
import { decodeFinalRecord, type FinalJobRecord } from "./final-record.js";
import { decodeJobRecord, type JobRecord } from "./job-record.js";
import { keys } from "./keys.js";
import { StoredMachineChunkSchema, type StoredMachineRecord } from "./machine-record.js";
import {
	decodeFeatures,
	decodeLeaderRecord,
	decodeMachineTypes,
	type FeatureSet,
	type LeaderRecord,
} from "./singleton-records.js";

/** A decoded value of the store, of the kind that its key determines. */
export type StoredRecord =
	| { kind: "job"; jobId: JobId; value: JobRecord }
	| { kind: "final"; jobId: JobId; value: FinalJobRecord }
	| { kind: "progress"; value: StoredChunk<string> }
	| { kind: "machines"; value: StoredChunk<StoredMachineRecord> }
	| { kind: "leader"; value: LeaderRecord }
	| { kind: "features"; value: FeatureSet }
	| { kind: "machine types"; value: MachineType[] }
	/** Unchecked: the package `team-quota` decodes it. */
	| { kind: "quota"; value: unknown }
	/** The key of another version, which this version does not read. */
	| { kind: "other" };

/** Decodes a value. Throws a MalformedMessageError if the value does not have the form that its key requires. */
export function decodeStoredRecord(key: string, value: unknown): StoredRecord {
	if (key.startsWith(keys.jobs)) {
		const jobId = key.slice(keys.jobs.length);
		return { kind: "job", jobId, value: decodeJobRecord(jobId, value) };
	}
	if (key.startsWith(keys.finals))
		return { kind: "final", jobId: key.slice(keys.finals.length), value: decodeFinalRecord(value) };
	if (key.startsWith(keys.progress))
		return { kind: "progress", value: checkShape(StoredProgressChunkSchema, value) };
	if (key.startsWith(keys.machines))
		return { kind: "machines", value: checkShape(StoredMachineChunkSchema, value) };
	if (key.startsWith(keys.quota)) return { kind: "quota", value };
	if (key === keys.leader) return { kind: "leader", value: decodeLeaderRecord(value) };
	if (key === keys.features) return { kind: "features", value: decodeFeatures(value) };
	if (key === keys.machineTypes) return { kind: "machine types", value: decodeMachineTypes(value) };
	return { kind: "other" };
}
