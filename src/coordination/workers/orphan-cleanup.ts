import type { Machine } from "../../bookkeeping/machine.js";
import type { OrphanedTask } from "../../bookkeeping/orphaned-task.js";
import type { WorkerCommand } from "../../protocol/model/worker.js";
import { decodeFinalRecord, type FinalJobRecord } from "../../protocol/records/final-record.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock } from "../ports/clock.js";
import type { KeyValueStore } from "../ports/store.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "./direct-command-sender.js";

const retryMs = 500;

export interface OrphanCleanupHooks {
	post(command: () => void): void;
	active(): boolean;
	/** The end of a job was read from the store. */
	learned(job: string, final: FinalJobRecord, revision: number): void;
}

const nameOf = ({ jobId: job, taskIndex: index, attempt }: OrphanedTask) => `${job}/${index}/${attempt}`;

/**
 * Stops tasks that nobody wants, such as those of a job that was cancelled while nobody led.
 * Until one is gone its team's cores are taken, or, where the job was over before this process
 * knew of it, nothing starts until its end has been read.
 */
export class OrphanCleanup {
	/** Jobs whose end is being read, or was. */
	private readonly lookedUp = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly store: KeyValueStore,
		private readonly time: Clock,
		private readonly orders: DirectCommandSender,
		private readonly hooks: OrphanCleanupHooks,
	) {}

	/** Told to stop at once, also where no answer goes: a machine may have been asked straight. */
	stop(machine: Machine, toldBefore: readonly OrphanedTask[]): void {
		const told = new Set(toldBefore.map(nameOf));
		const stops = machine.orphans
			.filter((task) => !told.has(nameOf(task)))
			.map(
				({ jobId: job, taskIndex: index, attempt }): WorkerCommand => ({
					kind: "stop",
					jobId: job,
					taskIndex: index,
					attempt,
					graceS: 0,
				}),
			);
		if (stops.length > 0) this.orders.send(machine, stops);
		for (const job of this.clusterState.jobsWithUnknownDemand()) this.lookUp(job);
	}

	private lookUp(job: string): void {
		if (this.lookedUp.has(job)) return;
		this.lookedUp.add(job);
		this.store.read(keys.final(job)).then(
			({ row }) =>
				this.hooks.post(() => {
					if (row) this.hooks.learned(job, decodeFinalRecord(row.value), row.revision);
					this.clusterState.resolveDemand(job);
				}),
			() => this.time.after(retryMs, () => this.hooks.post(() => this.lookUpAgain(job))),
		);
	}

	private lookUpAgain(job: string): void {
		this.lookedUp.delete(job);
		if (this.hooks.active() && this.clusterState.jobsWithUnknownDemand().has(job)) this.lookUp(job);
	}
}
