/** Cancels jobs by replacing the live record by a final one. */

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

/** Maximum number of writes: one that fails because the job has changed is repeated on the job's new state. */
const maxWrites = 4;

/** Dependencies of the cancellation. */
export interface JobCancellationOptions {
	replica: StoreReplica;
	store: KeyValueStore;
	stateReader: JobStateReader;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
}

/**
 * Cancels a job by a write on the condition that its live record has not changed, so that a job ends only once, either
 * cancelled or done. The leader receives the change from the store and stops the tasks. Tests of the races are in
 * `tests/service/cancellation-races.test.ts`.
 */
export class JobCancellation {
	constructor(private readonly options: JobCancellationOptions) {}

	/** Cancels the job. Does not reject on errors of the store: reports an uncertain result as unavailable at once. */
	async cancel(id: JobId): Promise<JobLookup> {
		const { replica, stateReader, call } = this.options;
		try {
			for (let write = 0; write < maxWrites; write++) {
				const state = await stateReader.read(id);
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

	/** Returns true if the job is cancelled now, and false if its live record has changed in the meantime. */
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
