/** Accepts jobs: checks them and writes them to the store. */

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
import { infeasibilityReason } from "./job-feasibility.js";
import { type SubmitResult, unavailableResult } from "./job-results.js";
import type { JobStateReader } from "./job-state-reader.js";

/** What submission needs. */
export interface JobSubmissionOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	clock: Clock;
	states: JobStateReader;
	/** The quota of a team; undefined: there is no such team. */
	quotaOf(team: string): TeamQuota | undefined;
	/** The zones of the platform's settings; empty: the settings do not say. */
	zones: readonly string[];
	/** Largest value that the store takes. */
	maxValueBytes: number;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
}

/**
 * Accepts a job by creating its record, on the condition that neither a live nor a final record of that id is
 * there. So the same job submitted to several controllers at once is accepted by one of them.
 */
export class JobSubmission {
	constructor(private readonly options: JobSubmissionOptions) {}

	/** Never rejects because of the store: what is uncertain is answered as unavailable, at once. */
	async submit(spec: JobSpec): Promise<SubmitResult> {
		try {
			const known = await this.options.states.readReplica(spec.id);
			// Before any check of the job: settings may have changed since it was accepted.
			return known ? await this.duplicate(spec.id) : await this.submitNew(spec);
		} catch (error) {
			return unavailableResult(error);
		}
	}

	/** Submits a job that the replica does not know, which another controller may have accepted nevertheless. */
	private async submitNew(spec: JobSpec): Promise<SubmitResult> {
		const { replica, replicaSync, clock } = this.options;
		replicaSync.assertResponsive();
		const types = replica.machineTypes?.value;
		if (!replica.loaded || !types) {
			return { kind: "unavailable", reason: "the machine types are not known yet" };
		}
		// A controller that does not know services would run their replicas to an end, like tasks of an array.
		if (isService(spec) && !replica.features.serviceJobs) {
			return { kind: "unavailable", reason: "not all controllers are known to serve standing jobs yet" };
		}
		const record = encodeJobRecord({ spec, acceptedAt: clock.date().getTime() });
		const refusal = this.refusalOf(spec, record, types);
		return refusal ? this.refuse(spec.id, refusal) : this.accept(spec.id, record);
	}

	private refusalOf(spec: JobSpec, record: StoredJobRecord, types: MachineType[]): SubmitResult | null {
		const { zones, quotaOf, maxValueBytes } = this.options;
		// A zone that does not exist is a mistake in the field; one that offers no fitting type is not.
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

	/** Refuses a job, unless it is certain that it was accepted earlier: that may not be taken back. */
	private async refuse(id: JobId, refusal: SubmitResult): Promise<SubmitResult> {
		const known = await this.options.states.read(id);
		return known ? { kind: "duplicate", status: known.status } : refusal;
	}

	private async accept(id: JobId, record: StoredJobRecord): Promise<SubmitResult> {
		const { store, replica, call } = this.options;
		const key = keys.job(id);
		const isNew = [
			{ key, revision: 0 },
			{ key: keys.final(id), revision: 0 },
		];
		const result = await store.compareAndSwap(isNew, [{ put: key, value: record }], "user");
		if (!result.swapped) return this.duplicate(id);
		await call(() => replica.applyConfirmedWrite(key, record, result.revision));
		return { kind: "accepted", status: "pending" };
	}

	private async duplicate(id: JobId): Promise<SubmitResult> {
		const state = await this.options.states.read(id);
		if (!state) return { kind: "unavailable", reason: "the job's state is not certain for now" };
		return { kind: "duplicate", status: state.status };
	}
}
