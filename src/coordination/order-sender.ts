import type { Attempt } from "../bookkeeping/jobs.js";
import type { Machine } from "../bookkeeping/machines.js";
import type { Order } from "../protocol/model.js";
import type { Log, WorkerPort } from "./ports.js";
import { stopsFor } from "./reports.js";

/**
 * Orders that go straight to workers: stops and forgets, which may be carried out late without
 * harm. Starts never go this way.
 */
export class OrderSender {
	constructor(
		private readonly token: number,
		private readonly workers: WorkerPort,
		private readonly active: () => boolean,
		private readonly log: Log,
	) {}

	/** Stops are sent at once, and again in every answer until the attempts are over. */
	stop(attempts: Attempt[]): void {
		if (attempts.length === 0) return;
		const byMachine = new Map<Machine, Attempt[]>();
		for (const attempt of attempts) {
			const list = byMachine.get(attempt.machine);
			if (list) list.push(attempt);
			else byMachine.set(attempt.machine, [attempt]);
		}
		for (const [machine, list] of byMachine) this.send(machine, stopsFor(list));
	}

	send(machine: Machine, orders: Order[]): void {
		if (!this.active() || machine.endpoint === "" || machine.leaseExpired) return;
		this.workers
			.command(machine.endpoint, this.token, machine.session, orders)
			.catch((error) => this.log.debug({ machine: machine.id, err: String(error) }, "order not sent"));
	}
}
