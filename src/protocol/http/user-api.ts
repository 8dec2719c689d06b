import * as v from "valibot";
import { amount, checkShape, flag, name, orNull, parseObject, positive } from "../checks.js";
import { MalformedMessageError } from "../errors.js";
import type { JobSpec, JobStatus } from "../model/job.js";

/** The users' API: wire words of jobs, mapped to the service's own. */

const jobId = v.pipe(v.string("must be a string"), v.regex(/^j-\d{1,18}$/, 'must look like "j-000412"'));
const JobBody = v.object({
	id: jobId,
	lane: name,
	desk: name,
	form: v.picklist(["array", "standing"], 'must be "array" or "standing"'),
	urgency: v.picklist(
		["critical", "urgent", "normal", "best_effort"],
		"must be critical, urgent, normal or best_effort",
	),
	pieces: v.pipe(
		v.number("must be a number"),
		v.integer("must be a whole number"),
		v.minValue(1, "must be at least 1"),
		v.maxValue(100_000, "must be at most 100000"),
	),
	cores: positive,
	accelerators: amount,
	ram_gb: amount,
	shapes: orNull(
		v.pipe(
			v.array(name, "must be a list or null"),
			v.minLength(1, "must not be empty"),
			v.maxLength(100, "must name at most 100 types"),
		),
	),
	hall: orNull(name),
	one_zone: flag,
	spread: flag,
	loaners: flag,
	bundle: name,
	image_gb: amount,
	guess_s: amount,
	bookmark_s: amount,
	bookmark_cost_s: amount,
	due_s: orNull(positive),
});

/** The id of a submission that may be malformed otherwise; null if it has none. */
export function jobIdOf(body: string): string | null {
	try {
		const { id } = JSON.parse(body) as { id?: unknown };
		return v.is(jobId, id) ? id : null;
	} catch {
		return null;
	}
}

export function isJobId(id: string): boolean {
	return v.is(jobId, id);
}

export function parseJobSpec(body: string): JobSpec {
	const job = checkShape(JobBody, parseObject(body));
	const standing = job.form === "standing";
	if (standing && job.guess_s !== 0) {
		throw new MalformedMessageError('field "guess_s" must be 0 for a standing job');
	}
	if (!standing && job.guess_s === 0) {
		throw new MalformedMessageError('field "guess_s" must be above 0');
	}
	return {
		id: job.id,
		form: standing ? "service" : "array",
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

export function jobResponseBody(id: string, status: JobStatus, counts?: { done: number; running: number }) {
	return counts ? { id, status, ...counts } : { id, status };
}
