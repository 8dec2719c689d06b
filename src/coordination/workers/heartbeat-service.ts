/** The leader's side of heartbeats: reconciles them, acts on the results and sends the responses. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { OrphanedTask } from "../../bookkeeping/orphaned-task.js";
import { fencingTokenOf, type MachineId, type Term } from "../../protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { TickDelay } from "../runtime/tick-delay.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "./direct-command-sender.js";
import type { FaultAttribution } from "./fault-attribution.js";
import {
	type ReconciledHeartbeat,
	type ReconciliationResult,
	reconcileHeartbeat,
} from "./heartbeat-reconciliation.js";
import type { OrphanCleanup } from "./orphan-cleanup.js";
import { PendingHeartbeats } from "./pending-heartbeats.js";
import { stopBeforeReclaim } from "./spot-reclaim.js";
import type { AttemptOutcome } from "./task-reconciliation.js";
import { issueCommands, stopCommandsFor } from "./worker-commands.js";

/** Maximum time that a response is held for a placement, so that the same response fills the freed capacity. */
const placementHoldMs = 150;

/** Maximum time that the response to a machine without tasks is held until there is a task for it. */
const idleHoldMs = 1500;

/** The same limit as a fraction of the heartbeat interval; the shorter of the two applies. */
const idleHoldIntervalFraction = 0.6;

/**
 * A machine's next heartbeat is triggered early only if its last one is at most this fraction of the heartbeat interval
 * old; otherwise the next one is due soon anyway.
 */
const recentHeartbeatIntervalFraction = 0.6;

/** The part of the fleet that the heartbeat service uses. */
export interface MachineLifecycleListener {
	/** True if the cloud has confirmed the machine's deletion: late heartbeats of it must get no response. */
	isDeleted(machineId: MachineId): boolean;
	/** Called when the machine has sent its first heartbeat to this leader. */
	onMachineRunning(machine: Machine): void;
}

/** The dependencies of the heartbeat service of one term. */
export interface HeartbeatServiceOptions {
	term: Term;
	/** Seconds between a worker's heartbeats. */
	heartbeatIntervalS: number;
	clusterState: ClusterState;
	fleet: MachineLifecycleListener;
	commandSender: DirectCommandSender;
	faultAttribution: FaultAttribution;
	orphanCleanup: OrphanCleanup;
	/** Ends the job in the store if all its tasks are done. */
	finalizeIfDone(job: Job): void;
	tickDelay: TickDelay;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** True if the leader is authorized to act. */
	active(): boolean;
	/** Writes the machine's record, which must be stored before a task starts there. */
	recordMachine(machine: Machine): void;
}

/**
 * Owns the responses of one term to workers. A heartbeat is reconciled at once. Its response is held for a limited time
 * if a task may be placed on the machine, since start commands are sent only in responses.
 */
export class HeartbeatService {
	private readonly pending: PendingHeartbeats;
	/** Machines with assigned attempts that have not been sent. */
	private readonly machinesWithAssignments = new Set<Machine>();
	/** True if a task is ready to start; computed once per batch of actions; null: not computed in this batch yet. */
	private taskReady: boolean | null = null;

	constructor(private readonly options: HeartbeatServiceOptions) {
		const { clock, post } = options;
		this.pending = new PendingHeartbeats({ clock, post, commandsFor: (id) => this.commandsById(id) });
	}

	/** Reconciles a heartbeat and returns the response's commands; null: this process may not respond as the leader. */
	handle(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		const { term, fleet, clock } = this.options;
		// A worker that has received a later token drops this leader's response, and its lease would expire while it
		// waits for one.
		if (!this.options.active() || heartbeat.fencingToken > fencingTokenOf(term)) return refusedResponse;
		if (fleet.isDeleted(heartbeat.machineId)) return refusedResponse;
		const now = clock.now();
		const result = this.reconcile(heartbeat);
		switch (result.kind) {
			// A response would renew a lease that counts as expired, or keep unrecorded tasks alive on an unknown
			// machine.
			case "lease expired":
			case "unknown machine type":
				return refusedResponse;
			case "outdated":
				return this.respondToOutdated(heartbeat);
			case "reconciled":
				return this.respond(result.machine, now);
		}
	}

	/** Returns the response's commands, at once or when a task can start, up to the maximum hold time. */
	private respond(machine: Machine, now: number): Promise<WorkerCommand[] | null> {
		const { clusterState, heartbeatIntervalS } = this.options;
		machine.agent.responseSent(now);
		if (!machine.lifecycle.recorded) this.options.recordMachine(machine);
		this.pending.supersede(machine.id);
		const taskReady = this.anyTaskReady(now);
		const idle = machine.attempts.size === 0 && !taskReady;
		if (!machine.schedulable || machine.capacity.freeCpus <= 0 || !(taskReady || idle))
			return Promise.resolve(this.commandsFor(machine));
		if (taskReady) clusterState.requestPlacement();
		// The same response fills freed capacity, since the next one is a heartbeat interval away. A machine without
		// tasks has no changes to report meanwhile, so its response can be held longer.
		if (!idle) return this.pending.hold(machine.id, now + placementHoldMs, "placement");
		const holdMs = Math.min(idleHoldMs, heartbeatIntervalS * 1000 * idleHoldIntervalFraction);
		return this.pending.hold(machine.id, now + holdMs, "idle");
	}

	/**
	 * Returns the commands for the response to a heartbeat that is older than the latest one. The worker may still wait for
	 * it, and then it renews the lease; so it contains the stops. Starts would be lost if the heartbeat is a late copy.
	 */
	private respondToOutdated({ machineId, sequence }: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		const machine = this.options.clusterState.machines.get(machineId);
		if (!machine) return refusedResponse;
		const { agent } = machine;
		agent.outdatedResponseSent();
		const latestSequence = agent.sequence;
		this.options.log.debug({ machineId, sequence, latestSequence }, "outdated heartbeat answered");
		return Promise.resolve(stopCommandsFor(machine));
	}

	/** Returns the commands for a response sent now, which may renew the lease; null: this process may not respond. */
	private commandsFor(machine: Machine): WorkerCommand[] | null {
		if (!this.options.active()) return null;
		machine.agent.responseSent(this.options.clock.now());
		this.machinesWithAssignments.delete(machine);
		return issueCommands(this.options.clusterState, machine);
	}

	private commandsById(machineId: MachineId): WorkerCommand[] | null {
		const machine = this.options.clusterState.machines.get(machineId);
		return machine ? this.commandsFor(machine) : null;
	}

	/**
	 * Reconciles a heartbeat without responding to it. Also used for heartbeats returned by direct calls to workers.
	 */
	reconcile(heartbeat: WorkerHeartbeat): ReconciliationResult {
		const { clusterState, clock } = this.options;
		const now = clock.now();
		const previousOrphans = clusterState.machines.get(heartbeat.machineId)?.orphans ?? [];
		const result = reconcileHeartbeat(clusterState, heartbeat, now);
		if (result.kind === "reconciled") this.handleReconciled(result, previousOrphans, now);
		return result;
	}

	private handleReconciled(
		result: ReconciledHeartbeat,
		previousOrphans: readonly OrphanedTask[],
		now: number,
	): void {
		const { log, orphanCleanup, fleet, commandSender, heartbeatIntervalS } = this.options;
		const { machine } = result;
		if (machine.orphans.length > 0) orphanCleanup.stopOrphans(machine, previousOrphans);
		if (result.firstHeartbeat) fleet.onMachineRunning(machine);
		if (result.newMachine)
			log.info({ machineId: machine.id, machineType: machine.type.name }, "unknown machine running");
		for (const outcome of result.outcomes) this.recordOutcome(outcome, now);
		// Outcomes alone do not suffice: a job's last tasks may have ended while there was no leader (trace 33).
		for (const job of result.jobsWithDoneTasks) this.options.finalizeIfDone(job);
		for (const replica of result.startedReplicas) log.debug(replicaLogFields(replica), "replica running");
		for (const { taskId } of result.lostAttempts) log.info({ machineId: machine.id, taskId }, "task lost");
		commandSender.sendStops(stopBeforeReclaim(machine, now, heartbeatIntervalS));
	}

	private recordOutcome(outcome: AttemptOutcome, now: number): void {
		const { attempt, cause } = outcome;
		if (attempt.job.isService)
			this.options.log.debug({ ...replicaLogFields(attempt), cause }, "replica ended");
		this.options.faultAttribution.record(outcome, now);
	}

	/**
	 * True if a task of any job is ready to start. Computed once per batch, however many heartbeats the batch contains.
	 */
	anyTaskReady(now: number): boolean {
		this.taskReady ??= [...this.options.clusterState.jobs.values()].some((job) => job.hasReadyTask(now));
		return this.taskReady;
	}

	/** Called at the end of a batch of actions. */
	onBatchEnd(): void {
		this.taskReady = null;
	}

	/** Records that an attempt was assigned; its start is sent in the response to a heartbeat of the machine. */
	onAssigned(attempt: Attempt): void {
		this.machinesWithAssignments.add(attempt.machine);
		if (attempt.job.isService) this.options.log.debug(replicaLogFields(attempt), "replica assigned");
	}

	/** Records that replica relocation, not placement, assigned an attempt to the machine. */
	onRelocationAssigned(machine: Machine): void {
		this.machinesWithAssignments.add(machine);
	}

	/**
	 * Sends the starts of assigned attempts to machines whose heartbeats await their responses. Other machines get
	 * theirs with the next heartbeat, which is triggered early if that is cheap: one exited attempt is left in each
	 * worker's list, and a direct command to forget it makes the worker send a heartbeat at once. This is skipped while
	 * the process is overloaded, because a connection for each start would cost too much processor time.
	 */
	sendStarts(now: number): void {
		const { heartbeatIntervalS, tickDelay, commandSender } = this.options;
		const recentHeartbeatMs = heartbeatIntervalS * 1000 * recentHeartbeatIntervalFraction;
		for (const machine of this.machinesWithAssignments) {
			if (this.pending.has(machine.id)) {
				this.pending.release(machine.id);
				continue;
			}
			if (tickDelay.overloaded || now - machine.agent.lastHeartbeatAt > recentHeartbeatMs) continue;
			const trigger = machine.exitedTasks.consumeHeartbeatTrigger();
			if (trigger === null) continue;
			const { jobId, taskIndex, attempt } = trigger;
			commandSender.send(machine, [{ kind: "forget", jobId, taskIndex, attempt }]);
		}
		this.machinesWithAssignments.clear();
	}

	/** Sends the responses that were held for a placement, when none is in progress any more. */
	releaseAwaitingPlacement(): void {
		this.pending.releaseAwaitingPlacement();
	}

	/** Refuses all pending heartbeats, because the term has ended or a process pause has made the state out of date. */
	refuseAll(): void {
		this.pending.refuseAll();
	}

	/** Discards unsent starts for a deleted machine. */
	onMachineDeleted(machine: Machine): void {
		this.machinesWithAssignments.delete(machine);
	}
}

/** The result for a heartbeat to which this process may not respond. */
const refusedResponse: Promise<null> = Promise.resolve(null);

function replicaLogFields({ taskId, machine }: Attempt): object {
	return { taskId, machineId: machine.id, zone: machine.zone };
}
