import type { Demand, JobSpec, MachineType } from "../protocol/model.js";

/**
 * What is kept in the state service. Everything that changes while jobs live is
 * below "r/", which every node watches. Jobs that are over move to "r/fin/",
 * which is never listed, so that start-up does not grow with history.
 */
export const keys = {
	root: "r/",
	leader: "r/one/leader",
	types: "r/one/types",
	able: "r/one/able",
	one: "r/one/",
	jobs: "r/job/",
	/** Done-sets of live jobs, many to a value. */
	progress: "r/prog/",
	/** Machines that may hold tasks, many to a value. */
	machines: "r/machs/",
	finals: "r/fin/",
	job: (id: string) => `r/job/${id}`,
	final: (id: string) => `r/fin/${id}`,
} as const;

export interface LeaderRecord {
	node: string;
	incarnation: string;
}

export interface JobRecord {
	spec: JobSpec;
	/** Time of day of acceptance in milliseconds: for order and due times, never for safety. */
	at: number;
}

export interface FinalRecord {
	status: "done" | "cancelled";
	tasks: number;
	done: number;
	/** What a task of it took, for leaders that meet one and never knew the job; not in records before 0.4.0. */
	demand?: Demand;
}

export function demandOf({ team, cpus, gpus }: JobSpec): Demand {
	return { team, cpus, gpus };
}

/** Several small records in one value, by their names. */
export interface SharedRecord<V> {
	entries: Record<string, V>;
}

/** Name of a page of a job's done-set; its value is the page's bitmap as text. */
export function pageName(job: string, page: number): string {
	return `${job}/${page}`;
}

export function pageOf(name: string): { job: string; page: number } {
	const at = name.lastIndexOf("/");
	return { job: name.slice(0, at), page: Number(name.slice(at + 1)) };
}

export interface MachineRecord {
	endpoint: string;
	type: string;
	zone: string;
	spot: boolean;
	session: number;
}

/** What every controller has been seen to be able to do. */
export interface AbleRecord {
	standing?: boolean;
}

export interface TypesRecord {
	types: MachineType[];
}
