import * as v from "valibot";
import { amount, count, name } from "../checks.js";

/** What leader and placers tell each other of free machines and of tasks to start. */

export const ViewMachineSchema = v.object({
	id: name,
	type: name,
	zone: name,
	spot: v.boolean(),
	cpus: v.number(),
	gpus: v.number(),
	memory: v.number(),
	slots: amount,
	images: v.array(v.string()),
});

export const GrantSchema = v.object({
	job: name,
	count,
	avoid: v.array(v.string()),
	zones: v.record(v.string(), v.number()),
	beside: v.optional(v.array(v.string())),
});

export const PlacementSchema = v.object({ job: name, machine: name, count });

/** A machine as the leader's view of free capacity shows it. */
export interface ViewMachine {
	id: string;
	type: string;
	zone: string;
	spot: boolean;
	/** Free amounts. */
	cpus: number;
	gpus: number;
	memory: number;
	/** Most tasks that may be added. */
	slots: number;
	/** Images that it should have in its cache. */
	images: string[];
}

/** How many tasks of a job may start now, by quota and order; decided by the leader. */
export interface Grant {
	job: string;
	count: number;
	/** Machines on which this job's tasks failed. */
	avoid: string[];
	/** The job's tasks that may be anywhere, by zone. */
	zones: Record<string, number>;
	/** Machines that may hold replicas of the job already; left out by versions before 0.5.0. */
	beside?: string[] | undefined;
}

/** A placer's proposal: so many tasks of the job on the machine. */
export interface Placement {
	job: string;
	machine: string;
	count: number;
}
