import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { Clock } from "../ports/clock.js";
import type { Log } from "../ports/log.js";
import type { TickDelay } from "../runtime/tick-delay.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "./direct-command-sender.js";
import type { FaultAttribution } from "./fault-attribution.js";
import { commandsFor, type ReconciliationResult, reconcileHeartbeat } from "./heartbeat-reconciliation.js";
import type { OrphanCleanup } from "./orphan-cleanup.js";
import { PendingHeartbeats } from "./pending-heartbeats.js";
import { stopBeforeReclaim } from "./spot-reclaim.js";

const answerHoldMs = 150;
/** A machine without tasks is answered after this, or this part of a report interval, if nothing comes. */
const idleHoldMs = 1500;
const idleHoldPart = 0.6;
/** A machine that reported within this part of an interval is worth being asked for its next report. */
const reportedLatelyPart = 0.6;

/** What heartbeats tell the fleet, and what the fleet knows of machines. */
export interface MachineLifecycleListener {
	/** The cloud has confirmed that the machine is deleted: a late heartbeat of it must not be answered. */
	isDeleted(machine: string): boolean;
	/** The machine has sent its first heartbeat to this leader. */
	onMachineRunning(machine: Machine): void;
}

export interface HeartbeatServiceOptions {
	term: number;
	/** Seconds between a worker's reports. */
	reportS: number;
	clusterState: ClusterState;
	fleet: MachineLifecycleListener;
	orders: DirectCommandSender;
	outcomes: FaultAttribution;
	unwanted: OrphanCleanup;
	/** Ends the job in the store if all its tasks are done. */
	finishIfDone(job: Job): void;
	lateness: TickDelay;
	time: Clock;
	log: Log;
	post(command: () => void): void;
	/** The leader may act. */
	active(): boolean;
	/** The machine's record is to be written before anything starts there. */
	record(machine: Machine): void;
}

/**
 * Takes workers' reports and answers them. What a report says is applied at once; its answer is held back
 * for a moment where something may be placed, since a start goes only in an answer.
 */
export class HeartbeatService {
	private readonly held: PendingHeartbeats;
	/** Machines with starts decided and not yet sent. */
	private readonly assigned = new Set<Machine>();
	/** Whether a task waits that may start, as found out in this batch; null: not looked yet. */
	private waitingNow: boolean | null = null;

	constructor(private readonly options: HeartbeatServiceOptions) {
		const { time, post } = options;
		this.held = new PendingHeartbeats(time, post, (machine) => this.answerById(machine));
	}

	/** null: this process may not answer for the controllers. */
	handle(report: WorkerHeartbeat): Promise<WorkerCommand[] | null> {
		const { clusterState, fleet, time, reportS } = this.options;
		// A worker that has seen a later token drops our answer, and would wait here while its lease runs out.
		if (!this.options.active() || report.fencingToken > this.options.term) return Promise.resolve(null);
		if (fleet.isDeleted(report.machineId)) return Promise.resolve(null);
		const now = time.now();
		const applied = this.apply(report);
		// Of a type that nobody knows no task can be told from another: it gets no answer that keeps them.
		if (applied === "expired" || applied === "unknown type") return Promise.resolve(null);
		if (applied === "old") return Promise.resolve([]);
		const machine = clusterState.machines.get(report.machineId) as Machine;
		machine.agent.responded(now);
		if (!machine.lifecycle.recorded) this.options.record(machine);
		this.held.supersede(machine.id);
		const waiting = this.anyWaiting(now);
		const idle = machine.attempts.size === 0 && !waiting;
		if (!machine.schedulable || machine.capacity.freeCpus <= 0 || !(waiting || idle))
			return Promise.resolve(this.answer(machine));
		// Freed places are filled in the same answer: the next one is a report interval away.
		// A machine without tasks has nothing to report meanwhile and is answered when work comes.
		const holdMs = idle ? Math.min(idleHoldMs, reportS * 1000 * idleHoldPart) : answerHoldMs;
		if (waiting) clusterState.requestPlacement();
		return this.held.hold(machine.id, now + holdMs, idle);
	}

	private answer(machine: Machine): WorkerCommand[] | null {
		if (!this.options.active()) return null;
		machine.agent.responded(this.options.time.now());
		this.assigned.delete(machine);
		return commandsFor(this.options.clusterState, machine);
	}

	private answerById(id: string): WorkerCommand[] | null {
		const machine = this.options.clusterState.machines.get(id);
		return machine ? this.answer(machine) : null;
	}

	/** Without an answer: also for what a machine says when it is asked. */
	apply(report: WorkerHeartbeat): ReconciliationResult["kind"] {
		const { clusterState, time, log, unwanted, fleet, outcomes, orders } = this.options;
		const now = time.now();
		const toldBefore = clusterState.machines.get(report.machineId)?.orphans ?? [];
		const applied = reconcileHeartbeat(clusterState, report, now);
		if (applied.kind !== "applied") return applied.kind;
		const { machine } = applied;
		if (machine.orphans.length > 0) unwanted.stop(machine, toldBefore);
		if (applied.cameUp) fleet.onMachineRunning(machine);
		if (applied.isNew) log.info({ machine: machine.id, type: machine.type.name }, "machine running");
		for (const outcome of applied.outcomes) {
			const { attempt, cause } = outcome;
			if (attempt.job.isService) this.logReplica(attempt, `replica ended: ${cause}`);
			outcomes.record(outcome, now);
		}
		// Not only by outcomes: a job's last tasks may have ended while nobody led.
		for (const job of applied.progressed) this.options.finishIfDone(job);
		for (const attempt of applied.begun) this.logReplica(attempt, "replica running");
		for (const { job, taskIndex: index } of applied.vanished)
			log.info({ machine: machine.id, job: job.id, task: index }, "task lost");
		orders.stop(stopBeforeReclaim(machine, now, this.options.reportS));
		return "applied";
	}

	private logReplica({ job, taskIndex: index, machine }: Attempt, message: string): void {
		const { log } = this.options;
		log.debug({ job: job.id, task: index, machine: machine.id, zone: machine.zone }, message);
	}

	/** Looked up once a batch, however many reports it holds. */
	anyWaiting(now: number): boolean {
		this.waitingNow ??= [...this.options.clusterState.jobs.values()].some((job) => job.hasReadyTask(now));
		return this.waitingNow;
	}

	/** A batch of commands has ended. */
	endBatch(): void {
		this.waitingNow = null;
	}

	/** A start was decided; it goes out with the answer to the machine's report. */
	decided(attempt: Attempt): void {
		this.assigned.add(attempt.machine);
		if (attempt.job.isService) this.logReplica(attempt, "replica assigned");
	}

	/** Starts were decided for the machine apart from placing. */
	assign(machine: Machine): void {
		this.assigned.add(machine);
	}

	/**
	 * Starts go to machines whose report waits for its answer. The others get theirs with
	 * the next report, which a change of its tasks brings on: so one exited task is left
	 * with each machine, to be forgotten by direct order when there is something to start.
	 * A connection a start is too much when the processor is short.
	 */
	sendAssigned(now: number): void {
		const { reportS, lateness, orders } = this.options;
		const latelyMs = reportS * 1000 * reportedLatelyPart;
		for (const machine of this.assigned) {
			if (this.held.has(machine.id)) {
				this.held.release(machine.id);
				continue;
			}
			const { exitedTasks } = machine;
			if (
				exitedTasks.heartbeatTrigger === null ||
				lateness.overloaded ||
				now - machine.agent.heartbeatAt > latelyMs
			)
				continue;
			const trigger = exitedTasks.takeHeartbeatTrigger();
			if (!trigger) continue;
			const { jobId, taskIndex, attempt } = trigger;
			orders.send(machine, [{ kind: "forget", jobId, taskIndex, attempt }]);
		}
		this.assigned.clear();
	}

	/** Nothing more will be placed for now: whoever was held for that is answered. */
	releaseWaiting(): void {
		this.held.releaseWaiting();
	}

	/** Nobody is answered any more by this leader, or not by what was known before. */
	refuseAll(): void {
		this.held.refuseAll();
	}

	machineGone(machine: Machine): void {
		this.assigned.delete(machine);
	}
}
