/** Records of jobs that are over, as they are stored below `r/fin/`. They never change and are kept for good. */

import * as v from "valibot";
import type { TaskDemand } from "../model/job.js";
import { checkShape, name, nonNegative, nonNegativeInteger } from "../schema-checks.js";

/** A job that is over. */
export interface FinalJobRecord {
	status: "done" | "cancelled";
	taskCount: number;
	doneCount: number;
	/**
	 * What a task of the job took, for a leader that finds one running and never knew the job. Records of
	 * versions before 0.4.0 lack it.
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

/** Maps a final record to its stored form. */
export function encodeFinalRecord({
	status,
	taskCount,
	doneCount,
	demand,
}: FinalJobRecord): StoredFinalRecord {
	return { status, tasks: taskCount, done: doneCount, ...(demand && { demand }) };
}

/** Reads a stored final record. Throws a MalformedMessageError that names the first faulty field. */
export function decodeFinalRecord(value: unknown): FinalJobRecord {
	const { status, tasks, done, demand } = checkShape(StoredFinalSchema, value);
	return { status, taskCount: tasks, doneCount: done, demand };
}
