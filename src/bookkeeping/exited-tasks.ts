/** Exited attempts that a worker still lists, since nobody has told it to forget them. */

import type { AttemptRef } from "../protocol/model/worker.js";

/** An exited attempt that a machine still lists. */
export interface ExitedTask extends AttemptRef {
	/** The task has completed, so its result must be recorded before the attempt is forgotten. */
	done: boolean;
}

/**
 * Owns the exited attempts of one machine. Each heartbeat lists them anew.
 *
 * Starts go only in responses to heartbeats, and a machine without news sends its next heartbeat only after the
 * whole heartbeat interval. A change of its tasks makes a worker send one at once. So one exited attempt is left
 * on a machine that may get work, the heartbeat trigger: forgetting it by direct command brings on a heartbeat.
 */
export class ExitedTasks {
	#listed: ExitedTask[] = [];
	#trigger: AttemptRef | null = null;

	/** The attempt left on the machine to be forgotten when a heartbeat is wanted; null: there is none. */
	get heartbeatTrigger(): AttemptRef | null {
		return this.#trigger;
	}

	/** A heartbeat lists the attempt. */
	add(task: ExitedTask): void {
		this.#listed.push(task);
	}

	/** A new heartbeat lists its attempts anew, or everything on the machine is gone. */
	clear(): void {
		if (this.#listed.length > 0) this.#listed = [];
	}

	/**
	 * The attempts that the worker can be told to forget, in the order in which it listed them.
	 *
	 * @param isRecorded Whether the attempt's outcome can no longer be lost.
	 * @param keepTrigger Whether to leave the last of them on the machine as the heartbeat trigger.
	 */
	selectForgettable(isRecorded: (task: ExitedTask) => boolean, keepTrigger: boolean): ExitedTask[] {
		const forgettable = this.#listed.filter(isRecorded);
		this.#trigger = keepTrigger ? (forgettable.pop() ?? null) : null;
		return forgettable;
	}

	/** Takes the heartbeat trigger, to be forgotten now. */
	consumeHeartbeatTrigger(): AttemptRef | null {
		const trigger = this.#trigger;
		this.#trigger = null;
		return trigger;
	}
}
