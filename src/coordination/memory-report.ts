/** Logs the use of memory with the counts of what takes it, so that an operator can see what it grows with. */

import type { StoreReplica } from "../bookkeeping/store-replica.js";
import type { Leader } from "./leader.js";
import type { Clock } from "./ports/clock.js";
import type { Log } from "./ports/log.js";
import type { ProcessMemory } from "./ports/process-memory.js";

const intervalMs = 10_000;

const bytesPerMb = 1024 * 1024;

/** Returns the bytes in megabytes with one decimal, for log lines. */
export function megabytes(bytes: number): number {
	return Math.round((10 * bytes) / bytesPerMb) / 10;
}

/** Dependencies of the report. */
export interface MemoryReportOptions {
	memory: ProcessMemory;
	replica: StoreReplica;
	/** Returns the leader in this process; null: there is none. */
	leader(): Leader | null;
	clock: Clock;
	log: Log;
}

/** Logs the report at a regular interval. */
export class MemoryReport {
	private nextReportAt = 0;

	constructor(private readonly options: MemoryReportOptions) {}

	/** Called often. */
	tick(): void {
		const { memory, replica, leader, clock, log } = this.options;
		const now = clock.now();
		if (now < this.nextReportAt) return;
		this.nextReportAt = now + intervalMs;
		let tasks = 0;
		for (const { value } of replica.jobs.values()) tasks += value.spec.taskCount;
		const heapUsedMb = megabytes(memory.heapUsedBytes());
		const heapLimitMb = megabytes(memory.heapLimitBytes);
		const jobs = replica.jobs.size;
		const machines = leader()?.clusterState.machines.size ?? 0;
		const jobMemoryMb = megabytes(replica.liveJobBytes);
		log.debug({ heapUsedMb, heapLimitMb, jobs, tasks, jobMemoryMb, machines }, "memory in use");
	}
}
