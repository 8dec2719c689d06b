/** The used, reserved and free resources of a machine, and the container images in its cache. */

import type { JobSpec } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Job } from "./job.js";

/** Amounts that differ by less are equal: sums of decimal fractions accumulate rounding errors. */
const tolerance = 1e-6;

/** Number of images that fit into a machine's cache, by the cache's approximate size. */
const maxCachedImages = 12;

/** Resources that a task uses on its machine. */
type TaskResources = Pick<JobSpec, "cpus" | "gpus" | "memoryGb">;

/**
 * Accounts for the resources of one machine. A task uses resources from its assignment until it is confirmed to have
 * ended; a replica that is being relocated to the machine has resources reserved.
 */
export class CapacityLedger {
	#used = { cpus: 0, gpus: 0, memoryGb: 0 };
	#reservedForReplicas = { cpus: 0, gpus: 0, memoryGb: 0 };
	#reservedForJob: Job | null = null;
	readonly #cachedImages = new Set<string>();

	constructor(private readonly type: MachineType) {}

	/** CPUs that tasks on the machine use. */
	get usedCpus(): number {
		return this.#used.cpus;
	}

	/** CPUs that are neither used nor reserved for replicas that are being relocated to the machine. */
	get freeCpus(): number {
		return this.type.cpus - this.#used.cpus - this.#reservedForReplicas.cpus;
	}

	/** As `freeCpus`, for accelerators. */
	get freeGpus(): number {
		return this.type.gpus - this.#used.gpus - this.#reservedForReplicas.gpus;
	}

	/** As `freeCpus`, for memory in GB. */
	get freeMemoryGb(): number {
		return this.type.memoryGb - this.#used.memoryGb - this.#reservedForReplicas.memoryGb;
	}

	/**
	 * The job for which the machine is reserved; null: none. No other new work is placed on the machine until a task of
	 * the job fits.
	 */
	get reservedForJob(): Job | null {
		return this.#reservedForJob;
	}

	/** Images expected in the machine's cache, the least recently used first. */
	get cachedImages(): ReadonlySet<string> {
		return this.#cachedImages;
	}

	/** True if a task with these demands fits into the free resources. */
	fits({ cpus, gpus, memoryGb }: TaskResources): boolean {
		return (
			this.freeCpus + tolerance >= cpus &&
			this.freeGpus + tolerance >= gpus &&
			this.freeMemoryGb + tolerance >= memoryGb
		);
	}

	/** Adds the resources of a task that has been assigned to the machine. */
	allocate({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#used.cpus += cpus;
		this.#used.gpus += gpus;
		this.#used.memoryGb += memoryGb;
	}

	/** Subtracts the resources of a task that has ended. */
	release({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#used.cpus -= cpus;
		this.#used.gpus -= gpus;
		this.#used.memoryGb -= memoryGb;
	}

	/** Resets the used resources to zero when the last task has ended, so that rounding errors do not accumulate. */
	releaseAll(): void {
		this.#used = { cpus: 0, gpus: 0, memoryGb: 0 };
	}

	/** Reserves resources for a replica that is being relocated to the machine. */
	reserveForReplica({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#reservedForReplicas.cpus += cpus;
		this.#reservedForReplicas.gpus += gpus;
		this.#reservedForReplicas.memoryGb += memoryGb;
	}

	/** Releases the resources of `reserveForReplica`, when the replica starts or its relocation is cancelled. */
	releaseReplicaReservation({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#reservedForReplicas.cpus -= cpus;
		this.#reservedForReplicas.gpus -= gpus;
		this.#reservedForReplicas.memoryGb -= memoryGb;
	}

	/** Reserves the machine for the job: no other work is placed on it. */
	reserveForJob(job: Job): void {
		this.#reservedForJob = job;
	}

	/** Lifts the reservation for a job, if there is one. */
	cancelJobReservation(): void {
		this.#reservedForJob = null;
	}

	/** Records that a task uses the image. Evicts the least recently used image if the cache is full. */
	recordImageUse(image: string): void {
		this.#cachedImages.delete(image);
		this.#cachedImages.add(image);
		if (this.#cachedImages.size <= maxCachedImages) return;
		const leastRecentlyUsed = this.#cachedImages.values().next().value;
		if (leastRecentlyUsed !== undefined) this.#cachedImages.delete(leastRecentlyUsed);
	}
}
