/**
 * Upper bounds of the memory that a live job takes in a controller, by which it decides whether it can accept the job.
 * They hold for the leader, which has the most, and until the end of the job: the record as it is read and decoded, the
 * state of the job, its pages of done tasks, and what a reload of the replica holds twice. Test: "a leader loads and
 * reloads as many jobs as are accepted ..." in job-memory.test.ts.
 */

import type { JobSpec } from "../protocol/model/job.js";
import { pageTextLength, tasksPerPage } from "./task-set.js";

/** The objects of a job in the replica and in the leader's state, without texts and pages. */
const objectBytes = 4096;

/** The engine stores a text with any character beyond Latin-1 in two bytes for each character. */
const bytesPerCharacter = 2;

/** Copies of a record's texts: in the record, in the job's demand key, and in the rows of a reload. */
const recordCopies = 3;

/** The entries of a page of done tasks in the indexes of the replica, of the leader's records and of the job. */
const pageEntryBytes = 600;

/** Copies of a partial page: its text in the replica and in the leader's records, and its bits in two sets of the job. */
const partialPageCopies = 4;

/**
 * Returns the bytes that a job may take until its end. Any page may be partial for as long as one of its tasks runs, also
 * after all later tasks are done.
 */
export function liveJobBytes(spec: JobSpec): number {
	const recordBytes = recordCopies * bytesPerCharacter * characters(spec);
	const pages = Math.ceil(spec.taskCount / tasksPerPage);
	const textBytes = partialPageCopies * pageTextLength(Math.min(spec.taskCount, tasksPerPage));
	return objectBytes + recordBytes + pages * (pageEntryBytes + textBytes);
}

function characters({ id, jobClass, team, image, zone, machineTypes }: JobSpec): number {
	const texts = [id, jobClass, team, image, zone ?? "", ...(machineTypes ?? [])];
	return texts.reduce((sum, text) => sum + text.length, 0);
}
