/** Jobs as described by their users, decoded from the names on the wire. */

import type { JobId } from "./identifiers.js";

/** The priority of a job, highest first: `critical`, `urgent`, `normal`, `best_effort`. */
export type Priority = "critical" | "urgent" | "normal" | "best_effort";

/** The rank of each priority. Jobs with smaller ranks come first. */
export const priorityRank: Readonly<Record<Priority, number>> = {
	critical: 0,
	urgent: 1,
	normal: 2,
	best_effort: 3,
};

/**
 * `array`: independent tasks, each of which runs to completion. `service`: replicas, which run until the job is
 * cancelled; a replica that ends is started again on any machine.
 */
export type JobForm = "array" | "service";

/** A job's description. It never changes once the job is accepted. */
export interface JobSpec {
	id: JobId;
	form: JobForm;
	/** The class of the job, by which service-level objectives select jobs. */
	jobClass: string;
	/** The team whose quota the job uses. */
	team: string;
	priority: Priority;
	/** Number of tasks, or of replicas. */
	taskCount: number;
	/** The resources that each task uses on its machine. */
	cpus: number;
	gpus: number;
	memoryGb: number;
	/** Machine types that the job may run on; null: any. */
	machineTypes: string[] | null;
	/** The only zone that the job may run in; null: any. */
	zone: string | null;
	/** All tasks must run in the same zone. */
	singleZone: boolean;
	/** At most half of the tasks, rounded up, may run in one zone. */
	spreadZones: boolean;
	/** The job may run on spot machines. */
	allowSpot: boolean;
	/** The image that a machine fetches before a task can start. */
	image: string;
	imageGb: number;
	/** The user's estimate of a task's run time without the image fetch; 0 for a service job. */
	estimatedRunS: number;
	/** The progress after which a running task saves a checkpoint by itself; 0: it never saves one. */
	checkpointIntervalS: number;
	/** The time that a task needs to save a checkpoint when it is stopped. */
	checkpointCostS: number;
	/** The time from submission until the job should be done; null: no deadline. */
	deadlineS: number | null;
}

/** True if the job's tasks are replicas. Every decision that depends on the form calls this function. */
export function isService({ form }: Pick<JobSpec, "form">): boolean {
	return form === "service";
}

/** The amount of its team's quota that one task of a job uses. */
export type TaskDemand = Pick<JobSpec, "team" | "cpus" | "gpus">;

/** Returns the amount of its team's quota that one task of the job uses. */
export function taskDemandOf({ team, cpus, gpus }: JobSpec): TaskDemand {
	return { team, cpus, gpus };
}

/** A job's status as shown to users: no task runs, some tasks run, all tasks are done, or the job is cancelled. */
export type JobStatus = "pending" | "running" | "done" | "cancelled";
