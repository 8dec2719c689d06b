/** The tasks of a job that wait for a start, in a size that follows what happened to the job, not its task count. */

/** Read-only view of the waiting tasks of a job. */
export interface ReadonlyWaitingTasks extends Iterable<number> {
	/** Number of waiting tasks. */
	readonly count: number;
}

/**
 * The waiting tasks of a job: those that are not taken, which means done or with an attempt. Tasks from `#rangeStart` on
 * have never been dequeued; they start in ascending order, and none of them is stored. An earlier task that waits again
 * after its attempt is in a list, of which the last one starts first, before the range.
 */
export class WaitingTasks implements ReadonlyWaitingTasks {
	#rangeStart = 0;
	/** Number of taken tasks in the range. */
	#takenInRange = 0;
	/** Tasks before the range that wait again, each once. */
	readonly #requeued: number[] = [];

	/**
	 * @param taskCount Number of tasks of the job.
	 * @param isTaken True if the task is done or has an attempt.
	 */
	constructor(
		private readonly taskCount: number,
		private readonly isTaken: (taskIndex: number) => boolean,
	) {}

	get count(): number {
		return this.#requeued.length + this.taskCount - this.#rangeStart - this.#takenInRange;
	}

	/** Yields the waiting tasks in the order in which they start. Takes time in proportion to the task count. */
	*[Symbol.iterator](): Iterator<number> {
		yield* [...this.#requeued].reverse();
		for (let i = this.#rangeStart; i < this.taskCount; i++) if (!this.isTaken(i)) yield i;
	}

	/**
	 * Makes every task wait that is not taken; the task with the lowest number starts first.
	 *
	 * @param takenCount Number of taken tasks.
	 */
	reset(takenCount: number): void {
		this.#requeued.length = 0;
		this.#rangeStart = 0;
		this.#takenInRange = takenCount;
	}

	/** Removes and returns the task that starts next; undefined: none waits. The caller takes the task. */
	dequeue(): number | undefined {
		return this.#requeued.pop() ?? this.dequeueFromRange();
	}

	private dequeueFromRange(): number | undefined {
		while (this.#rangeStart < this.taskCount) {
			const taskIndex = this.#rangeStart;
			this.#rangeStart += 1;
			if (!this.isTaken(taskIndex)) return taskIndex;
			this.#takenInRange -= 1;
		}
		return undefined;
	}

	/** Removes a task before it is taken. Does nothing if it does not wait, such as after `dequeue`. */
	remove(taskIndex: number): void {
		if (taskIndex >= this.#rangeStart) {
			if (!this.isTaken(taskIndex)) this.#takenInRange += 1;
			return;
		}
		const position = this.#requeued.indexOf(taskIndex);
		if (position >= 0) this.#requeued.splice(position, 1);
	}

	/** Makes a task wait again that is no longer taken. It starts before the tasks that were never dequeued. */
	requeue(taskIndex: number): void {
		if (taskIndex < this.#rangeStart) this.#requeued.push(taskIndex);
		else this.#takenInRange -= 1;
	}

	/** Removes all tasks. */
	clear(): void {
		this.#requeued.length = 0;
		this.#rangeStart = this.taskCount;
		this.#takenInRange = 0;
	}
}
