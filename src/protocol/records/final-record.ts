/** Records of ended jobs, stored below `r/fin/`. They never change and are never deleted. */

import * as v from "valibot";
import type { TaskDemand } from "../model/job.js";
import { checkShape, name, nonNegative, nonNegativeInteger } from "../schema-checks.js";

/** The record of an ended job. */
export interface FinalJobRecord {
	status: "done" | "cancelled";
	taskCount: number;
	doneCount: number;
	/**
	 * The quota that a task of the job used. A leader needs it if it finds a running task of the job and has never
	 * had the job's live record. Versions before 0.4.0 write records without it.
	 */
	demand?: TaskDemand | undefined;
}

const StoredFinalSchema = v.looseObject({
	status: v.picklist(["done", "cancelled"]),
	tasks: nonNegativeInteger,
	done: nonNegativeInteger,
	demand: v.optional(v.looseObject({ team: name, cpus: nonNegative, gpus: nonNegative })),
});

/** The stored form of a final record. */
export type StoredFinalRecord = v.InferOutput<typeof StoredFinalSchema>;

/** Encodes a final record in its stored form. */
export function encodeFinalRecord({
	status,
	taskCount,
	doneCount,
	demand,
}: FinalJobRecord): StoredFinalRecord {
	return { status, tasks: taskCount, done: doneCount, ...(demand && { demand }) };
}

/** Decodes a stored final record. Throws a MalformedMessageError that names the first invalid field. */
export function decodeFinalRecord(value: unknown): FinalJobRecord {
	const { status, tasks, done, demand } = checkShape(StoredFinalSchema, value);
	return { status, taskCount: tasks, doneCount: done, demand };
}
