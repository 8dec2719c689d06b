import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { WorkerCommand } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { WorkerGateway } from "../ports/workers.js";
import { stopCommandsFor } from "./heartbeat-reconciliation.js";

interface WaitingOrders {
	machine: Machine;
	orders: WorkerCommand[];
}

/**
 * Orders that go straight to workers: stops and forgets, which may be carried out late without
 * harm. Starts never go this way. Each takes a connection of its own, and the end of one large job
 * concerns thousands of machines, so only so many are on their way at a time.
 */
export class DirectCommandSender {
	private inFlight = 0;
	private waiting: WaitingOrders[] = [];

	constructor(
		private readonly token: number,
		/** Most orders on their way at a time. */
		private readonly mostInFlight: number,
		private readonly workers: WorkerGateway,
		private readonly active: () => boolean,
		private readonly post: (command: () => void) => void,
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
		for (const [machine, list] of byMachine) this.send(machine, stopCommandsFor(list));
	}

	send(machine: Machine, orders: WorkerCommand[]): void {
		this.waiting.push({ machine, orders });
		this.sendWaiting();
	}

	/** Authority is asked for when an order leaves, however long it waited. */
	private sendWaiting(): void {
		if (!this.active()) this.waiting = [];
		while (this.inFlight < this.mostInFlight) {
			const next = this.waiting.shift();
			if (!next) return;
			if (next.machine.agent.endpoint !== "" && !next.machine.agent.leaseExpired) this.call(next);
		}
	}

	private call({ machine, orders }: WaitingOrders): void {
		this.inFlight += 1;
		this.workers
			.sendCommands(machine.agent.endpoint, this.token, machine.agent.epoch, orders)
			.catch((error) => this.log.debug({ machine: machine.id, err: String(error) }, "direct command failed"))
			.finally(() => {
				this.inFlight -= 1;
				this.post(() => this.sendWaiting());
			});
	}
}
