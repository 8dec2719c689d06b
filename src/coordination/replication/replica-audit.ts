/**
 * The regular comparison of the replica with the store.
 *
 * If the watch missed a change, the replica would lack a job, or still have one that has ended, until the process
 * ends. The live jobs are therefore read from the store each minute. Test: "a job whose watch event was lost ..." in
 * replica-repair.test.ts.
 */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock, Timer } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** Interval between two comparisons. */
const intervalMs = 60_000;

/** Interval after a comparison that found a difference, which may be due to a concurrent change. */
const recheckMs = 5_000;

/** Dependencies of an audit. */
export interface ReplicaAuditOptions {
	replica: StoreReplica;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Resolves once the replica has every change that was in the store at the call. */
	readBarrier(): Promise<void>;
	/** Reloads the replica from the store. */
	reload(): Promise<void>;
}

/** Runs the comparisons, and reloads the replica if a job differs in two consecutive ones. */
export class ReplicaAudit {
	private differing = new Set<JobId>();
	private timer: Timer | null = null;
	private stopped = false;

	constructor(private readonly options: ReplicaAuditOptions) {}

	/** Schedules the first comparison, after the regular interval. */
	start(): void {
		this.schedule(intervalMs);
	}

	/** Stops the audit: no further comparison starts. */
	stop(): void {
		this.stopped = true;
		this.timer?.cancel();
	}

	private schedule(ms: number): void {
		if (this.stopped) return;
		this.timer = this.options.clock.after(ms, () => void this.run());
	}

	private async run(): Promise<void> {
		let differs = false;
		try {
			differs = await this.compare();
		} catch (error) {
			// The store does not respond; the next comparison follows after the regular interval.
			this.options.log.debug({ err: error }, "replica not compared with the store");
		}
		this.schedule(differs ? recheckMs : intervalMs);
	}

	/** Resolves to true if a job differs. */
	private async compare(): Promise<boolean> {
		const { replica, store, post, readBarrier } = this.options;
		if (!replica.loaded) return false;
		const storedKeys: string[] = [];
		for await (const { rows } of store.readPages(keys.jobs)) storedKeys.push(...rows.map(({ key }) => key));
		// The replica must now have every row that was in the store when the keys were read.
		await readBarrier();
		return new Promise((resolve) => post(() => resolve(this.compareKeys(storedKeys))));
	}

	private compareKeys(storedKeys: readonly string[]): boolean {
		const { replica, log } = this.options;
		const stored = new Set(storedKeys.map((key) => key.slice(keys.jobs.length)));
		const differing = new Set<JobId>();
		for (const jobId of stored) if (!replica.hasJobRecord(jobId)) differing.add(jobId);
		for (const jobId of replica.jobs.keys()) if (!stored.has(jobId)) differing.add(jobId);
		const differingTwice = [...differing].filter((jobId) => this.differing.has(jobId));
		this.differing = differing;
		if (differingTwice.length > 0) {
			log.error({ jobIds: differingTwice }, "replica differs from the store: reloading");
			void this.reload();
		}
		return differing.size > 0;
	}

	private async reload(): Promise<void> {
		try {
			await this.options.reload();
		} catch (error) {
			// The next comparison, after `recheckMs`, finds the difference again.
			this.options.log.debug({ err: error }, "replica not reloaded");
		}
	}
}
