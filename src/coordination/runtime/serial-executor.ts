/**
 * The serial executor: the one owner of a process's state.
 *
 * Handlers of requests, answers of outside systems and timers never touch the state themselves. They post an action,
 * and the executor runs the actions one at a time, in the order in which they were posted. Actions run in batches,
 * so that work that several of them make necessary, such as placing tasks, is done once after the batch.
 */

/** Runs actions one at a time. */
export class SerialExecutor {
	private queue: (() => void)[] = [];
	private scheduled = false;
	private readonly batchStartHooks: (() => void)[] = [];
	private readonly batchEndHooks: (() => void)[] = [];

	/**
	 * @param schedule Runs a batch soon, and not within the call.
	 * @param onError Called with what an action has thrown.
	 */
	constructor(
		private readonly schedule: (run: () => void) => void,
		private readonly onError: (error: unknown) => void,
	) {}

	/** Adds what runs before the first action of each batch. */
	onBatchStart(hook: () => void): void {
		this.batchStartHooks.push(hook);
	}

	/** Adds what runs after the last action of each batch. */
	onBatchEnd(hook: () => void): void {
		this.batchEndHooks.push(hook);
	}

	/** Runs the action after all that were posted before. */
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

	/** What is posted while a batch runs belongs to the next one. */
	private runBatch(): void {
		const batch = this.queue;
		this.queue = [];
		this.scheduled = false;
		for (const hook of this.batchStartHooks) this.runGuarded(hook);
		for (const action of batch) this.runGuarded(action);
		for (const hook of this.batchEndHooks) this.runGuarded(hook);
	}

	/** An action that fails must not end the process, and with it all other work. */
	private runGuarded(run: () => void): void {
		try {
			run();
		} catch (error) {
			this.onError(error);
		}
	}
}
