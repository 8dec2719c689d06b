/** Heartbeats whose responses are held back for a moment, since a start goes only in a response (long polling). */

import type { MachineId } from "../../protocol/model/identifiers.js";
import type { WorkerCommand } from "../../protocol/model/worker.js";
import type { Clock } from "../ports/clock.js";

/** How often it is looked for responses that are due. */
const sweepIntervalMs = 30;

/** What a response waits for: a placement that is under way, or any work for a machine without tasks. */
export type PendingReason = "placement" | "idle";

/** A heartbeat whose response is held back. */
interface PendingHeartbeat {
	/** Steady time at which it is answered at the latest. */
	dueAt: number;
	reason: PendingReason;
	/** null: this process may not answer for the controllers. */
	respond(commands: WorkerCommand[] | null): void;
}

/** What the pending heartbeats of a term work with. */
export interface PendingHeartbeatsOptions {
	clock: Clock;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** The commands for the machine, as of now; null: this process may not answer. */
	commandsFor(machineId: MachineId): WorkerCommand[] | null;
}

/** Owns the held responses of one term, one for each machine: a worker has one heartbeat in flight. */
export class PendingHeartbeats {
	private readonly pending = new Map<MachineId, PendingHeartbeat>();
	private sweepScheduled = false;

	constructor(private readonly options: PendingHeartbeatsOptions) {}

	/** A heartbeat of the machine waits for its response. */
	has(machineId: MachineId): boolean {
		return this.pending.has(machineId);
	}

	/** Holds the response to the machine's heartbeat until it is released, at the latest at the steady time `dueAt`. */
	hold(machineId: MachineId, dueAt: number, reason: PendingReason): Promise<WorkerCommand[] | null> {
		return new Promise((respond) => {
			this.pending.set(machineId, { dueAt, reason, respond });
			this.scheduleSweep();
		});
	}

	/** A later heartbeat has come, so an earlier one is out of date: it is answered without commands. */
	supersede(machineId: MachineId): void {
		this.pending.get(machineId)?.respond([]);
		this.pending.delete(machineId);
	}

	/** Answers the machine's heartbeat now. */
	release(machineId: MachineId): void {
		const heartbeat = this.pending.get(machineId);
		if (!heartbeat) return;
		this.pending.delete(machineId);
		heartbeat.respond(this.options.commandsFor(machineId));
	}

	/** No placement is under way any more: answers all that waited for one. */
	releaseForPlacement(): void {
		for (const [machineId, { reason }] of this.pending) if (reason === "placement") this.release(machineId);
	}

	/** This process may not answer any more. */
	refuseAll(): void {
		for (const { respond } of this.pending.values()) respond(null);
		this.pending.clear();
	}

	/** One timer for all, since there can be hundreds. */
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
