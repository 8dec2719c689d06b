/**
 * The regular comparison of the replica with the store.
 *
 * Should a change ever be missed by the watch, a job would be unknown here, or would live on, until the process
 * ends. So the live jobs are read anew each minute. Test: "a job whose watch event was lost ..." in
 * replica-repair.test.ts.
 */

import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { StoreRow } from "../../protocol/http/store-api.js";
import type { JobId } from "../../protocol/model/identifiers.js";
import { keys } from "../../protocol/records/keys.js";
import type { Clock, Timer } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { KeyValueStore } from "../ports/store.js";

/** Pause between two comparisons. */
const intervalMs = 60_000;

/** Pause after a comparison that has found a difference: it may just have been a change under way. */
const recheckMs = 5_000;

/** What an audit needs. */
export interface ReplicaAuditOptions {
	replica: StoreReplica;
	store: KeyValueStore;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Resolves once the replica holds all that was in the store at the call. */
	readBarrier(): Promise<void>;
	/** Loads the replica anew. */
	reload(): Promise<void>;
}

/** Compares over and over, and has the replica loaded anew where a job differs twice in a row. */
export class ReplicaAudit {
	private differing = new Set<JobId>();
	private timer: Timer | null = null;
	private stopped = false;

	constructor(private readonly options: ReplicaAuditOptions) {}

	/** Begins with a comparison after the regular pause. */
	start(): void {
		this.schedule(intervalMs);
	}

	/** No comparison begins any more. */
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
			// The store does not answer: there is nothing to compare with, and the next time will do.
			this.options.log.debug({ err: error }, "replica not compared with the store");
		}
		this.schedule(differs ? recheckMs : intervalMs);
	}

	/** Whether a job differs. */
	private async compare(): Promise<boolean> {
		const { replica, store, post, readBarrier } = this.options;
		if (!replica.loaded) return false;
		const { rows } = await store.readPrefix(keys.jobs);
		// What was there when the rows were read must be in the replica now.
		await readBarrier();
		return new Promise((resolve) => post(() => resolve(this.compareRows(rows))));
	}

	private compareRows(rows: readonly StoreRow[]): boolean {
		const { replica, log } = this.options;
		const stored = new Set(rows.map((row) => row.key.slice(keys.jobs.length)));
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
			// The difference is found again by the next comparison, which follows soon.
			this.options.log.debug({ err: error }, "replica not reloaded");
		}
	}
}
