/** Exited attempts that a worker still lists because it has not received a forget command for them. */

import type { AttemptRef } from "../protocol/model/worker.js";

/** An exited attempt that a machine still lists. */
export interface ExitedTask extends AttemptRef {
	/** True if the task has completed: the store must hold this before the worker removes the attempt from its list. */
	done: boolean;
}

/**
 * The exited attempts of one machine. Each heartbeat replaces the list.
 *
 * Start commands are sent only in responses to heartbeats. A worker whose tasks do not change sends its next
 * heartbeat only after the whole heartbeat interval, but sends one at once when its tasks change. Therefore one exited
 * attempt, the heartbeat trigger, is left on a machine that may get work: a direct forget command for it makes the
 * worker send a heartbeat.
 */
export class ExitedTasks {
	#listed: ExitedTask[] = [];
	#trigger: AttemptRef | null = null;

	/** The attempt left on the worker for a forget command when the leader needs a heartbeat; null: there is none. */
	get heartbeatTrigger(): AttemptRef | null {
		return this.#trigger;
	}

	/** Number of attempts that the latest heartbeat lists. */
	get count(): number {
		return this.#listed.length;
	}

	/** Adds an attempt that the heartbeat lists. */
	add(task: ExitedTask): void {
		this.#listed.push(task);
	}

	/** Empties the list, before the attempts in a new heartbeat are added or when no task is left on the machine. */
	clear(): void {
		if (this.#listed.length > 0) this.#listed = [];
	}

	/**
	 * Returns the attempts for which a forget command may be sent, in the order in which the worker listed them.
	 *
	 * @param isRecorded True if the attempt's outcome is durable.
	 * @param keepTrigger True to leave out the last of these attempts and keep it as the heartbeat trigger.
	 */
	selectForgettable(isRecorded: (task: ExitedTask) => boolean, keepTrigger: boolean): ExitedTask[] {
		const forgettable = this.#listed.filter(isRecorded);
		this.#trigger = keepTrigger ? (forgettable.pop() ?? null) : null;
		return forgettable;
	}

	/** Returns and clears the heartbeat trigger; the caller sends the forget command for it. */
	consumeHeartbeatTrigger(): AttemptRef | null {
		const trigger = this.#trigger;
		this.#trigger = null;
		return trigger;
	}
}
