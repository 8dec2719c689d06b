/** Records of machines that may run tasks, stored in chunks below `r/machs/`. */

import * as v from "valibot";
import type { AgentEpoch } from "../model/identifiers.js";
import { uint64 } from "../model/uint64-schema.js";
import { boolean } from "../schema-checks.js";

/** The data that a later leader needs about a machine that may run tasks. */
export interface MachineRecord {
	/** Address of the machine's worker, `host:port`. */
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	/** The worker's agent epoch when the record was written. */
	agentEpoch: AgentEpoch;
}

const StoredMachineSchema = v.looseObject({
	endpoint: v.string(),
	type: v.string(),
	zone: v.string(),
	spot: boolean,
	session: uint64,
});

/** The stored form of a machine's record. */
export type StoredMachineRecord = v.InferOutput<typeof StoredMachineSchema>;

/**
 * A stored chunk of machine records. Entries stay in their stored form until they are used: a chunk is written back
 * as a whole, and must keep the fields that a later version has added to an entry.
 */
export const StoredMachineChunkSchema = v.looseObject({ entries: v.record(v.string(), StoredMachineSchema) });

/** Encodes a machine's record in its stored form. */
export function encodeMachineRecord(record: MachineRecord): StoredMachineRecord {
	const { endpoint, machineType, zone, spot, agentEpoch } = record;
	return { endpoint, type: machineType, zone, spot, session: agentEpoch };
}

/** Decodes an entry of a chunk that was checked when it was read. */
export function decodeMachineRecord(stored: StoredMachineRecord): MachineRecord {
	const { endpoint, type, zone, spot, session } = stored;
	return { endpoint, machineType: type, zone, spot, agentEpoch: session };
}
