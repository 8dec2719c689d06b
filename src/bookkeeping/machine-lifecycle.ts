/** The life of a rented machine, from the request that creates it to its deletion. */

/** How a leader came to know a machine. */
export type MachineOrigin =
	/** This leader had it created, so it knows when that was. */
	| "created"
	/** Only the cloud's list names it so far. */
	| "listed"
	/** Its worker sent a heartbeat. */
	| "heartbeat"
	/** An earlier leader left a record of it. */
	| "record";

/** Owns where one machine is in its life. */
export class MachineLifecycle {
	#heard: boolean;
	#recorded: boolean;
	#overdue = false;
	#draining = false;
	#deleting = false;
	#reclaimAt: number | null = null;

	/**
	 * @param origin How this leader came to know the machine.
	 * @param requestedAt Steady time of the request that created the machine or, where this leader does not know
	 *   it, since when it knows the machine.
	 */
	constructor(
		readonly origin: MachineOrigin,
		readonly requestedAt: number,
	) {
		this.#heard = origin === "heartbeat";
		this.#recorded = origin === "record";
	}

	/** This leader had the machine created. */
	get createdByThisLeader(): boolean {
		return this.origin === "created";
	}

	/** Known from the cloud's list alone: no request of this leader and no heartbeat names it. */
	get onlyListed(): boolean {
		return this.origin === "listed" && !this.#heard;
	}

	/** Its record is in the store, so that a later leader knows that tasks may run here. */
	get recorded(): boolean {
		return this.#recorded;
	}

	/** Provisioning for longer than usual: another machine may be created in its place. */
	get overdue(): boolean {
		return this.#overdue;
	}

	/** The hill climb has chosen it to run empty and be deleted. */
	get draining(): boolean {
		return this.#draining;
	}

	/** Its deletion was requested, whatever the answer: nothing starts here any more. */
	get deleting(): boolean {
		return this.#deleting;
	}

	/** Steady time at which the cloud reclaims a spot machine; null: no notice was given. */
	get reclaimAt(): number | null {
		return this.#reclaimAt;
	}

	/** The worker has sent a heartbeat. */
	heartbeatReceived(reclaimAt: number | null): void {
		this.#heard = true;
		this.#overdue = false;
		this.#reclaimAt = reclaimAt;
	}

	/** The store has confirmed the machine's record. */
	markRecorded(): void {
		this.#recorded = true;
	}

	/** Sets whether the machine provisions for longer than usual. */
	setOverdue(overdue: boolean): void {
		this.#overdue = overdue;
	}

	/** The machine takes no more work and is to be deleted once it is empty. */
	startDraining(): void {
		this.#draining = true;
	}

	/** The machine is wanted again. */
	cancelDraining(): void {
		this.#draining = false;
	}

	/** The machine's deletion is requested; there is no way back. */
	startDeleting(): void {
		this.#deleting = true;
	}
}
