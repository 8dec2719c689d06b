/** The leader's state of a rented machine. Each part of the state is a class, whose methods alone change it. */

import { maxListedTasks } from "../protocol/http/worker-api.js";
import type { MachineId, TaskId } from "../protocol/model/identifiers.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Attempt } from "./attempt.js";
import { CapacityLedger } from "./capacity-ledger.js";
import { ExitedTasks } from "./exited-tasks.js";
import { MachineHealth } from "./machine-health.js";
import { MachineLifecycle, type MachineOrigin } from "./machine-lifecycle.js";
import type { OrphanedTask } from "./orphaned-task.js";
import { WorkerAgent } from "./worker-agent.js";

/** Initial values of a machine. */
export interface MachineDescription {
	id: MachineId;
	type: MachineType;
	zone: string;
	spot: boolean;
	origin: MachineOrigin;
}

/** A machine with its worker agent, health, lifecycle, capacity and attempts. */
export class Machine {
	readonly id: MachineId;
	readonly type: MachineType;
	readonly zone: string;
	readonly spot: boolean;
	/** Lease, epoch and reachability of the worker agent on the machine. */
	readonly agent: WorkerAgent;
	readonly health = new MachineHealth();
	readonly lifecycle: MachineLifecycle;
	readonly capacity: CapacityLedger;
	readonly #attempts = new Map<TaskId, Attempt>();
	/** Exited attempts that the latest heartbeat lists. */
	readonly exitedTasks = new ExitedTasks();
	#orphans: OrphanedTask[] = [];

	/**
	 * @param requestedAt Monotonic time of the request that created the machine or, if it is unknown, the time at which
	 *   this leader added the machine.
	 * @param addedAt Monotonic time at which this leader added the machine, if it is later: until then an earlier leader
	 *   may have renewed the worker's lease.
	 */
	constructor(
		{ id, type, zone, spot, origin }: MachineDescription,
		requestedAt: number,
		addedAt: number = requestedAt,
	) {
		this.id = id;
		this.type = type;
		this.zone = zone;
		this.spot = spot;
		this.agent = new WorkerAgent(addedAt);
		this.lifecycle = new MachineLifecycle(origin, requestedAt);
		this.capacity = new CapacityLedger(type);
	}

	/** Attempts that run or may run on the machine, by task. */
	get attempts(): ReadonlyMap<TaskId, Attempt> {
		return this.#attempts;
	}

	/** Orphaned tasks that the latest heartbeat lists. Each heartbeat replaces the list. */
	get orphans(): readonly OrphanedTask[] {
		return this.#orphans;
	}

	/** Number of further tasks that the worker can list in its heartbeats. */
	get taskHeadroom(): number {
		const listed = this.#attempts.size + this.exitedTasks.count + this.#orphans.length;
		return Math.max(0, maxListedTasks - listed);
	}

	/** True if new tasks may be placed on the machine. */
	get schedulable(): boolean {
		return this.canStartTasks && this.countsAsCapacity;
	}

	/** True if the machine counts as capacity, now or once it has booted. */
	get countsAsCapacity(): boolean {
		return !this.lifecycle.draining && !this.lifecycle.overdue && this.usable;
	}

	/** True if start commands may be sent for tasks that are assigned to the machine, even if it is draining. */
	get acceptsAssignedStarts(): boolean {
		return this.canStartTasks && this.usable;
	}

	/** False if the worker's lease has expired or the machine is quarantined, unreachable, reclaimed or deleted. */
	get usable(): boolean {
		const { agent, health, lifecycle } = this;
		return (
			!agent.leaseExpired &&
			!health.quarantined &&
			!lifecycle.deleting &&
			agent.unreachableSince === null &&
			lifecycle.reclaimAt === null
		);
	}

	/**
	 * True if the worker has sent a heartbeat, rejects commands of earlier leaders, and the machine's record is in the
	 * store for later leaders. No task may start on the machine unless all three hold.
	 */
	private get canStartTasks(): boolean {
		return this.agent.running && this.agent.fenced && this.lifecycle.recorded;
	}

	/** True if replicas on the machine are to be relocated, because it is about to be removed or may be faulty. */
	get needsEvacuation(): boolean {
		const { agent, health, lifecycle } = this;
		return (
			lifecycle.reclaimAt !== null ||
			lifecycle.draining ||
			health.quarantined ||
			agent.unreachableSince !== null
		);
	}

	/** Current price per hour: the spot price for a spot machine. */
	get hourlyPrice(): number {
		return this.spot ? this.type.spotPrice : this.type.price;
	}

	/** Adds an orphaned task that the worker lists. Called by the cluster state, which counts its team's usage. */
	addOrphan(task: OrphanedTask): void {
		this.#orphans.push(task);
	}

	/** Removes all orphaned tasks, which have ended or are listed anew. Called by the cluster state, as `addOrphan`. */
	clearOrphans(): void {
		this.#orphans = [];
	}

	/** Adds an attempt that was assigned to the machine or found on it, and allocates its resources. */
	addAttempt(attempt: Attempt): void {
		this.#attempts.set(attempt.taskId, attempt);
		this.capacity.allocate(attempt.job.spec);
	}

	/** Removes an attempt that has ended, and releases its resources. */
	removeAttempt(attempt: Attempt): void {
		if (this.#attempts.get(attempt.taskId) !== attempt) return;
		this.#attempts.delete(attempt.taskId);
		if (this.#attempts.size === 0) this.capacity.releaseAll();
		else this.capacity.release(attempt.job.spec);
	}
}

/** Returns a stand-in for a type that the cloud no longer offers: the machine keeps its tasks but gets no new ones. */
export function unknownMachineType(name: string): MachineType {
	return {
		name,
		cpus: 0,
		gpus: 0,
		memoryGb: 0,
		cacheGb: 0,
		fetchGbPerS: 1,
		price: 0,
		spotPrice: 0,
		bootS: 60,
		zones: [],
	};
}
