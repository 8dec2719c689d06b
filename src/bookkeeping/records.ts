import type { JobSpec, MachineType } from "../protocol/model.js";

/**
 * What is kept in the state service. Everything that changes while jobs live is
 * below "r/", which every node watches. Jobs that are over move to "r/fin/",
 * which is never listed, so that start-up does not grow with history.
 */
export const keys = {
	root: "r/",
	leader: "r/one/leader",
	types: "r/one/types",
	one: "r/one/",
	jobs: "r/job/",
	sets: "r/set/",
	machines: "r/mach/",
	finals: "r/fin/",
	job: (id: string) => `r/job/${id}`,
	set: (id: string, page: number) => `r/set/${id}/${page}`,
	machine: (id: string) => `r/mach/${id}`,
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
}

export interface SetRecord {
	bits: string;
}

export interface MachineRecord {
	endpoint: string;
	type: string;
	zone: string;
	spot: boolean;
	session: number;
}

export interface TypesRecord {
	types: MachineType[];
}
