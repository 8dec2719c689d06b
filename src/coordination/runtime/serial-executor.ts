/**
 * The serial executor: all accesses to the state of a process run in it.
 *
 * Handlers of requests, responses of outside systems and timers never access the state directly. They post an action,
 * and the executor runs the actions one at a time, in the order in which they were posted. Actions run in batches, so
 * that work that several of them require, such as the placement of tasks, is done once after the batch.
 */

/** Runs actions one at a time. */
export class SerialExecutor {
	private queue: (() => void)[] = [];
	private scheduled = false;
	private readonly batchStartHooks: (() => void)[] = [];
	private readonly batchEndHooks: (() => void)[] = [];

	/**
	 * @param schedule Runs a batch asynchronously, after the call has returned.
	 * @param onError Called with the error that an action has thrown.
	 */
	constructor(
		private readonly schedule: (run: () => void) => void,
		private readonly onError: (error: unknown) => void,
	) {}

	/** Adds a hook that runs before the first action of each batch. */
	onBatchStart(hook: () => void): void {
		this.batchStartHooks.push(hook);
	}

	/** Adds a hook that runs after the last action of each batch. */
	onBatchEnd(hook: () => void): void {
		this.batchEndHooks.push(hook);
	}

	/** Queues the action, which runs after all actions that were posted before it. */
	post(action: () => void): void {
		this.queue.push(action);
		if (this.scheduled) return;
		this.scheduled = true;
		this.schedule(() => this.runBatch());
	}

	/** Posts the action, and resolves to its result or rejects with what it throws. */
	call<T>(action: () => T | Promise<T>): Promise<T> {
		return new Promise<T>((resolve, reject) => {
			this.post(() => {
				try {
					resolve(action());
				} catch (error) {
					reject(error);
				}
			});
		});
	}

	/** Runs the queued actions. Actions that are posted while a batch runs belong to the next one. */
	private runBatch(): void {
		const batch = this.queue;
		this.queue = [];
		this.scheduled = false;
		for (const hook of this.batchStartHooks) this.runGuarded(hook);
		for (const action of batch) this.runGuarded(action);
		for (const hook of this.batchEndHooks) this.runGuarded(hook);
	}

	/** Runs an action or hook, and catches its error so that a failed action does not end the process. */
	private runGuarded(run: () => void): void {
		try {
			run();
		} catch (error) {
			this.onError(error);
		}
	}
}
