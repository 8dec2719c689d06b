/** Cancels jobs: replaces the record of a live job by a final one. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { Versioned } from "../../bookkeeping/versioned.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { taskDemandOf } from "../../protocol/model/job.js";
import { encodeFinalRecord } from "../../protocol/records/final-record.js";
import type { JobRecord } from "../../protocol/records/job-record.js";
import { keys } from "../../protocol/records/keys.js";
import type { KeyValueStore } from "../ports/store.js";
import { type JobLookup, type JobState, unavailableResult } from "./job-results.js";
import type { JobStateReader } from "./job-state-reader.js";

/** A write that meets a change of the job is tried again on its new state, but only so often. */
const maxAttempts = 4;

/** What cancellation needs. */
export interface JobCancellationOptions {
	replica: StoreReplica;
	store: KeyValueStore;
	states: JobStateReader;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
}

/**
 * Cancels a job by a write on the condition that its live record has not changed, so that a job ends once:
 * cancelled or done. The leader learns of it from the store and stops the tasks. Tests of the races are in
 * `tests/service/cancellation-races.test.ts`.
 */
export class JobCancellation {
	constructor(private readonly options: JobCancellationOptions) {}

	/** Never rejects because of the store: what is uncertain is answered as unavailable, at once. */
	async cancel(id: JobId): Promise<JobLookup> {
		const { replica, states, call } = this.options;
		try {
			for (let attempt = 0; attempt < maxAttempts; attempt++) {
				const state = await states.read(id);
				if (!state) return { kind: "not-found" };
				if (state.status === "done" || state.status === "cancelled") return { kind: "found", ...state };
				const record = await call(() => replica.jobs.get(id));
				if (record && (await this.writeFinal(id, record, state))) {
					return { kind: "found", status: "cancelled", done: state.done, running: 0 };
				}
			}
			return { kind: "unavailable", reason: "the job is changing too fast" };
		} catch (error) {
			return unavailableResult(error);
		}
	}

	/** Returns whether the job is cancelled now; otherwise its record has changed meanwhile. */
	private async writeFinal(id: JobId, live: Versioned<JobRecord>, state: JobState): Promise<boolean> {
		const { replica, store, call } = this.options;
		const { spec } = live.value;
		const value = encodeFinalRecord({
			status: "cancelled",
			taskCount: spec.taskCount,
			doneCount: state.done,
			demand: taskDemandOf(spec),
		});
		const unchanged = [{ key: keys.job(id), revision: live.revision }];
		const changes = [{ delete: keys.job(id) }, { put: keys.final(id), value }];
		const result = await store.compareAndSwap(unchanged, changes, "user");
		if (!result.swapped) return false;
		await call(() => replica.applyConfirmedWrite(keys.final(id), value, result.revision));
		return true;
	}
}
