/** What of a machine's resources is used, reserved and free, and which images it should have. */

import type { JobSpec } from "../protocol/model/job.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Job } from "./job.js";

/** Sums of decimals drift; amounts that differ by less are equal. */
const tolerance = 1e-6;

/** Images that a machine is assumed to keep, by the rough size of its cache. */
const maxCachedImages = 12;

/** What a task takes of its machine. */
type TaskResources = Pick<JobSpec, "cpus" | "gpus" | "memoryGb">;

/**
 * Owns the resources of one machine. Tasks take resources from the decision to start them until they are proved
 * gone; a replica on its way here has resources reserved.
 */
export class CapacityLedger {
	#used = { cpus: 0, gpus: 0, memoryGb: 0 };
	#incoming = { cpus: 0, gpus: 0, memoryGb: 0 };
	#reservedFor: Job | null = null;
	readonly #images = new Set<string>();

	constructor(private readonly type: MachineType) {}

	/** CPUs that tasks on the machine take. */
	get usedCpus(): number {
		return this.#used.cpus;
	}

	/** CPUs that are neither used nor reserved for replicas on their way here. */
	get freeCpus(): number {
		return this.type.cpus - this.#used.cpus - this.#incoming.cpus;
	}

	/** As `freeCpus`, of accelerators. */
	get freeGpus(): number {
		return this.type.gpus - this.#used.gpus - this.#incoming.gpus;
	}

	/** As `freeCpus`, of memory in GB. */
	get freeMemoryGb(): number {
		return this.type.memoryGb - this.#used.memoryGb - this.#incoming.memoryGb;
	}

	/** The machine is kept free of other new work until a task of this job fits; null: it is not reserved. */
	get reservedForJob(): Job | null {
		return this.#reservedFor;
	}

	/** Images that the machine should have, the least recently used first. */
	get cachedImages(): ReadonlySet<string> {
		return this.#images;
	}

	/** Whether a task with these demands fits into what is free. */
	fits({ cpus, gpus, memoryGb }: TaskResources): boolean {
		return (
			this.freeCpus + tolerance >= cpus &&
			this.freeGpus + tolerance >= gpus &&
			this.freeMemoryGb + tolerance >= memoryGb
		);
	}

	/** A task has been assigned to the machine. */
	allocate({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#used.cpus += cpus;
		this.#used.gpus += gpus;
		this.#used.memoryGb += memoryGb;
	}

	/** A task on the machine is gone. */
	release({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#used.cpus -= cpus;
		this.#used.gpus -= gpus;
		this.#used.memoryGb -= memoryGb;
	}

	/** The last task on the machine is gone. Sums of decimals drift; an empty machine uses nothing. */
	releaseAll(): void {
		this.#used = { cpus: 0, gpus: 0, memoryGb: 0 };
	}

	/** Keeps resources for a replica that is to move here. */
	reserveForReplica({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#incoming.cpus += cpus;
		this.#incoming.gpus += gpus;
		this.#incoming.memoryGb += memoryGb;
	}

	/** The replica starts here now, or does not come. */
	releaseReplicaReservation({ cpus, gpus, memoryGb }: TaskResources): void {
		this.#incoming.cpus -= cpus;
		this.#incoming.gpus -= gpus;
		this.#incoming.memoryGb -= memoryGb;
	}

	/** Keeps the machine free of other new work. */
	reserveForJob(job: Job): void {
		this.#reservedFor = job;
	}

	/** The machine is open to other work again. */
	cancelJobReservation(): void {
		this.#reservedFor = null;
	}

	/** A task that uses the image runs here; the least recently used image beyond the cache's size is forgotten. */
	recordImageUse(image: string): void {
		this.#images.delete(image);
		this.#images.add(image);
		if (this.#images.size <= maxCachedImages) return;
		const oldest = this.#images.values().next().value;
		if (oldest !== undefined) this.#images.delete(oldest);
	}
}
