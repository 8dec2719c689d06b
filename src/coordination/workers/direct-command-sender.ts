/** Commands that are sent straight to workers, without waiting for their heartbeats. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { type FencingToken, fencingTokenOf, type Term } from "../../protocol/model/identifiers.js";
import type { ForgetCommand, StopCommand } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { WorkerGateway } from "../ports/workers.js";
import { stopCommandFor } from "./worker-commands.js";

/** Commands that may be carried out minutes late without harm. Starts are not among them. */
export type DirectCommand = StopCommand | ForgetCommand;

/** Commands for one worker that wait to be sent. */
interface QueuedCommands {
	machine: Machine;
	commands: DirectCommand[];
}

/** What the sender of a term works with. */
export interface DirectCommandSenderOptions {
	term: Term;
	/** Most calls to workers at a time. */
	maxInFlight: number;
	workers: WorkerGateway;
	/** The leader may act. */
	active(): boolean;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	log: Log;
}

/**
 * Owns the calls of one term to workers. Each takes a connection of its own, and the end of one large job concerns
 * thousands of machines, so calls beyond a bound wait ("the end of a job that runs on all of them takes only so many
 * sockets" in tests/coordination/workers/direct-command-sender.test.ts).
 */
export class DirectCommandSender {
	private readonly fencingToken: FencingToken;
	private inFlight = 0;
	private queue: QueuedCommands[] = [];

	constructor(private readonly options: DirectCommandSenderOptions) {
		this.fencingToken = fencingTokenOf(options.term);
	}

	/** Tells the workers to stop these attempts. Every response repeats it until the attempts are over. */
	stop(attempts: readonly Attempt[]): void {
		if (attempts.length === 0) return;
		const byMachine = new Map<Machine, StopCommand[]>();
		for (const attempt of attempts) {
			const commands = byMachine.get(attempt.machine);
			if (commands) commands.push(stopCommandFor(attempt));
			else byMachine.set(attempt.machine, [stopCommandFor(attempt)]);
		}
		for (const [machine, commands] of byMachine) this.send(machine, commands);
	}

	/** Sends the commands to the machine's worker, once; a call that fails is not repeated. */
	send(machine: Machine, commands: DirectCommand[]): void {
		this.queue.push({ machine, commands });
		this.sendQueued();
	}

	/** Authority is tested when commands leave, however long they have waited. */
	private sendQueued(): void {
		if (!this.options.active()) this.queue = [];
		while (this.inFlight < this.options.maxInFlight) {
			const next = this.queue.shift();
			if (!next) return;
			const { agent } = next.machine;
			if (agent.endpoint !== "" && !agent.leaseExpired) void this.call(next);
		}
	}

	private async call({ machine, commands }: QueuedCommands): Promise<void> {
		const { workers, post, log } = this.options;
		const { endpoint, agentEpoch } = machine.agent;
		this.inFlight += 1;
		try {
			await workers.sendCommands(endpoint, this.fencingToken, agentEpoch, commands);
		} catch (error) {
			// The next response to the worker's heartbeat carries the commands as well.
			log.debug({ machineId: machine.id, err: error }, "direct command failed");
		}
		this.inFlight -= 1;
		post(() => this.sendQueued());
	}
}
