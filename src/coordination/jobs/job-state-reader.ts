/** Linearizable reads of job states: no response is older than an earlier one of any controller. */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { decodeFinalRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import { CallError } from "../ports/call-error.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ReplicaSync } from "../replication/replica-sync.js";
import { type JobState, stateOfFinal } from "./job-results.js";

/** Dependencies of the reader. */
export interface JobStateReaderOptions {
	replica: StoreReplica;
	replicaSync: ReplicaSync;
	store: KeyValueStore;
	/** Runs an action in the serial executor, to which the replica belongs, and resolves to its result. */
	call<T>(action: () => T): Promise<T>;
	/** Returns the number of running tasks of the job, as last reported by the leader. */
	runningTaskCount(id: JobId): number;
}

/** Reads from the replica if it is certainly recent enough, and from the store otherwise. */
export class JobStateReader {
	constructor(private readonly options: JobStateReaderOptions) {}

	/**
	 * Resolves to the job's state at a time between the call and its result; null: there is no such job. Rejects with a
	 * CallError if the state is uncertain, and with a MalformedMessageError if the job's record cannot be decoded.
	 */
	async read(id: JobId): Promise<JobState | null> {
		const { replicaSync, call } = this.options;
		const final = await call(() => this.replicaFinalState(id));
		// A final state never changes, so an old one is valid.
		if (final) return final;
		await replicaSync.readBarrier();
		return (await call(() => this.replicaState(id))) ?? this.readStore(id);
	}

	/** Resolves to the job's state in the replica, which may be outdated; null: the replica has no such job. */
	readReplica(id: JobId): Promise<JobState | null> {
		return this.options.call(() => this.replicaState(id));
	}

	/**
	 * Reads from the store the state of a job that the replica lacks. The replica may lack it because it was reloaded
	 * after the read barrier, from rows that were read before. Resolves to null only if the store has neither of the
	 * job's keys. The live key is read first, because a job moves from the live key to the final one.
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

	private replicaFinalState(id: JobId): JobState | null {
		const final = this.options.replica.finalRecords.get(id);
		return final ? stateOfFinal(final) : null;
	}

	private replicaState(id: JobId): JobState | null {
		const final = this.replicaFinalState(id);
		if (final) return final;
		const { replica, runningTaskCount } = this.options;
		if (!replica.jobs.has(id)) return null;
		const running = runningTaskCount(id);
		return { status: running > 0 ? "running" : "pending", done: replica.doneCount(id), running };
	}
}
