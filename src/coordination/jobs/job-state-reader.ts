/** Reads the state of jobs so that no answer is older than one that any controller has given before. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { decodeFinalRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";
import { type JobState, stateOfFinal } from "./job-results.js";

/** What the reader needs. */
export interface JobStateReaderOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
	/** Tasks of the job that run, as the leader last said. */
	runningTaskCount(id: JobId): number;
}

/** Answers from the replica where that is certain to be recent enough, and from the store otherwise. */
export class JobStateReader {
	constructor(private readonly options: JobStateReaderOptions) {}

	/**
	 * The job's state as of some moment after the call; null: there is no such job. Rejects with a CallError when
	 * that is not certain, and with a MalformedMessageError when the job's record cannot be read.
	 */
	async read(id: JobId): Promise<JobState | null> {
		const { replicaSync, call } = this.options;
		const final = await call(() => this.replicatedFinal(id));
		// A final state never changes, so it needs no check.
		if (final) return final;
		await replicaSync.readBarrier();
		return (await call(() => this.replicated(id))) ?? this.readStore(id);
	}

	/** The job's state in the replica, however old that is; null: the replica has no such job. */
	readReplica(id: JobId): Promise<JobState | null> {
		return this.options.call(() => this.replicated(id));
	}

	/**
	 * Of a job that the replica lacks. The replica may have been reloaded, from rows that were read earlier, since
	 * it was asked. That there is no such job is said only when the store has neither of its keys; the key of the
	 * live job is looked up first, since a job moves from there to the final one.
	 */
	private async readStore(id: JobId): Promise<JobState | null> {
		const { store, replica, call } = this.options;
		const live = await store.read(keys.job(id));
		if (live.row) throw new CallError("not executed", 0, "the job is not in the replica yet");
		const { row } = await store.read(keys.final(id));
		if (!row) return null;
		const record = decodeFinalRecord(row.value);
		await call(() => replica.addFinalRecord(id, record, row.revision));
		return stateOfFinal(record);
	}

	private replicatedFinal(id: JobId): JobState | null {
		const final = this.options.replica.finalRecords.get(id);
		return final ? stateOfFinal(final) : null;
	}

	private replicated(id: JobId): JobState | null {
		const final = this.replicatedFinal(id);
		if (final) return final;
		const { replica, runningTaskCount } = this.options;
		if (!replica.jobs.has(id)) return null;
		const running = runningTaskCount(id);
		return { status: running > 0 ? "running" : "pending", done: replica.doneCount(id), running };
	}
}
