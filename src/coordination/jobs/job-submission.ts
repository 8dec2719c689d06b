/** Accepts jobs: validates them and writes them to the store. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { isService, type JobSpec } from "../../protocol/model/job.js";
import type { MachineType } from "../../protocol/model/machine.js";
import type { TeamQuota } from "../../protocol/model/team-quota.js";
import { encodeJobRecord, type StoredJobRecord } from "../../protocol/records/job-record.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock } from "../ports/clock.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";
import type { JobCapacity } from "./job-capacity.js";
import { infeasibilityReason } from "./job-feasibility.js";
import { type SubmitResult, unavailableResult } from "./job-results.js";
import type { JobStateReader } from "./job-state-reader.js";

/** Users submit a job again this long after it was refused for lack of memory. */
const overloadRetryS = 10;

/** No job is accepted by a replica that is older than this: it would not show what other controllers have accepted. */
const maxReplicaAgeMs = 10_000;

/** Dependencies of the submission. */
export interface JobSubmissionOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	clock: Clock;
	stateReader: JobStateReader;
	capacity: JobCapacity;
	/** Returns the quota of a team; undefined: there is no such team. */
	quotaOf(team: string): TeamQuota | undefined;
	/** The zones in the platform's settings; empty: the settings do not list them. */
	zones: readonly string[];
	/** Size limit of a value in the store. */
	maxValueBytes: number;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
}

/**
 * Accepts a job by creating its record, on the condition that the store has neither a live nor a final record with its
 * id. So a job that is submitted to several controllers at the same time is accepted by only one of them.
 */
export class JobSubmission {
	constructor(private readonly options: JobSubmissionOptions) {}

	/** Submits a job. Does not reject on errors of the store: reports an uncertain result as unavailable at once. */
	async submit(spec: JobSpec): Promise<SubmitResult> {
		try {
			const replicaState = await this.options.stateReader.readReplica(spec.id);
			// Checked before the job is validated: settings may have changed since it was accepted.
			return replicaState ? await this.duplicateResult(spec.id) : await this.submitNew(spec);
		} catch (error) {
			return unavailableResult(error);
		}
	}

	/** Submits a job that is not in the replica; another controller may have accepted it already. */
	private async submitNew(spec: JobSpec): Promise<SubmitResult> {
		const { replica, replicaSync, clock } = this.options;
		replicaSync.assertResponsive();
		if (clock.now() - replicaSync.syncedAt > maxReplicaAgeMs)
			return { kind: "unavailable", reason: "the changes of the state service do not arrive for now" };
		const types = replica.machineTypes?.value;
		if (!replica.loaded || !types) {
			return { kind: "unavailable", reason: "the machine types are not known yet" };
		}
		// A controller without support for service jobs would treat their replicas as tasks of an array job, which end.
		if (isService(spec) && !replica.features.serviceJobs) {
			return { kind: "unavailable", reason: "not all controllers are known to serve standing jobs yet" };
		}
		const record = encodeJobRecord({ spec, acceptedAt: clock.date().getTime() });
		const refusal = this.validate(spec, record, types);
		return refusal ? this.refuse(spec.id, refusal) : this.acceptWithinCapacity(spec, record);
	}

	private validate(spec: JobSpec, record: StoredJobRecord, types: MachineType[]): SubmitResult | null {
		const { zones, quotaOf, maxValueBytes } = this.options;
		// An unknown zone is a malformed field; an existing zone without a fitting machine type is a rejection.
		if (spec.zone !== null && zones.length > 0 && !zones.includes(spec.zone)) {
			return { kind: "malformed", reason: `field "hall": there is no zone "${spec.zone}"` };
		}
		const infeasible = infeasibilityReason(spec, quotaOf(spec.team), types);
		if (infeasible !== null) return { kind: "rejected", reason: infeasible };
		if (Buffer.byteLength(JSON.stringify(record)) > maxValueBytes) {
			return { kind: "rejected", reason: "the job's description is too long to be kept" };
		}
		return null;
	}

	/** Refuses a job, unless it was accepted earlier: an accepted job must not be refused later. */
	private async refuse(id: JobId, refusal: SubmitResult): Promise<SubmitResult> {
		const existing = await this.options.stateReader.read(id);
		return existing ? { kind: "duplicate", status: existing.status } : refusal;
	}

	/** Accepts the job if every controller, as the leader, can hold it beside the accepted ones. */
	private async acceptWithinCapacity(spec: JobSpec, record: StoredJobRecord): Promise<SubmitResult> {
		const { capacity, replicaSync, call } = this.options;
		if (await call(() => capacity.scarce)) await replicaSync.readBarrier();
		const reservation = await call(() => capacity.reserve(spec));
		if (!reservation) {
			const reason = "as many jobs are accepted as the controllers can hold";
			return { kind: "overloaded", reason, retryAfterS: overloadRetryS };
		}
		try {
			return await this.accept(spec.id, record);
		} finally {
			await call(() => reservation.release());
		}
	}

	private async accept(id: JobId, record: StoredJobRecord): Promise<SubmitResult> {
		const { store, replica, call } = this.options;
		const key = keys.job(id);
		const noRecord = [
			{ key, revision: 0 },
			{ key: keys.final(id), revision: 0 },
		];
		const result = await store.compareAndSwap(noRecord, [{ put: key, value: record }], "user");
		if (!result.swapped) return this.duplicateResult(id);
		await call(() => replica.applyConfirmedWrite(key, record, result.revision));
		return { kind: "accepted", status: "pending" };
	}

	private async duplicateResult(id: JobId): Promise<SubmitResult> {
		const state = await this.options.stateReader.read(id);
		if (!state) return { kind: "unavailable", reason: "the job's state is not certain for now" };
		return { kind: "duplicate", status: state.status };
	}
}
