/** Records of live jobs, stored below `r/job/` with one value for each job. */

import * as v from "valibot";
import { MalformedMessageError } from "../errors.js";
import type { JobId } from "../model/identifiers.js";
import type { JobSpec } from "../model/job.js";
import { boolean, checkShape, name, nonNegative, nonNegativeInteger, positive } from "../schema-checks.js";

/** The record of a live job. */
export interface JobRecord {
	spec: JobSpec;
	/** Time of day of the acceptance, in milliseconds. It is used for ordering and deadlines, never for safety. */
	acceptedAt: number;
}

const StoredSpecSchema = v.looseObject({
	id: name,
	/** Versions before 0.5.0 support only array jobs and do not write the field. */
	form: v.optional(v.picklist(["array", "standing"])),
	lane: v.string(),
	team: name,
	priority: v.picklist(["critical", "urgent", "normal", "best_effort"]),
	tasks: v.pipe(nonNegativeInteger, v.minValue(1)),
	cpus: positive,
	gpus: nonNegative,
	memoryGb: nonNegative,
	types: v.nullable(v.array(v.string())),
	zone: v.nullable(v.string()),
	oneZone: boolean,
	spread: boolean,
	spot: boolean,
	image: v.string(),
	imageGb: nonNegative,
	estimateS: nonNegative,
	checkpointS: nonNegative,
	saveS: nonNegative,
	deadlineS: v.nullable(nonNegative),
});

const StoredJobSchema = v.looseObject({ spec: StoredSpecSchema, at: v.number() });

/** The stored form of a job's description. */
type StoredJobSpec = v.InferOutput<typeof StoredSpecSchema>;

/** The stored form of a live job's record. */
export type StoredJobRecord = v.InferOutput<typeof StoredJobSchema>;

/** Encodes a live job's record in its stored form. */
export function encodeJobRecord({ spec, acceptedAt }: JobRecord): StoredJobRecord {
	return { spec: encodeSpec(spec), at: acceptedAt };
}

function encodeSpec(spec: JobSpec): StoredJobSpec {
	return {
		id: spec.id,
		form: spec.form === "service" ? "standing" : "array",
		lane: spec.jobClass,
		team: spec.team,
		priority: spec.priority,
		tasks: spec.taskCount,
		cpus: spec.cpus,
		gpus: spec.gpus,
		memoryGb: spec.memoryGb,
		types: spec.machineTypes,
		zone: spec.zone,
		oneZone: spec.singleZone,
		spread: spec.spreadZones,
		spot: spec.allowSpot,
		image: spec.image,
		imageGb: spec.imageGb,
		estimateS: spec.estimatedRunS,
		checkpointS: spec.checkpointIntervalS,
		saveS: spec.checkpointCostS,
		deadlineS: spec.deadlineS,
	};
}

/** Decodes a stored job. Throws a MalformedMessageError that names the first invalid field. */
export function decodeJobRecord(id: JobId, value: unknown): JobRecord {
	const { spec, at } = checkShape(StoredJobSchema, value);
	if (spec.id !== id) throw new MalformedMessageError(`field "spec.id" must be "${id}"`);
	return { spec: decodeSpec(spec), acceptedAt: at };
}

function decodeSpec(stored: StoredJobSpec): JobSpec {
	return {
		id: stored.id,
		form: stored.form === "standing" ? "service" : "array",
		jobClass: stored.lane,
		team: stored.team,
		priority: stored.priority,
		taskCount: stored.tasks,
		cpus: stored.cpus,
		gpus: stored.gpus,
		memoryGb: stored.memoryGb,
		machineTypes: stored.types,
		zone: stored.zone,
		singleZone: stored.oneZone,
		spreadZones: stored.spread,
		allowSpot: stored.spot,
		image: stored.image,
		imageGb: stored.imageGb,
		estimatedRunS: stored.estimateS,
		checkpointIntervalS: stored.checkpointS,
		checkpointCostS: stored.saveS,
		deadlineS: stored.deadlineS,
	};
}
