/** The lifecycle of a rented machine, from the request that creates it to its deletion. */

/** The first source that named a machine to a leader. */
export type MachineOrigin =
	/** This leader requested its creation, so the time of creation is known. */
	| "created"
	/** The cloud's list of machines. */
	| "listed"
	/** A heartbeat of its worker. */
	| "heartbeat"
	/** The record of it that an earlier leader stored. */
	| "record";

/** Lifecycle state of one machine. */
export class MachineLifecycle {
	#hasSentHeartbeat: boolean;
	#recorded: boolean;
	#overdue = false;
	#draining = false;
	#deleting = false;
	#reclaimAt: number | null = null;

	/**
	 * @param origin The first source that named the machine to this leader.
	 * @param requestedAt Monotonic time of the request that created the machine or, if it is unknown, the time at which
	 *   this leader added the machine.
	 */
	constructor(
		readonly origin: MachineOrigin,
		readonly requestedAt: number,
	) {
		this.#hasSentHeartbeat = origin === "heartbeat";
		this.#recorded = origin === "record";
	}

	/** True if this leader requested the creation of the machine. */
	get createdByThisLeader(): boolean {
		return this.origin === "created";
	}

	/** True if only the cloud's list names the machine: no request of this leader and no heartbeat does. */
	get onlyListed(): boolean {
		return this.origin === "listed" && !this.#hasSentHeartbeat;
	}

	/** True if the machine's record is in the store, which shows a later leader that tasks may run on the machine. */
	get recorded(): boolean {
		return this.#recorded;
	}

	/** True if the machine takes longer than usual to boot: another one may be created in its place. */
	get overdue(): boolean {
		return this.#overdue;
	}

	/** True if the hill climb has chosen the machine for scale-in: it gets no new tasks and is deleted once empty. */
	get draining(): boolean {
		return this.#draining;
	}

	/** True if the machine's deletion was requested, even if the cloud refused it: no task starts on it any more. */
	get deleting(): boolean {
		return this.#deleting;
	}

	/** Monotonic time at which the cloud reclaims the spot machine; null: it has given no notice. */
	get reclaimAt(): number | null {
		return this.#reclaimAt;
	}

	/** Applies a heartbeat of the worker, with the time of the spot reclaim that it reports. */
	heartbeatReceived(reclaimAt: number | null): void {
		this.#hasSentHeartbeat = true;
		this.#overdue = false;
		this.#reclaimAt = reclaimAt;
	}

	/** Records that the store has confirmed the machine's record. */
	markRecorded(): void {
		this.#recorded = true;
	}

	/** Sets whether the machine takes longer than usual to boot. */
	setOverdue(overdue: boolean): void {
		this.#overdue = overdue;
	}

	/** Starts draining: the machine gets no new tasks and is deleted once it is empty. */
	startDraining(): void {
		this.#draining = true;
	}

	/** Cancels draining: the machine gets new tasks again. */
	cancelDraining(): void {
		this.#draining = false;
	}

	/** Records that the machine's deletion is requested. This cannot be undone. */
	startDeleting(): void {
		this.#deleting = true;
	}
}
