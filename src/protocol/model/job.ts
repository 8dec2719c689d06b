/** Jobs as their users describe them, in the service's own terms. */

import type { JobId } from "./identifiers.js";

/** How important a job is: `critical` before `urgent` before `normal` before `best_effort`. */
export type Priority = "critical" | "urgent" | "normal" | "best_effort";

/** Smaller ranks come first. */
export const priorityRank: Readonly<Record<Priority, number>> = {
	critical: 0,
	urgent: 1,
	normal: 2,
	best_effort: 3,
};

/**
 * `array`: independent tasks, each of which runs to completion. `service`: replicas, which run until the job
 * is cancelled and are started again wherever one ends.
 */
export type JobForm = "array" | "service";

/** A job's description. It never changes once the job is accepted. */
export interface JobSpec {
	id: JobId;
	form: JobForm;
	/** The class of jobs that service-level objectives speak of. */
	jobClass: string;
	/** Whose quota the job uses. */
	team: string;
	priority: Priority;
	/** Number of tasks, or of replicas. */
	taskCount: number;
	/** What each task takes of its machine. */
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
	/** Image that a machine fetches before a task can start. */
	image: string;
	imageGb: number;
	/** The owner's estimate of a task's run time without the image fetch; 0 for a service. */
	estimatedRunS: number;
	/** Progress after which a running task saves a checkpoint by itself; 0: it never saves. */
	checkpointIntervalS: number;
	/** Time that a task needs to save a checkpoint when it is stopped. */
	checkpointCostS: number;
	/** When the job should be done, counted from its submission; null: no deadline. */
	deadlineS: number | null;
}

/** Whether the job's tasks are replicas. Every decision that differs by form asks this. */
export function isService({ form }: Pick<JobSpec, "form">): boolean {
	return form === "service";
}

/** What one task of a job takes of its team's quota. */
export type TaskDemand = Pick<JobSpec, "team" | "cpus" | "gpus">;

/** What one task of the job takes of its team's quota. */
export function taskDemandOf({ team, cpus, gpus }: JobSpec): TaskDemand {
	return { team, cpus, gpus };
}

/** A job's state as users see it: no task runs, some run, all are done, or the job is cancelled. */
export type JobStatus = "pending" | "running" | "done" | "cancelled";
