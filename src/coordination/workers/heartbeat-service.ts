/** The leader's side of heartbeats: takes them over, acts on what they tell and answers them. */

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
import { takeCommands } from "./worker-commands.js";

/** How long a response waits for a placement, so that freed capacity is filled by the same response. */
const placementHoldMs = 150;

/** How long the response to a machine without tasks waits for work at most. */
const idleHoldMs = 1500;

/** The same, as a part of a heartbeat interval; the shorter one holds. */
const idleHoldIntervals = 0.6;

/** A machine heard within this part of a heartbeat interval is worth being asked for its next heartbeat. */
const recentlyHeardIntervals = 0.6;

/** What heartbeats tell the fleet, and what the fleet knows of machines. */
export interface MachineLifecycleListener {
	/** The cloud has confirmed that the machine is deleted: a late heartbeat of it must not be answered. */
	isDeleted(machineId: MachineId): boolean;
	/** The machine has sent its first heartbeat to this leader. */
	onMachineRunning(machine: Machine): void;
}

/** What the heartbeat service of a term works with. */
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
	finishIfDone(job: Job): void;
	tickDelay: TickDelay;
	clock: Clock;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** The leader may act. */
	active(): boolean;
	/** The machine's record is to be written before anything starts there. */
	recordMachine(machine: Machine): void;
}

/**
 * Owns the responses of one term to workers. What a heartbeat tells is taken over at once; the response is held back
 * for a moment where something may be placed, since a start goes only in a response.
 */
export class HeartbeatService {
	private readonly pending: PendingHeartbeats;
	/** Machines with assigned attempts that have not been sent. */
	private readonly machinesWithAssignments = new Set<Machine>();
	/** Whether a task is ready to start, worked out once a batch; null: not yet in this batch. */
	private taskReady: boolean | null = null;

	constructor(private readonly options: HeartbeatServiceOptions) {
		const { clock, post } = options;
		this.pending = new PendingHeartbeats({ clock, post, commandsFor: (id) => this.commandsById(id) });
	}

	/** Takes over a heartbeat and answers it; null: this process may not answer for the controllers. */
	handle(heartbeat: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		const { term, fleet, clock } = this.options;
		// A worker that has seen a later token drops our response, and would wait here while its lease expires.
		if (!this.options.active() || heartbeat.fencingToken > fencingTokenOf(term)) return refused;
		if (fleet.isDeleted(heartbeat.machineId)) return refused;
		const now = clock.now();
		const result = this.reconcile(heartbeat);
		switch (result.kind) {
			// A response would renew a lease that counts as expired, or keep tasks alive of which nothing is known.
			case "lease expired":
			case "unknown machine type":
				return refused;
			case "outdated":
				return Promise.resolve([]);
			case "reconciled":
				return this.respond(result.machine, now);
		}
	}

	/** Answers the machine's heartbeat, at once or as soon as there is something to start. */
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
		// Freed capacity is filled by the same response: the next one is a heartbeat interval away. A machine without
		// tasks has nothing to tell meanwhile, and is answered when work comes.
		if (!idle) return this.pending.hold(machine.id, now + placementHoldMs, "placement");
		const holdMs = Math.min(idleHoldMs, heartbeatIntervalS * 1000 * idleHoldIntervals);
		return this.pending.hold(machine.id, now + holdMs, "idle");
	}

	/** null: this process may not answer. The response may renew the worker's lease. */
	private commandsFor(machine: Machine): WorkerCommand[] | null {
		if (!this.options.active()) return null;
		machine.agent.responseSent(this.options.clock.now());
		this.machinesWithAssignments.delete(machine);
		return takeCommands(this.options.clusterState, machine);
	}

	private commandsById(machineId: MachineId): WorkerCommand[] | null {
		const machine = this.options.clusterState.machines.get(machineId);
		return machine ? this.commandsFor(machine) : null;
	}

	/** Takes over what a worker tells, without a response: also where it was asked directly. */
	reconcile(heartbeat: WorkerHeartbeat): ReconciliationResult {
		const { clusterState, clock } = this.options;
		const now = clock.now();
		const orphansBefore = clusterState.machines.get(heartbeat.machineId)?.orphans ?? [];
		const result = reconcileHeartbeat(clusterState, heartbeat, now);
		if (result.kind === "reconciled") this.actOn(result, orphansBefore, now);
		return result;
	}

	private actOn(result: ReconciledHeartbeat, orphansBefore: readonly OrphanedTask[], now: number): void {
		const { log, orphanCleanup, fleet, commandSender, heartbeatIntervalS } = this.options;
		const { machine } = result;
		if (machine.orphans.length > 0) orphanCleanup.stop(machine, orphansBefore);
		if (result.firstHeartbeat) fleet.onMachineRunning(machine);
		if (result.newMachine)
			log.info({ machineId: machine.id, machineType: machine.type.name }, "machine running");
		for (const outcome of result.outcomes) this.noteOutcome(outcome, now);
		// Not only by outcomes: a job's last tasks may have ended while nobody led (trace 33).
		for (const job of result.jobsWithDoneTasks) this.options.finishIfDone(job);
		for (const replica of result.startedReplicas) log.debug(replicaFields(replica), "replica running");
		for (const { taskId } of result.lostAttempts) log.info({ machineId: machine.id, taskId }, "task lost");
		commandSender.stop(stopBeforeReclaim(machine, now, heartbeatIntervalS));
	}

	private noteOutcome(outcome: AttemptOutcome, now: number): void {
		const { attempt, cause } = outcome;
		if (attempt.job.isService) this.options.log.debug({ ...replicaFields(attempt), cause }, "replica ended");
		this.options.faultAttribution.record(outcome, now);
	}

	/** Whether a task of any job is ready to start, worked out once a batch, however many heartbeats it holds. */
	anyTaskReady(now: number): boolean {
		this.taskReady ??= [...this.options.clusterState.jobs.values()].some((job) => job.hasReadyTask(now));
		return this.taskReady;
	}

	/** A batch of actions has ended. */
	onBatchEnd(): void {
		this.taskReady = null;
	}

	/** An attempt was assigned; its start goes out with the response to the machine's heartbeat. */
	onAssigned(attempt: Attempt): void {
		this.machinesWithAssignments.add(attempt.machine);
		if (attempt.job.isService) this.options.log.debug(replicaFields(attempt), "replica assigned");
	}

	/** An attempt was assigned to the machine apart from placement. */
	onRelocatedTo(machine: Machine): void {
		this.machinesWithAssignments.add(machine);
	}

	/**
	 * Sends the starts of assigned attempts, to machines whose heartbeat waits for its response. The others get
	 * theirs with the next heartbeat, which is brought on where that costs little: one exited attempt is left with
	 * each machine, and forgetting it by direct command makes the worker send a heartbeat. When the process is
	 * short of processor time, a connection for each start is too much.
	 */
	sendAssigned(now: number): void {
		const { heartbeatIntervalS, tickDelay, commandSender } = this.options;
		const recentlyMs = heartbeatIntervalS * 1000 * recentlyHeardIntervals;
		for (const machine of this.machinesWithAssignments) {
			if (this.pending.has(machine.id)) {
				this.pending.release(machine.id);
				continue;
			}
			if (tickDelay.overloaded || now - machine.agent.lastHeartbeatAt > recentlyMs) continue;
			const trigger = machine.exitedTasks.consumeHeartbeatTrigger();
			if (trigger === null) continue;
			const { jobId, taskIndex, attempt } = trigger;
			commandSender.send(machine, [{ kind: "forget", jobId, taskIndex, attempt }]);
		}
		this.machinesWithAssignments.clear();
	}

	/** No placement is under way any more: answers all machines that waited for one. */
	releaseForPlacement(): void {
		this.pending.releaseForPlacement();
	}

	/** Nobody is answered any more by this leader, or not by what was known before. */
	refuseAll(): void {
		this.pending.refuseAll();
	}

	/** The machine is deleted. */
	onMachineDeleted(machine: Machine): void {
		this.machinesWithAssignments.delete(machine);
	}
}

/** This process may not answer for the controllers. */
const refused: Promise<null> = Promise.resolve(null);

function replicaFields({ taskId, machine }: Attempt): object {
	return { taskId, machineId: machine.id, zone: machine.zone };
}
