import { typeFits } from "../../bookkeeping/machine-fit.js";
import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import { MalformedMessageError } from "../../protocol/errors.js";
import { isService, type JobSpec, type JobStatus, taskDemandOf } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import {
	decodeFinalRecord,
	encodeFinalRecord,
	type FinalJobRecord,
} from "../../protocol/records/final-record.js";
import { encodeJobRecord, type JobRecord, type StoredJobRecord } from "../../protocol/records/job-record.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { Clock } from "../ports/clock.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";

export interface JobState {
	status: JobStatus;
	done: number;
	running: number;
}

export type SubmitResult =
	| { kind: "accepted" | "known"; status: JobStatus }
	| { kind: "impossible"; reason: string }
	| { kind: "malformed"; reason: string }
	| { kind: "later"; reason: string };

export type JobLookup =
	| ({ kind: "job" } & JobState)
	| { kind: "unknown" }
	| { kind: "later"; reason: string };

const unreadable = { kind: "later", reason: "the job's record cannot be read by this version" } as const;
const notNow = { kind: "later", reason: "the state service does not answer for now" } as const;

/**
 * Why a job can never run here, or null. Zone rules alone never make an array impossible: its
 * tasks need not run at the same time, so one zone takes half of them after the other.
 */
export function reasonImpossible(
	spec: JobSpec,
	team: TeamQuota | undefined,
	types: Parameters<typeof typeFits>[1][],
): string | null {
	if (!team) return `there is no team "${spec.team}"`;
	if (spec.cpus > team.limit.cpus || spec.gpus > team.limit.gpus) {
		return `a task needs more than the limit of team "${spec.team}"`;
	}
	const fitting = types.filter((type) => typeFits(spec, type));
	if (fitting.length === 0) return "a task fits no allowed machine type";
	return isService(spec) ? impossibleTogether(spec, team, fitting) : null;
}

/** Replicas run all at the same time. */
function impossibleTogether(spec: JobSpec, team: TeamQuota, fitting: MachineType[]): string | null {
	if (spec.taskCount * spec.cpus > team.limit.cpus || spec.taskCount * spec.gpus > team.limit.gpus) {
		return `all replicas together need more than the limit of team "${spec.team}"`;
	}
	const zones = new Set(fitting.flatMap((type) => type.zones));
	const oneZone = spec.singleZone || spec.zone !== null || zones.size < 2;
	if (spec.spreadZones && oneZone && Math.ceil(spec.taskCount / 2) < spec.taskCount) {
		return "the replicas can't be spread over zones: they are allowed in one only";
	}
	return null;
}

/**
 * Takes, answers and cancels jobs straight against the store, on every node, so
 * that users need no leader. What cannot be answered with certainty is answered
 * 503 at once.
 */
export class JobService {
	constructor(
		private readonly storeCopy: StoreReplica,
		private readonly storeSync: ReplicaSync,
		private readonly store: KeyValueStore,
		private readonly time: Clock,
		private readonly limitsOf: (team: string) => TeamQuota | undefined,
		/** Empty: not told. */
		private readonly zones: readonly string[],
		private readonly valueKb: number,
		private readonly enqueue: <T>(command: () => T) => Promise<T>,
		private readonly running: (id: string) => number,
	) {}

	async submit(spec: JobSpec): Promise<SubmitResult> {
		try {
			const held = await this.enqueue(() => this.stateNow(spec.id));
			// A known id is answered before any check: settings may have changed since.
			if (held) return await this.known(spec.id);
			this.storeSync.assertResponsive();
			const types = this.storeCopy.machineTypes?.value;
			if (!this.storeCopy.loaded || !types) {
				return { kind: "later", reason: "the machine types are not known yet" };
			}
			// A controller that does not know this form would run its replicas to an end.
			if (isService(spec) && !this.storeCopy.features.serviceJobs) {
				return { kind: "later", reason: "not all controllers are known to serve standing jobs yet" };
			}
			const record: JobRecord = { spec, acceptedAt: this.time.date().getTime() };
			const value = encodeJobRecord(record);
			const refused = this.refusal(spec, value, types);
			if (refused) {
				const known = await this.currentState(spec.id);
				return known ? { kind: "known", status: known.status } : refused;
			}
			const key = keys.job(spec.id);
			const result = await this.store.compareAndSwap(
				[
					{ key, revision: 0 },
					{ key: keys.final(spec.id), revision: 0 },
				],
				[{ put: key, value }],
				"user",
			);
			if (!result.swapped) return await this.known(spec.id);
			await this.enqueue(() => this.storeCopy.applyOwnWrite(key, value, result.revision));
			return { kind: "accepted", status: "pending" };
		} catch (error) {
			return later(error);
		}
	}

	private refusal(spec: JobSpec, value: StoredJobRecord, types: MachineType[]): SubmitResult | null {
		// A zone that does not exist is a mistake in the field; one that offers no fitting type is not.
		if (spec.zone !== null && this.zones.length > 0 && !this.zones.includes(spec.zone)) {
			return { kind: "malformed", reason: `field "hall": there is no zone "${spec.zone}"` };
		}
		const size = Buffer.byteLength(JSON.stringify(value));
		const reason =
			reasonImpossible(spec, this.limitsOf(spec.team), types) ??
			(size > this.valueKb * 1024 ? "the job's description is too long to be kept" : null);
		return reason === null ? null : { kind: "impossible", reason };
	}

	private async known(id: string): Promise<SubmitResult> {
		const state = await this.currentState(id);
		return state
			? { kind: "known", status: state.status }
			: { kind: "later", reason: "the job's state is not certain for now" };
	}

	async status(id: string): Promise<JobLookup> {
		try {
			const state = await this.currentState(id);
			return state ? { kind: "job", ...state } : { kind: "unknown" };
		} catch (error) {
			return later(error);
		}
	}

	async cancel(id: string): Promise<JobLookup> {
		try {
			for (let tries = 0; tries < 4; tries++) {
				const state = await this.currentState(id);
				if (!state) return { kind: "unknown" };
				if (state.status === "done" || state.status === "cancelled") return { kind: "job", ...state };
				const record = await this.enqueue(() => this.storeCopy.jobs.get(id));
				if (!record) continue;
				const final: FinalJobRecord = {
					status: "cancelled",
					taskCount: record.value.spec.taskCount,
					doneCount: state.done,
					demand: taskDemandOf(record.value.spec),
				};
				const value = encodeFinalRecord(final);
				const result = await this.store.compareAndSwap(
					[{ key: keys.job(id), revision: record.revision }],
					[{ delete: keys.job(id) }, { put: keys.final(id), value }],
					"user",
				);
				if (result.swapped) {
					await this.enqueue(() => this.storeCopy.applyOwnWrite(keys.final(id), value, result.revision));
					return { kind: "job", status: "cancelled", done: state.done, running: 0 };
				}
			}
			return { kind: "later", reason: "the job is changing too fast" };
		} catch (error) {
			return later(error);
		}
	}

	/** The state as of some moment after the call; null: no such job. */
	private async currentState(id: string): Promise<JobState | null> {
		const final = await this.enqueue(() => this.finalNow(id));
		// A final state never changes and needs no check.
		if (final) return final;
		await this.storeSync.readBarrier();
		const state = await this.enqueue(() => this.stateNow(id));
		if (state) return state;
		// The copy may have been made anew, from rows read earlier, since it was asked. That a job
		// is nowhere is said only when neither of its keys is there, the live one looked for first.
		const live = await this.store.read(keys.job(id));
		if (live.row) throw new CallError("not executed", 0, "the job is not in the local copy yet");
		const { row } = await this.store.read(keys.final(id));
		if (!row) return null;
		const record = decodeFinalRecord(row.value);
		await this.enqueue(() => this.storeCopy.recordFinal(id, record, row.revision));
		return stateOf(record);
	}

	private finalNow(id: string): JobState | null {
		const final = this.storeCopy.finalRecords.get(id);
		return final ? stateOf(final) : null;
	}

	private stateNow(id: string): JobState | null {
		const final = this.finalNow(id);
		if (final) return final;
		const record = this.storeCopy.jobs.get(id);
		if (!record) return null;
		const running = this.running(id);
		return { status: running > 0 ? "running" : "pending", done: this.storeCopy.doneCount(id), running };
	}
}

function stateOf(final: FinalJobRecord): JobState {
	return { status: final.status, done: final.doneCount, running: 0 };
}

function later(error: unknown): { kind: "later"; reason: string } {
	if (error instanceof CallError) return notNow;
	if (error instanceof MalformedMessageError) return unreadable;
	throw error;
}
