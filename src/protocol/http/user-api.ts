/**
 * The users' API: submissions and the states of jobs.
 *
 * | on the wire | here |
 * | --- | --- |
 * | `lane` | `jobClass` |
 * | `desk` | `team` |
 * | `form` | `form`: `standing` is `service` |
 * | `urgency` | `priority` |
 * | `pieces` | `taskCount` |
 * | `cores`, `accelerators`, `ram_gb` | `cpus`, `gpus`, `memoryGb` of each task |
 * | `shapes` | `machineTypes` |
 * | `hall` | `zone` |
 * | `one_zone`, `spread` | `singleZone`, `spreadZones` |
 * | `loaners` | `allowSpot` |
 * | `bundle`, `image_gb` | `image`, `imageGb` |
 * | `guess_s` | `estimatedRunS` |
 * | `bookmark_s`, `bookmark_cost_s` | `checkpointIntervalS`, `checkpointCostS` |
 * | `due_s` | `deadlineS` |
 */

import * as v from "valibot";
import { MalformedMessageError } from "../errors.js";
import type { JobId } from "../model/identifiers.js";
import type { JobSpec, JobStatus } from "../model/job.js";
import { boolean, checkShape, name, nonNegative, orNull, parseObject, positive } from "../schema-checks.js";

const maxTaskCount = 100_000;

/** The maximum number of machine types that a job may list. */
const maxMachineTypes = 100;

const jobId = v.pipe(v.string("must be a string"), v.regex(/^j-\d{1,18}$/, 'must look like "j-000412"'));

const taskCount = v.pipe(
	v.number("must be a number"),
	v.integer("must be a whole number"),
	v.minValue(1, "must be at least 1"),
	v.maxValue(maxTaskCount, `must be at most ${maxTaskCount}`),
);

const machineTypes = v.pipe(
	v.array(name, "must be a list or null"),
	v.minLength(1, "must not be empty"),
	v.maxLength(maxMachineTypes, `must name at most ${maxMachineTypes} types`),
);

const priority = v.picklist(
	["critical", "urgent", "normal", "best_effort"],
	"must be critical, urgent, normal or best_effort",
);

const JobBody = v.object({
	id: jobId,
	lane: name,
	desk: name,
	form: v.picklist(["array", "standing"], 'must be "array" or "standing"'),
	urgency: priority,
	pieces: taskCount,
	cores: positive,
	accelerators: nonNegative,
	ram_gb: nonNegative,
	shapes: orNull(machineTypes),
	hall: orNull(name),
	one_zone: boolean,
	spread: boolean,
	loaners: boolean,
	bundle: name,
	image_gb: nonNegative,
	guess_s: nonNegative,
	bookmark_s: nonNegative,
	bookmark_cost_s: nonNegative,
	due_s: orNull(positive),
});

/** True if the text has the form of a job id. */
export function isJobId(text: string): boolean {
	return v.is(jobId, text);
}

/** Returns the job id of a submission that may otherwise be malformed; null: it has no valid job id. */
export function jobIdOf(body: string): JobId | null {
	try {
		const { id } = JSON.parse(body) as { id?: unknown };
		return v.is(jobId, id) ? id : null;
	} catch {
		// The body is not JSON or has no fields, so it has no job id.
		return null;
	}
}

/** Parses a submission. Throws a MalformedMessageError that names the first invalid field. */
export function parseJobSpec(body: string): JobSpec {
	const job = checkShape(JobBody, parseObject(body));
	const isService = job.form === "standing";
	if (isService && job.guess_s !== 0) {
		throw new MalformedMessageError('field "guess_s" must be 0 for a standing job');
	}
	if (!isService && job.guess_s === 0) {
		throw new MalformedMessageError('field "guess_s" must be above 0');
	}
	return {
		id: job.id,
		form: isService ? "service" : "array",
		jobClass: job.lane,
		team: job.desk,
		priority: job.urgency,
		taskCount: job.pieces,
		cpus: job.cores,
		gpus: job.accelerators,
		memoryGb: job.ram_gb,
		machineTypes: job.shapes,
		zone: job.hall,
		singleZone: job.one_zone,
		spreadZones: job.spread,
		allowSpot: job.loaners,
		image: job.bundle,
		imageGb: job.image_gb,
		estimatedRunS: job.guess_s,
		checkpointIntervalS: job.bookmark_s,
		checkpointCostS: job.bookmark_cost_s,
		deadlineS: job.due_s,
	};
}

/**
 * Returns the response body with a job's status, and with the numbers of done and running tasks if they are given.
 */
export function jobResponseBody(id: JobId, status: JobStatus, counts?: { done: number; running: number }) {
	return counts ? { id, status, ...counts } : { id, status };
}
