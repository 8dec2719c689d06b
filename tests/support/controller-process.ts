/** One simulated controller process, its pauses and its connections. */

import type { Controller } from "../../src/coordination/controller.js";
import type { Clock } from "../../src/coordination/ports/clock.js";
import type { HttpCaller } from "../../src/transport/clients/http-client.js";
import type { publicApi } from "../../src/transport/public/public-api.js";
import type { UnnamedProcess } from "./unnamed-process.js";

/** A running controller and what belongs to its process alone. */
export interface ControllerProcess {
	id: string;
	controller: Controller;
	app: ReturnType<typeof publicApi>;
	executor: PausableExecutor;
	workerConnections: WorkerConnections;
	/** Set if the process exchanges messages as a version up to 0.8.0 does. */
	unnamed: UnnamedProcess | null;
}

/** The workers' connections to one process on which a heartbeat awaits its response. */
export class WorkerConnections {
	private readonly resets = new Set<() => void>();

	/** Adds a connection that `reset` resets, and returns the function that removes it. */
	add(reset: () => void): () => void {
		this.resets.add(reset);
		return () => this.resets.delete(reset);
	}

	resetAll(): void {
		for (const reset of this.resets) reset();
	}
}

/**
 * Runs the callbacks of a controller process and simulates a process pause: while paused, due timers and incoming
 * messages are queued, though clocks run on; they are processed in order on `resume`.
 */
export class PausableExecutor {
	private queued: (() => void)[] | null = null;

	runOrQueue(action: () => void): void {
		if (this.queued) this.queued.push(action);
		else action();
	}

	pause(): void {
		this.queued ??= [];
	}

	resume(): void {
		const queued = this.queued ?? [];
		this.queued = null;
		for (const action of queued) action();
	}

	settleWhenRunning<T>(result: Promise<T>): Promise<T> {
		return new Promise((resolve, reject) =>
			result.then(
				(value) => this.runOrQueue(() => resolve(value)),
				(error) => this.runOrQueue(() => reject(error)),
			),
		);
	}

	clock(time: Clock): Clock {
		return {
			now: () => time.now(),
			date: () => time.date(),
			after: (ms, run) => time.after(ms, () => this.runOrQueue(run)),
		};
	}

	caller(http: HttpCaller): HttpCaller {
		return {
			call: (method, path, body, deadlineMs) =>
				this.settleWhenRunning(http.call(method, path, body, deadlineMs)),
			close: () => http.close(),
		};
	}
}
