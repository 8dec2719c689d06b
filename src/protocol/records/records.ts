import * as v from "valibot";
import { amount, checkShape, count, flag, MalformedMessageError, name, positive } from "../checks.js";
import type { Demand, JobSpec, MachineType } from "../model.js";

/**
 * What is kept in the state service. Everything that changes while jobs live is
 * below "r/", which every node watches. Jobs that are over move to "r/fin/",
 * which is never listed, so that start-up does not grow with history.
 *
 * Keys and field names are data of the versions in production: they stay as they are.
 */
export const keys = {
	root: "r/",
	leader: "r/one/leader",
	types: "r/one/types",
	features: "r/one/able",
	one: "r/one/",
	jobs: "r/job/",
	/** Done-sets of live jobs, many to a value. */
	progress: "r/prog/",
	/** Machines that may hold tasks, many to a value. */
	machines: "r/machs/",
	finals: "r/fin/",
	/** Team quota's records, many to a value, read and written by its package. */
	quota: "r/quota/",
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

export interface TerminalRecord {
	status: "done" | "cancelled";
	tasks: number;
	done: number;
	/** What a task of it took, for leaders that meet one and never knew the job; not in records before 0.4.0. */
	demand?: Demand | undefined;
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

/** Features that every controller has said it supports, so that they may be used. */
export interface FeaturesRecord {
	standing?: boolean | undefined;
	/** Team quota; once it is here, leaders divide limits from the beginning of their terms. */
	quota?: boolean | undefined;
}

export interface TypesRecord {
	types: MachineType[];
}

/** A value of the store with the kind that its key gives it. */
export type StoredRecord =
	| { kind: "job"; id: string; value: JobRecord }
	| { kind: "final"; id: string; value: TerminalRecord }
	| { kind: "progress"; value: SharedRecord<string> }
	| { kind: "machines"; value: SharedRecord<MachineRecord> }
	| { kind: "leader"; value: LeaderRecord }
	| { kind: "features"; value: FeaturesRecord }
	| { kind: "types"; value: TypesRecord }
	/** As it is: the package checks it. */
	| { kind: "quota"; value: unknown }
	/** Of another version: nothing that this one reads. */
	| { kind: "other" };

const DemandSchema = v.looseObject({ team: name, cpus: amount, gpus: amount });

const SpecSchema = v.looseObject({
	id: name,
	/** Records of versions before 0.5.0 have none. */
	form: v.optional(v.picklist(["array", "standing"])),
	lane: v.string(),
	team: name,
	priority: v.picklist(["critical", "urgent", "normal", "best_effort"]),
	tasks: v.pipe(count, v.minValue(1)),
	cpus: positive,
	gpus: amount,
	memoryGb: amount,
	types: v.nullable(v.array(v.string())),
	zone: v.nullable(v.string()),
	oneZone: flag,
	spread: flag,
	spot: flag,
	image: v.string(),
	imageGb: amount,
	estimateS: amount,
	checkpointS: amount,
	saveS: amount,
	deadlineS: v.nullable(amount),
});

const JobSchema = v.looseObject({ spec: SpecSchema, at: v.number() });

const FinalSchema = v.looseObject({
	status: v.picklist(["done", "cancelled"]),
	tasks: count,
	done: count,
	demand: v.optional(DemandSchema),
});

const MachineSchema = v.looseObject({
	endpoint: v.string(),
	type: v.string(),
	zone: v.string(),
	spot: flag,
	session: count,
});

const ProgressSchema = v.looseObject({ entries: v.record(v.string(), v.string()) });
const MachinesSchema = v.looseObject({ entries: v.record(v.string(), MachineSchema) });
const LeaderSchema = v.looseObject({ node: v.string(), incarnation: v.string() });
const FeaturesSchema = v.looseObject({
	standing: v.optional(v.boolean()),
	quota: v.optional(v.boolean()),
});

const TypeSchema = v.looseObject({
	name,
	cpus: amount,
	gpus: amount,
	memoryGb: amount,
	cacheGb: amount,
	fetchGbPerS: amount,
	price: amount,
	spotPrice: amount,
	bootS: amount,
	zones: v.array(v.string()),
});
const TypesSchema = v.looseObject({ types: v.array(TypeSchema) });

/** The record of a job that is over. Throws a MalformedMessageError. */
export function parseTerminal(value: unknown): TerminalRecord {
	return checkShape(FinalSchema, value);
}

/** Throws a MalformedMessageError for a value that is not of the form that its key asks for. */
export function parseStored(key: string, value: unknown): StoredRecord {
	if (key.startsWith(keys.jobs)) {
		const id = key.slice(keys.jobs.length);
		const record = checkShape(JobSchema, value);
		if (record.spec.id !== id) throw new MalformedMessageError(`field "spec.id" must be "${id}"`);
		return { kind: "job", id, value: record };
	}
	if (key.startsWith(keys.finals)) {
		return { kind: "final", id: key.slice(keys.finals.length), value: parseTerminal(value) };
	}
	if (key.startsWith(keys.progress)) return { kind: "progress", value: checkShape(ProgressSchema, value) };
	if (key.startsWith(keys.machines)) return { kind: "machines", value: checkShape(MachinesSchema, value) };
	if (key.startsWith(keys.quota)) return { kind: "quota", value };
	if (key === keys.leader) return { kind: "leader", value: checkShape(LeaderSchema, value) };
	if (key === keys.features) return { kind: "features", value: checkShape(FeaturesSchema, value) };
	if (key === keys.types) return { kind: "types", value: checkShape(TypesSchema, value) };
	return { kind: "other" };
}
