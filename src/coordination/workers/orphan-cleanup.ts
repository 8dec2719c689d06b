/** Stops orphaned tasks, and determines how much of their teams' quotas they use. */

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

/** Delay before a failed read of a job's final record is retried. */
const readRetryMs = 500;

/** The dependencies of the orphan cleanup of one term. */
export interface OrphanCleanupOptions {
	clusterState: ClusterState;
	store: KeyValueStore;
	clock: Clock;
	commandSender: DirectCommandSender;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** True if the leader is authorized to act. */
	active(): boolean;
	/** Called when the final record of a job was read from the store. */
	onFinalRecord(jobId: JobId, record: FinalJobRecord, revision: Revision): void;
}

/**
 * Cleans up after jobs that ended while there was no leader. An orphaned task uses its team's quota until it has ended.
 * If this process has no record of the job, the job's final record states the tasks' demand, and no task starts until
 * that record has been read (trace 49).
 */
export class OrphanCleanup {
	/** Jobs whose final record is being read or has been read. */
	private readonly requestedJobs = new Set<JobId>();

	constructor(private readonly options: OrphanCleanupOptions) {}

	/**
	 * Stops the machine's orphaned tasks by direct command. It is not certain that a heartbeat response will contain
	 * the stops: for example, a probe during a failover returns a heartbeat that gets no response.
	 *
	 * @param previousOrphans The orphaned tasks as of the previous heartbeat, for which stops have been sent.
	 */
	stopOrphans(machine: Machine, previousOrphans: readonly OrphanedTask[]): void {
		const stops: StopCommand[] = [];
		for (const orphan of machine.orphans) {
			if (previousOrphans.some((previous) => previous.isSameAttempt(orphan))) continue;
			const { jobId, taskIndex, attempt } = orphan;
			stops.push({ kind: "stop", jobId, taskIndex, attempt, graceS: 0 });
		}
		if (stops.length > 0) this.options.commandSender.send(machine, stops);
		for (const jobId of this.options.clusterState.jobsWithUnknownDemand()) this.requestFinalRecord(jobId);
	}

	private requestFinalRecord(jobId: JobId): void {
		if (this.requestedJobs.has(jobId)) return;
		this.requestedJobs.add(jobId);
		void this.readFinalRecord(jobId);
	}

	private async readFinalRecord(jobId: JobId): Promise<void> {
		const { store, clock, log, post } = this.options;
		let row: StoreRow | null;
		try {
			({ row } = await store.read(keys.final(jobId)));
		} catch (error) {
			// Starts remain blocked until the record has been read, so the read is retried after any error.
			log.debug({ jobId, err: error }, "reading the final record failed");
			clock.after(readRetryMs, () => post(() => this.retry(jobId)));
			return;
		}
		post(() => this.handleFinalRecord(jobId, row));
	}

	private handleFinalRecord(jobId: JobId, row: StoreRow | null): void {
		if (row) this.options.onFinalRecord(jobId, decodeFinalRecord(row.value), row.revision);
		this.options.clusterState.resolveDemand(jobId);
	}

	private retry(jobId: JobId): void {
		this.requestedJobs.delete(jobId);
		const { active, clusterState } = this.options;
		if (active() && clusterState.jobsWithUnknownDemand().has(jobId)) this.requestFinalRecord(jobId);
	}
}
