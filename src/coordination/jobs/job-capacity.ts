/** The bound of the live jobs that a controller accepts, which follows from the heap of its own process. */

import { liveJobBytes } from "../../bookkeeping/job-memory.js";
import type { StoreReplica } from "../../bookkeeping/store-replica.js";
import type { JobSpec } from "../../protocol/model/job.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { ProcessMemory } from "../ports/process-memory.js";

/**
 * The part of the heap that accepted jobs may take. The rest is for machines, attempts, messages, ended jobs, and what
 * other controllers accept at the same moment.
 */
const heapFraction = 1 / 3;

/** Beyond this part of the capacity, submissions are judged by a replica that has every accepted job. */
const scarceFraction = 0.5;

/** Minimum interval between two log lines about refused submissions. */
const logIntervalMs = 60_000;

/** Memory that is reserved for a job until its acceptance has ended. */
export interface JobReservation {
	/** Ends the reservation: the job is in the replica, or was not accepted. */
	release(): void;
}

/** Dependencies of the capacity. */
export interface JobCapacityOptions {
	replica: StoreReplica;
	memory: ProcessMemory;
	clock: Clock;
	log: Log;
}

/** Returns the memory in bytes that live jobs may take in a process with this heap limit. */
export function jobCapacityBytes(heapLimitBytes: number): number {
	return heapLimitBytes * heapFraction;
}

/** Owns the reservations of submissions in progress. All methods are called in the serial executor. */
export class JobCapacity {
	private reservedBytes = 0;
	private refusedCount = 0;
	private nextLogAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: JobCapacityOptions) {}

	/** True if so little is left that what other controllers have accepted at this moment matters. */
	get scarce(): boolean {
		const { replica, memory } = this.options;
		const usedBytes = replica.liveJobBytes + this.reservedBytes;
		return usedBytes > scarceFraction * jobCapacityBytes(memory.heapLimitBytes);
	}

	/** Reserves the memory of a job that is about to be accepted; null: the job does not fit now. */
	reserve(spec: JobSpec): JobReservation | null {
		const { replica, memory } = this.options;
		const bytes = liveJobBytes(spec);
		const limitBytes = jobCapacityBytes(memory.heapLimitBytes);
		if (replica.liveJobBytes + this.reservedBytes + bytes > limitBytes) {
			this.logRefusal(limitBytes);
			return null;
		}
		this.reservedBytes += bytes;
		return { release: () => this.release(bytes) };
	}

	private release(bytes: number): void {
		this.reservedBytes -= bytes;
	}

	private logRefusal(jobMemoryLimitBytes: number): void {
		const { replica, clock, log } = this.options;
		this.refusedCount += 1;
		const now = clock.now();
		if (now < this.nextLogAt) return;
		this.nextLogAt = now + logIntervalMs;
		const jobs = replica.jobs.size;
		log.info(
			{ jobs, jobMemoryBytes: replica.liveJobBytes, jobMemoryLimitBytes, refused: this.refusedCount },
			"submissions refused: memory for jobs used up",
		);
		this.refusedCount = 0;
	}
}
