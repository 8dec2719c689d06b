/** Stops tasks that nobody wants, and finds out what they use of their teams' quotas. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { OrphanedTask } from "../../bookkeeping/orphaned-task.js";
import type { StoreRow } from "../../protocol/http/store-api.js";
import type { JobId, Revision } from "../../protocol/model/identifiers.js";
import type { StopCommand } from "../../protocol/model/worker.js";
import { decodeFinalRecord, type FinalJobRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "./direct-command-sender.js";

/** Pause before a job's final record is read again. */
const retryMs = 500;

/** What the cleanup needs of a term of leadership. */
export interface OrphanCleanupOptions {
	clusterState: ClusterState;
	store: KeyValueStore;
	clock: Clock;
	commandSender: DirectCommandSender;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** The leader may act. */
	active(): boolean;
	/** The end of a job was read from the store. */
	onFinalRecord(jobId: JobId, record: FinalJobRecord, revision: Revision): void;
}

/**
 * Cleans up after jobs that ended while nobody led. Until an orphaned task is gone it uses its team's quota.
 * Where the job was over before this process knew of it, its final record says what it uses, and nothing starts
 * until that is read (trace 49).
 */
export class OrphanCleanup {
	/** Jobs whose final record is being read, or was. */
	private readonly requested = new Set<JobId>();

	constructor(private readonly options: OrphanCleanupOptions) {}

	/**
	 * Stops the machine's orphaned tasks by direct command: no response may go to it, for example where it was asked
	 * directly during a failover.
	 *
	 * @param stoppedBefore The orphaned tasks as of the heartbeat before, which have been stopped already.
	 */
	stop(machine: Machine, stoppedBefore: readonly OrphanedTask[]): void {
		const stops: StopCommand[] = [];
		for (const orphan of machine.orphans) {
			if (stoppedBefore.some((before) => before.isSameAttempt(orphan))) continue;
			const { jobId, taskIndex, attempt } = orphan;
			stops.push({ kind: "stop", jobId, taskIndex, attempt, graceS: 0 });
		}
		if (stops.length > 0) this.options.commandSender.send(machine, stops);
		for (const jobId of this.options.clusterState.jobsWithUnknownDemand()) this.requestFinalRecord(jobId);
	}

	private requestFinalRecord(jobId: JobId): void {
		if (this.requested.has(jobId)) return;
		this.requested.add(jobId);
		void this.readFinalRecord(jobId);
	}

	private async readFinalRecord(jobId: JobId): Promise<void> {
		const { store, clock, log, post } = this.options;
		let row: StoreRow | null;
		try {
			({ row } = await store.read(keys.final(jobId)));
		} catch (error) {
			// Whatever went wrong, nothing starts before the record has been read: it is tried again.
			log.debug({ jobId, err: error }, "final record not read");
			clock.after(retryMs, () => post(() => this.retry(jobId)));
			return;
		}
		post(() => this.finalRecordRead(jobId, row));
	}

	private finalRecordRead(jobId: JobId, row: StoreRow | null): void {
		if (row) this.options.onFinalRecord(jobId, decodeFinalRecord(row.value), row.revision);
		this.options.clusterState.resolveDemand(jobId);
	}

	private retry(jobId: JobId): void {
		this.requested.delete(jobId);
		const { active, clusterState } = this.options;
		if (active() && clusterState.jobsWithUnknownDemand().has(jobId)) this.requestFinalRecord(jobId);
	}
}
