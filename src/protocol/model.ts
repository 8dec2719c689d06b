/**
 * The service's own words for what passes over its interfaces. The words on the
 * wire appear only beside this file, which maps them.
 */
export type Priority = "critical" | "urgent" | "normal" | "best_effort";
export const priorityRank: Record<Priority, number> = {
	critical: 0,
	urgent: 1,
	normal: 2,
	best_effort: 3,
};

/**
 * array: independent tasks, each runs to completion. standing: replicas, which run until the job is
 * cancelled and run again wherever one ends.
 */
export type JobForm = "array" | "service";

export interface JobSpec {
	id: string;
	form: JobForm;
	jobClass: string;
	team: string;
	priority: Priority;
	taskCount: number;
	cpus: number;
	gpus: number;
	memoryGb: number;
	machineTypes: string[] | null;
	zone: string | null;
	singleZone: boolean;
	spreadZones: boolean;
	allowSpot: boolean;
	image: string;
	imageGb: number;
	estimatedRunS: number;
	checkpointIntervalS: number;
	checkpointCostS: number;
	deadlineS: number | null;
}

/** Its tasks are replicas. Every decision that differs by form asks this. */
export function isService({ form }: Pick<JobSpec, "form">): boolean {
	return form === "service";
}

/** What one task of a job takes, and of whose limit. */
export type TaskDemand = Pick<JobSpec, "team" | "cpus" | "gpus">;

/** What one task of the job takes. */
export function taskDemandOf({ team, cpus, gpus }: JobSpec): TaskDemand {
	return { team, cpus, gpus };
}

export type JobStatus = "pending" | "running" | "done" | "cancelled";

export interface MachineType {
	name: string;
	cpus: number;
	gpus: number;
	memoryGb: number;
	cacheGb: number;
	fetchGbPerS: number;
	price: number;
	spotPrice: number;
	bootS: number;
	zones: string[];
}

export type TaskState = "fetching" | "running" | "saving" | "exited";
export type ExitCause = "done" | "stopped" | "error" | "no_room" | "busy" | "unknown";

export interface TaskStatus {
	jobId: string;
	taskIndex: number;
	attempt: number;
	state: TaskState;
	exitCause: ExitCause | null;
	checkpointed: boolean;
}

export interface WorkerHeartbeat {
	machineId: string;
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	agentEpoch: number;
	sequence: number;
	fencingToken: number;
	reclaimInS: number | null;
	tasks: TaskStatus[];
}

export type Order =
	| { op: "start"; job: string; index: number; attempt: number }
	| { op: "stop"; job: string; index: number; attempt: number; graceS: number }
	| { op: "forget"; job: string; index: number; attempt: number };

export interface ListedMachine {
	id: string;
	endpoint: string;
	machineType: string;
	zone: string;
	spot: boolean;
	status: "booting" | "running" | "failed";
	ageS: number;
}
