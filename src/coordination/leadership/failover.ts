/**
 * Failover: reconciles a new leader with the machines of the previous one.
 *
 * A machine that a stored record lists may run tasks that the new leader has no record of. It is *unreconciled*
 * until a heartbeat, or its response to a direct command, carries this leader's fencing token; or until its deletion
 * is confirmed; or until its lease has certainly expired. No task starts while any machine is unreconciled, which
 * `ClusterState` enforces. This module keeps that time short: it probes machines by direct commands, and deletes
 * those that stay unresponsive.
 *
 * Traces 02, 03, 18, 21, 24, 45 and 47; `failover.test.ts`; "if machine records cannot be decoded ..." in
 * malformed-input.test.ts.
 */

import { Machine, unknownMachineType } from "../../bookkeeping/machine.js";
import { type AgentEpoch, fencingTokenOf, type MachineId } from "../../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { DirectCommandResult, WorkerGateway } from "../ports/workers.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Minimum number of machines that are probed in one tick. Probing all at once would exhaust the processor time of a
 * controller that has only a small share of a core.
 */
const minProbesPerTick = 12;

/** Number of machines that are probed in one tick in a large fleet, as a fraction of the fleet. */
const probedFractionPerTick = 0.01;

/** Number of machines that are probed in one tick while the process is short of processor time. */
const probesPerTickWhenOverloaded = 2;

/** Maximum number of probes of one machine. */
const maxProbeAttempts = 3;

/** Machines are deleted only after they were unresponsive for this long. */
const minUnresponsiveMs = 2000;

/** At first, unresponsive machines are deleted only if they are at most this fraction of the fleet. */
const initialDeletedFraction = 0.01;

/**
 * The fraction doubles each second, up to this maximum: with more machines unresponsive, the fault is more likely in
 * this controller or its network.
 */
const maxDeletedFraction = 1 / 5;

/** Up to this many unresponsive machines are deleted in a fleet of any size. */
const minDeletionLimit = 2;

/** A request for a machine's tasks by a direct command without commands. */
interface Probe {
	machine: Machine;
	/** The latest epoch known of the worker, which ignores commands for another epoch. */
	agentEpoch: AgentEpoch;
	attemptsLeft: number;
}

/** Dependencies of a failover. */
export interface FailoverOptions {
	clusterState: ClusterState;
	workers: WorkerGateway;
	/** Monotonic time at which the term began. */
	termStartedAt: number;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** True if this process has authority now. */
	active(): boolean;
	/** True if the term has ended. */
	ended(): boolean;
	/** Applies a machine's heartbeat to the cluster state, which makes the machine reconciled. */
	reconcileHeartbeat(heartbeat: WorkerHeartbeat): void;
	/** True if the cloud has listed its machines, and the list does not contain this one. */
	missingFromCloudList(machineId: MachineId): boolean;
}

/** Owns the probes of one term, and decides which unreconciled machines are deleted. */
export class Failover {
	private readonly probes: Probe[] = [];
	/** Represents the machines whose stored records are malformed, until all workers' leases have expired. */
	private malformedRecordsPlaceholder: Machine | null = null;
	/** Monotonic time from which unreconciled machines count as unresponsive. */
	private unresponsiveSince: number;

	constructor(private readonly options: FailoverOptions) {
		this.unresponsiveSince = options.termStartedAt;
	}

	/** Excludes a process pause from the time without responses, since no response is received during it. */
	onProcessPause(pauseMs: number): void {
		this.unresponsiveSince += pauseMs;
	}

	/** Records that the machine may run unknown tasks, and queues a probe for the latest known epoch of its worker. */
	markUnreconciled(machine: Machine, agentEpoch: AgentEpoch): void {
		this.options.clusterState.markUnreconciled(machine);
		this.probes.push({ machine, agentEpoch, attemptsLeft: maxProbeAttempts });
	}

	/**
	 * Blocks all starts until all workers' leases have expired, since machines whose stored records are malformed may
	 * run tasks.
	 */
	blockStartsUntilLeasesExpire(): void {
		const { clusterState, termStartedAt } = this.options;
		this.malformedRecordsPlaceholder = new Machine(
			{ id: "unreadable records", type: unknownMachineType(""), zone: "", spot: false, origin: "heartbeat" },
			termStartedAt,
		);
		clusterState.markUnreconciled(this.malformedRecordsPlaceholder);
	}

	/** Called often, with authority. */
	tick(now: number, overloaded: boolean): void {
		const { clusterState, termStartedAt } = this.options;
		if (this.malformedRecordsPlaceholder && now - termStartedAt > clusterState.workerLeaseExpiryMs) {
			clusterState.markReconciled(this.malformedRecordsPlaceholder);
			this.malformedRecordsPlaceholder = null;
		}
		this.sendProbes(overloaded);
		this.deleteUnresponsiveMachines(now);
	}

	/**
	 * Probes the next machines for their tasks. The empty list of commands carries the fencing token to the workers,
	 * which then reject every later response of an earlier leader. Most workers send a heartbeat before they are
	 * probed.
	 */
	sendProbes(overloaded: boolean): void {
		const { clusterState } = this.options;
		const probesPerTick = Math.max(minProbesPerTick, clusterState.machines.size * probedFractionPerTick);
		let remaining = overloaded ? probesPerTickWhenOverloaded : probesPerTick;
		while (remaining > 0) {
			const probe = this.probes.shift();
			if (!probe) return;
			const { machine } = probe;
			if (!clusterState.unreconciledMachines.has(machine) || machine.agent.endpoint === "") continue;
			remaining -= 1;
			void this.send(probe);
		}
	}

	private async send(probe: Probe): Promise<void> {
		const { clusterState, workers, active, post, log } = this.options;
		if (!active()) return;
		const { machine, agentEpoch } = probe;
		let result: DirectCommandResult;
		try {
			const token = fencingTokenOf(clusterState.term);
			result = await workers.sendCommands(machine.agent.endpoint, token, agentEpoch, []);
		} catch (error) {
			// The machine may be unreachable; `deleteUnresponsiveMachines` decides whether it is deleted.
			log.debug({ machineId: machine.id, err: error }, "direct command failed");
			post(() => this.probeFailed(probe));
			return;
		}
		post(() => this.responseReceived(probe, result));
	}

	private responseReceived(
		{ machine, attemptsLeft }: Probe,
		{ executed, heartbeat }: DirectCommandResult,
	): void {
		const { clusterState, ended, reconcileHeartbeat } = this.options;
		if (!clusterState.unreconciledMachines.has(machine) || ended()) return;
		if (executed && heartbeat.machineId === machine.id) reconcileHeartbeat(heartbeat);
		// The worker refused the probe for its epoch: the probe is repeated with the epoch in its response. A later
		// fencing token means that another controller leads.
		else if (heartbeat.fencingToken <= clusterState.term && attemptsLeft > 1) {
			this.probes.unshift({ machine, agentEpoch: heartbeat.agentEpoch, attemptsLeft: attemptsLeft - 1 });
		}
	}

	private probeFailed({ machine, agentEpoch, attemptsLeft }: Probe): void {
		if (attemptsLeft > 1 && !this.options.ended())
			this.probes.push({ machine, agentEpoch, attemptsLeft: attemptsLeft - 1 });
	}

	/**
	 * Deletes unresponsive machines. Such a machine blocks every start until its lease has expired, and its deletion
	 * proves at once that its tasks have ended. While many machines are unresponsive, none is deleted: then the fault is
	 * more likely in this controller or its network, and heartbeats of hundreds of machines take time to arrive. The
	 * exception is a machine that the cloud does not list, which was deleted or reclaimed while its record could not be
	 * removed. The list may be out of date, so it is no proof that the machine is gone; the response to the deletion is.
	 */
	private deleteUnresponsiveMachines(now: number): void {
		const { clusterState, missingFromCloudList, log } = this.options;
		const unreconciled = clusterState.unreconciledMachines;
		const elapsedMs = now - this.unresponsiveSince;
		if (unreconciled.size === 0 || elapsedMs < minUnresponsiveMs) return;
		const notMissing = [...unreconciled].filter((machine) => !missingFromCloudList(machine.id));
		const withinLimit = notMissing.length <= this.deletionLimit(elapsedMs);
		for (const machine of unreconciled) {
			if (machine === this.malformedRecordsPlaceholder || machine.lifecycle.deleting) continue;
			if (!withinLimit && !missingFromCloudList(machine.id)) continue;
			machine.lifecycle.startDeleting();
			log.info({ machineId: machine.id }, "deleting unresponsive unreconciled machine");
		}
	}

	/**
	 * Returns the maximum number of unresponsive machines at which they are deleted. It grows with time, because the
	 * fewer machines are unresponsive, the sooner blocking all starts costs more than replacing them.
	 */
	private deletionLimit(elapsedMs: number): number {
		const growth = 2 ** ((elapsedMs - minUnresponsiveMs) / 1000);
		const fraction = Math.min(maxDeletedFraction, initialDeletedFraction * growth);
		return Math.max(minDeletionLimit, this.options.clusterState.machines.size * fraction);
	}
}
