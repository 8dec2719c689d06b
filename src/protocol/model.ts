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
export type JobForm = "array" | "standing";

export interface JobSpec {
	id: string;
	/** Records of versions before 0.5.0 have none: they are arrays. */
	form?: JobForm;
	lane: string;
	team: string;
	priority: Priority;
	tasks: number;
	cpus: number;
	gpus: number;
	memoryGb: number;
	types: string[] | null;
	zone: string | null;
	oneZone: boolean;
	spread: boolean;
	spot: boolean;
	image: string;
	imageGb: number;
	estimateS: number;
	checkpointS: number;
	saveS: number;
	deadlineS: number | null;
}

/** Its tasks are replicas. Every decision that differs by form asks this. */
export function isStanding({ form }: Pick<JobSpec, "form">): boolean {
	return form === "standing";
}

/** What one task of a job takes, and of whose limit. */
export type Demand = Pick<JobSpec, "team" | "cpus" | "gpus">;

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

export interface ReportedTask {
	job: string;
	index: number;
	attempt: number;
	state: TaskState;
	cause: ExitCause | null;
	saved: boolean;
}

export interface WorkerReport {
	machine: string;
	endpoint: string;
	type: string;
	zone: string;
	spot: boolean;
	session: number;
	seq: number;
	token: number;
	noticeS: number | null;
	tasks: ReportedTask[];
}

export type Order =
	| { op: "start"; job: string; index: number; attempt: number }
	| { op: "stop"; job: string; index: number; attempt: number; graceS: number }
	| { op: "forget"; job: string; index: number; attempt: number };

export interface ListedMachine {
	id: string;
	endpoint: string;
	type: string;
	zone: string;
	spot: boolean;
	status: "booting" | "running" | "failed";
	ageS: number;
}
