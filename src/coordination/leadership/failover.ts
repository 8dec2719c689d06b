/**
 * Failover: a new leader takes over the machines of the one before.
 *
 * A machine that a stored record names may hold tasks of which the new leader knows nothing. It is *unreconciled*
 * until a heartbeat, or its answer to a direct command, shows it under this leader's fencing token; or until it is
 * proved gone; or until its lease has certainly expired. No task starts while any machine is unreconciled, which
 * `ClusterState` sees to. This module makes that time short: it asks machines directly, and gives up those that
 * are not heard.
 *
 * Traces 02, 03, 18, 21, 24, 45 and 47; `failover.test.ts`; "where the machines that may hold tasks cannot be
 * read ..." in malformed-input.test.ts.
 */

import { Machine, unknownMachineType } from "../../bookkeeping/machine.js";
import { type AgentEpoch, fencingTokenOf, type MachineId } from "../../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { DirectCommandResult, WorkerGateway } from "../ports/workers.js";
import type { ClusterState } from "../state/cluster-state.js";

/** Machines that are asked in one tick, at least; all at once would use up a small share of a core. */
const minProbesPerTick = 12;

/** The same in a large fleet, as a part of its machines. */
const probedPartPerTick = 0.01;

/** Machines that are asked in one tick while the process is short of processor time. */
const probesPerTickWhenOverloaded = 2;

/** Attempts at asking one machine. */
const maxProbeAttempts = 3;

/** Machines are given up only after they were silent for this long. */
const patienceMs = 2000;

/** In the beginning machines are given up only if no more than this part of the fleet is unreconciled. */
const initialGiveUpPart = 0.01;

/** That part doubles each second, up to this: with more machines silent, the fault is more likely on this side. */
const maxGiveUpPart = 1 / 5;

/** So few machines are given up whatever the size of the fleet. */
const alwaysFew = 2;

/** An attempt at asking a machine directly for its tasks. */
interface Probe {
	machine: Machine;
	/** The epoch that the worker is believed to be in: it ignores commands that name another. */
	agentEpoch: AgentEpoch;
	attemptsLeft: number;
}

/** What a failover needs of the leader. */
export interface FailoverOptions {
	clusterState: ClusterState;
	workers: WorkerGateway;
	/** Steady time at which the term began. */
	termStartedAt: number;
	log: Log;
	/** Runs an action in the process's serial executor. */
	post(action: () => void): void;
	/** This process may act for the controllers now. */
	active(): boolean;
	/** The term is over for good. */
	ended(): boolean;
	/** Squares the state of a machine with the cluster state, which reconciles the machine. */
	reconcileHeartbeat(heartbeat: WorkerHeartbeat): void;
	/** The cloud has listed its machines, and this one is not among them. */
	missingFromCloudList(machineId: MachineId): boolean;
}

/** Owns the probes of one term, and decides which unreconciled machines are given up. */
export class Failover {
	private readonly probes: Probe[] = [];
	/** Stands for machines whose stored records are malformed, until every lease has expired. */
	private unknownMachines: Machine | null = null;
	/** Steady time since which silence of machines counts. */
	private listeningSince: number;

	constructor(private readonly options: FailoverOptions) {
		this.listeningSince = options.termStartedAt;
	}

	/** Machines cannot be heard while the process pauses, so the pause does not count as their silence. */
	onProcessPause(pauseMs: number): void {
		this.listeningSince += pauseMs;
	}

	/** The machine may hold tasks that are not known here; its worker was last known in that epoch. */
	markUnreconciled(machine: Machine, agentEpoch: AgentEpoch): void {
		this.options.clusterState.markUnreconciled(machine);
		this.probes.push({ machine, agentEpoch, attemptsLeft: maxProbeAttempts });
	}

	/** Machines of which nothing is known may hold tasks: nothing starts before every lease has expired. */
	blockStartsUntilLeasesExpire(): void {
		const { clusterState, termStartedAt: beganAt } = this.options;
		this.unknownMachines = new Machine(
			{ id: "unreadable records", type: unknownMachineType(""), zone: "", spot: false, origin: "heartbeat" },
			beganAt,
		);
		clusterState.markUnreconciled(this.unknownMachines);
	}

	/** Called often, with authority. */
	tick(now: number, overloaded: boolean): void {
		const { clusterState, termStartedAt: beganAt } = this.options;
		if (this.unknownMachines && now - beganAt > clusterState.workerLeaseExpiryMs) {
			clusterState.markReconciled(this.unknownMachines);
			this.unknownMachines = null;
		}
		this.sendProbes(overloaded);
		this.giveUpSilentMachines(now);
	}

	/**
	 * Asks the next machines directly for their tasks. An empty list of commands carries the fencing token to them,
	 * so that the workers drop every response of an earlier leader from then on. Most workers come by themselves
	 * before their turn.
	 */
	sendProbes(overloaded: boolean): void {
		const { clusterState } = this.options;
		const perTick = Math.max(minProbesPerTick, clusterState.machines.size * probedPartPerTick);
		let left = overloaded ? probesPerTickWhenOverloaded : perTick;
		while (left > 0) {
			const probe = this.probes.shift();
			if (!probe) return;
			const { machine } = probe;
			if (!clusterState.unreconciledMachines.has(machine) || machine.agent.endpoint === "") continue;
			left -= 1;
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
			// The machine may be out of reach; whether it is given up is decided by its silence.
			log.debug({ machineId: machine.id, err: error }, "direct command failed");
			post(() => this.probeFailed(probe));
			return;
		}
		post(() => this.probeAnswered(probe, result));
	}

	private probeAnswered(
		{ machine, attemptsLeft }: Probe,
		{ executed, heartbeat }: DirectCommandResult,
	): void {
		const { clusterState, ended, reconcileHeartbeat } = this.options;
		if (!clusterState.unreconciledMachines.has(machine) || ended()) return;
		if (executed && heartbeat.machineId === machine.id) reconcileHeartbeat(heartbeat);
		// Refused for another epoch: it is asked again under the one that it has named. A later fencing token means
		// that another controller leads.
		else if (heartbeat.fencingToken <= clusterState.term && attemptsLeft > 1) {
			this.probes.unshift({ machine, agentEpoch: heartbeat.agentEpoch, attemptsLeft: attemptsLeft - 1 });
		}
	}

	private probeFailed({ machine, agentEpoch, attemptsLeft }: Probe): void {
		if (attemptsLeft > 1 && !this.options.ended())
			this.probes.push({ machine, agentEpoch, attemptsLeft: attemptsLeft - 1 });
	}

	/**
	 * A machine that is not heard holds up every start until its lease has expired. Deleted, it is proved gone at
	 * once. It is not deleted while many are silent, for then the fault is more likely on this side; hundreds of
	 * machines also take a while to be heard. What the cloud does not list was deleted or reclaimed while its record
	 * could not be removed. A list may be late, so this is no proof; the answer to the deletion is.
	 */
	private giveUpSilentMachines(now: number): void {
		const { clusterState, missingFromCloudList, log } = this.options;
		const unreconciled = clusterState.unreconciledMachines;
		const waitedMs = now - this.listeningSince;
		if (unreconciled.size === 0 || waitedMs < patienceMs) return;
		const listed = [...unreconciled].filter((machine) => !missingFromCloudList(machine.id));
		const few = listed.length <= this.mostGivenUp(waitedMs);
		for (const machine of unreconciled) {
			if (machine === this.unknownMachines || machine.lifecycle.deleting) continue;
			if (!few && !missingFromCloudList(machine.id)) continue;
			machine.lifecycle.startDeleting();
			log.info({ machineId: machine.id }, "unreconciled machine given up");
		}
	}

	/** The fewer machines are left, the sooner waiting for them costs more than they do. */
	private mostGivenUp(waitedMs: number): number {
		const growth = 2 ** ((waitedMs - patienceMs) / 1000);
		const part = Math.min(maxGiveUpPart, initialGiveUpPart * growth);
		return Math.max(alwaysFew, this.options.clusterState.machines.size * part);
	}
}
