/** Holds the responses to heartbeats (long polling), since start commands are sent only in responses. */

import type { MachineId } from "../../protocol/model/identifiers.js";
import type { WorkerCommand } from "../../protocol/model/worker.js";
import type { Clock } from "../ports/clock.js";

/** Interval at which responses that are due are sent. */
const sweepIntervalMs = 30;

/** The event that a response is held for: the placement in progress, or a task for a machine without tasks. */
export type PendingReason = "placement" | "idle";

/** A heartbeat whose response is held. */
interface PendingHeartbeat {
	/** Monotonic time at which the response is sent at the latest. */
	dueAt: number;
	reason: PendingReason;
	/** Called with null if this process may not respond as the leader. */
	respond(commands: WorkerCommand[] | null): void;
}

/** The dependencies of the pending heartbeats of one term. */
export interface PendingHeartbeatsOptions {
	clock: Clock;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** Returns the commands for a response to the machine sent now; null: this process may not respond. */
	commandsFor(machineId: MachineId): WorkerCommand[] | null;
}

/** Owns the held responses of one term, at most one per machine, since a worker has one heartbeat in flight. */
export class PendingHeartbeats {
	private readonly pending = new Map<MachineId, PendingHeartbeat>();
	private sweepScheduled = false;

	constructor(private readonly options: PendingHeartbeatsOptions) {}

	/** True if the response to a heartbeat of the machine is held. */
	has(machineId: MachineId): boolean {
		return this.pending.has(machineId);
	}

	/**
	 * Holds the response to the machine's heartbeat until it is released, at the latest at the monotonic time `dueAt`.
	 */
	hold(machineId: MachineId, dueAt: number, reason: PendingReason): Promise<WorkerCommand[] | null> {
		return new Promise((respond) => {
			this.pending.set(machineId, { dueAt, reason, respond });
			this.scheduleSweep();
		});
	}

	/** Responds to the machine's pending heartbeat without commands, because a later one has arrived. */
	supersede(machineId: MachineId): void {
		this.pending.get(machineId)?.respond([]);
		this.pending.delete(machineId);
	}

	/** Responds to the machine's pending heartbeat now. */
	release(machineId: MachineId): void {
		const heartbeat = this.pending.get(machineId);
		if (!heartbeat) return;
		this.pending.delete(machineId);
		heartbeat.respond(this.options.commandsFor(machineId));
	}

	/** Responds to all heartbeats whose responses are held for a placement. */
	releaseAwaitingPlacement(): void {
		for (const [machineId, { reason }] of this.pending) if (reason === "placement") this.release(machineId);
	}

	/** Completes all pending heartbeats with null, because this process may no longer respond to them. */
	refuseAll(): void {
		for (const { respond } of this.pending.values()) respond(null);
		this.pending.clear();
	}

	/** Schedules one timer for all pending heartbeats, since there can be hundreds. */
	private scheduleSweep(): void {
		if (this.sweepScheduled || this.pending.size === 0) return;
		this.sweepScheduled = true;
		const { clock, post } = this.options;
		clock.after(sweepIntervalMs, () => post(() => this.sweep()));
	}

	private sweep(): void {
		this.sweepScheduled = false;
		const now = this.options.clock.now();
		for (const [machineId, { dueAt }] of this.pending) if (dueAt <= now) this.release(machineId);
		this.scheduleSweep();
	}
}
