/**
 * The queue of commands of a process. All state belongs to its single consumer:
 * handlers of requests, answers and timers enqueue a command and await it.
 * Commands run in batches; work that a batch makes necessary, such as placing,
 * is done once after it.
 */
export class SerialExecutor {
	private queue: (() => void)[] = [];
	private scheduled = false;
	private readonly beforeBatch: (() => void)[] = [];
	private readonly afterBatch: (() => void)[] = [];

	constructor(
		private readonly schedule: (run: () => void) => void,
		private readonly failed: (error: unknown) => void,
	) {}

	/** Runs before the first command of a batch acts. */
	onBatchStart(run: () => void): void {
		this.beforeBatch.push(run);
	}

	onBatchEnd(run: () => void): void {
		this.afterBatch.push(run);
	}

	post(command: () => void): void {
		this.queue.push(command);
		if (this.scheduled) return;
		this.scheduled = true;
		this.schedule(() => this.drain());
	}

	call<T>(command: () => T | Promise<T>): Promise<T> {
		return new Promise<T>((resolve, reject) => {
			this.post(() => {
				try {
					resolve(command());
				} catch (error) {
					reject(error);
				}
			});
		});
	}

	private drain(): void {
		const batch = this.queue;
		this.queue = [];
		this.scheduled = false;
		for (const run of this.beforeBatch) this.guard(run);
		for (const command of batch) this.guard(command);
		for (const run of this.afterBatch) this.guard(run);
	}

	/** A command that fails must not take the process, and with it all other work, down. */
	private guard(run: () => void): void {
		try {
			run();
		} catch (error) {
			this.failed(error);
		}
	}
}
