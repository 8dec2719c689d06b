/** Sends direct commands to workers, independently of their heartbeats. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { type FencingToken, fencingTokenOf, type Term } from "../../protocol/model/identifiers.js";
import type { ForgetCommand, StopCommand } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { WorkerGateway } from "../ports/workers.js";
import { stopCommandFor } from "./worker-commands.js";

/** The kinds of command that a worker may safely execute minutes late. Start commands are not among them. */
export type DirectCommand = StopCommand | ForgetCommand;

/** Commands for one worker that are queued for sending. */
interface QueuedCommands {
	machine: Machine;
	commands: DirectCommand[];
}

/** The dependencies of the direct command sender of one term. */
export interface DirectCommandSenderOptions {
	term: Term;
	/** Maximum number of concurrent calls to workers. */
	maxInFlight: number;
	workers: WorkerGateway;
	/** True if the leader is authorized to act. */
	active(): boolean;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	log: Log;
}

/**
 * Owns the direct commands of one term. Each call uses a connection of its own, and ending one large job sends commands
 * to thousands of machines, so calls beyond `maxInFlight` are queued ("ending a job that runs on all of them opens at
 * most maxInFlight connections at a time" in tests/coordination/workers/direct-command-sender.test.ts).
 */
export class DirectCommandSender {
	private readonly fencingToken: FencingToken;
	private inFlight = 0;
	private queue: QueuedCommands[] = [];

	constructor(private readonly options: DirectCommandSenderOptions) {
		this.fencingToken = fencingTokenOf(options.term);
	}

	/** Sends stop commands for the attempts. Every heartbeat response repeats them until the attempts have ended. */
	sendStops(attempts: readonly Attempt[]): void {
		if (attempts.length === 0) return;
		const commandsByMachine = new Map<Machine, StopCommand[]>();
		for (const attempt of attempts) {
			const commands = commandsByMachine.get(attempt.machine);
			if (commands) commands.push(stopCommandFor(attempt));
			else commandsByMachine.set(attempt.machine, [stopCommandFor(attempt)]);
		}
		for (const [machine, commands] of commandsByMachine) this.send(machine, commands);
	}

	/** Sends the commands to the machine's worker once; a failed call is not retried. */
	send(machine: Machine, commands: DirectCommand[]): void {
		this.queue.push({ machine, commands });
		this.sendQueued();
	}

	/** Checks the leader's authority at the time of sending, since commands may have been queued under it earlier. */
	private sendQueued(): void {
		if (!this.options.active()) this.queue = [];
		while (this.inFlight < this.options.maxInFlight) {
			const next = this.queue.shift();
			if (!next) return;
			const { agent } = next.machine;
			if (agent.endpoint !== "" && !agent.leaseExpired) void this.sendToWorker(next);
		}
	}

	private async sendToWorker({ machine, commands }: QueuedCommands): Promise<void> {
		const { workers, post, log } = this.options;
		const { endpoint, agentEpoch } = machine.agent;
		this.inFlight += 1;
		try {
			await workers.sendCommands(endpoint, this.fencingToken, agentEpoch, commands);
		} catch (error) {
			// The response to the worker's next heartbeat contains the commands too.
			log.debug({ machineId: machine.id, err: error }, "direct command failed");
		}
		this.inFlight -= 1;
		post(() => this.sendQueued());
	}
}
