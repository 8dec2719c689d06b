/** A rented machine as its leader sees it. Each part of its state has an owner, which alone changes it. */

import type { MachineId, TaskId } from "../protocol/model/identifiers.js";
import type { MachineType } from "../protocol/model/machine.js";
import type { Attempt } from "./attempt.js";
import { CapacityLedger } from "./capacity-ledger.js";
import { ExitedTasks } from "./exited-tasks.js";
import { MachineHealth } from "./machine-health.js";
import { MachineLifecycle, type MachineOrigin } from "./machine-lifecycle.js";
import type { OrphanedTask } from "./orphaned-task.js";
import { WorkerAgent } from "./worker-agent.js";

/** What is known of a machine from the beginning. */
export interface MachineDescription {
	id: MachineId;
	type: MachineType;
	zone: string;
	spot: boolean;
	origin: MachineOrigin;
}

/** A machine with its worker, its health, its place in its life and its capacity. */
export class Machine {
	readonly id: MachineId;
	readonly type: MachineType;
	readonly zone: string;
	readonly spot: boolean;
	/** Lease, agent epoch and reachability of its worker. */
	readonly agent: WorkerAgent;
	readonly health = new MachineHealth();
	readonly lifecycle: MachineLifecycle;
	readonly capacity: CapacityLedger;
	readonly #attempts = new Map<TaskId, Attempt>();
	/** Exited attempts that the latest heartbeat lists. */
	readonly exitedTasks = new ExitedTasks();
	#orphans: OrphanedTask[] = [];

	/** @param since Steady time of the request that created it, or since when this leader knows it. */
	constructor({ id, type, zone, spot, origin }: MachineDescription, since: number) {
		this.id = id;
		this.type = type;
		this.zone = zone;
		this.spot = spot;
		this.agent = new WorkerAgent(since);
		this.lifecycle = new MachineLifecycle(origin, since);
		this.capacity = new CapacityLedger(type);
	}

	/** Attempts that run here or may do so, by task. */
	get attempts(): ReadonlyMap<TaskId, Attempt> {
		return this.#attempts;
	}

	/** Attempts that the latest heartbeat lists and that nobody wants; each heartbeat makes a new list. */
	get orphans(): readonly OrphanedTask[] {
		return this.#orphans;
	}

	/** New tasks may be placed here. */
	get schedulable(): boolean {
		return this.canStartTasks && this.countsAsCapacity;
	}

	/** Counts as capacity that is there or on its way. */
	get countsAsCapacity(): boolean {
		return !this.lifecycle.draining && !this.lifecycle.overdue && this.usable;
	}

	/** Starts that were decided before it was chosen for draining may still be sent. */
	get acceptsAssignedStarts(): boolean {
		return this.canStartTasks && this.usable;
	}

	/** Nothing but draining keeps it from being used. */
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
	 * Its worker runs, drops what earlier leaders say, and a later leader would know of the machine. Without all
	 * three no task may start here.
	 */
	private get canStartTasks(): boolean {
		return this.agent.running && this.agent.fenced && this.lifecycle.recorded;
	}

	/** It will go away, or ought to: replicas here had better move elsewhere. */
	get needsEvacuation(): boolean {
		const { agent, health, lifecycle } = this;
		return (
			lifecycle.reclaimAt !== null ||
			lifecycle.draining ||
			health.quarantined ||
			agent.unreachableSince !== null
		);
	}

	/** Its present price per hour. */
	get hourlyPrice(): number {
		return this.spot ? this.type.spotPrice : this.type.price;
	}

	/** The worker lists an attempt that nobody wants. Called by the cluster state, which counts what it uses. */
	addOrphan(task: OrphanedTask): void {
		this.#orphans.push(task);
	}

	/** The orphaned tasks are gone, or listed anew. Called by the cluster state, which counts what they use. */
	clearOrphans(): void {
		this.#orphans = [];
	}

	/** An attempt was assigned to the machine, or found on it. */
	addAttempt(attempt: Attempt): void {
		this.#attempts.set(attempt.taskId, attempt);
		this.capacity.allocate(attempt.job.spec);
	}

	/** An attempt is proved gone. */
	removeAttempt(attempt: Attempt): void {
		if (this.#attempts.get(attempt.taskId) !== attempt) return;
		this.#attempts.delete(attempt.taskId);
		if (this.#attempts.size === 0) this.capacity.releaseAll();
		else this.capacity.release(attempt.job.spec);
	}
}

/** Stands for a type that the cloud no longer names: such a machine can run tasks, but gets no new ones. */
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
