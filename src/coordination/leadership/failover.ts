import { Machine, unknownMachineType } from "../../bookkeeping/machine.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { Log } from "../ports/log.js";
import type { WorkerGateway } from "../ports/workers.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * Machines asked straight for their tasks in each tick of a takeover, at least, and with a large
 * fleet as part of it: all at once would topple a small share of a core.
 */
const leastProbesPerTick = 12;
const probedPartPerTick = 0.01;
const probesWhenLate = 2;
const probeTries = 3;
/** A machine not heard for this long after a takeover is given back. */
const hiddenPatienceMs = 2000;

interface Probe {
	machine: Machine;
	session: number;
	tries: number;
}

export interface FailoverHooks {
	post(command: () => void): void;
	/** This process may act for the controllers. */
	active(): boolean;
	/** The term is over for good. */
	ended(): boolean;
	reconcileHeartbeat(report: WorkerHeartbeat): void;
	/** The cloud has named its machines, and this one is not among them. */
	missingFromCloudList(id: string): boolean;
}

/** Hears every machine of the leader before, or gives it up. */
export class Failover {
	private readonly probes: Probe[] = [];
	/** Stands for machines whose records cannot be read, until their leases have run out. */
	private unreadable: Machine | null = null;
	/** Silence of machines is judged by the time since then. */
	private listeningSince: number;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly workers: WorkerGateway,
		private readonly beganAt: number,
		private readonly hooks: FailoverHooks,
		private readonly log: Log,
	) {
		this.listeningSince = beganAt;
	}

	/** The process stood still: machines can have been silent only while it listened. */
	onProcessPause(stalledMs: number): void {
		this.listeningSince += stalledMs;
	}

	/** The machine may hold tasks that nobody has listed yet. */
	markUnreconciled(machine: Machine, session: number): void {
		this.clusterState.markUnreconciled(machine);
		this.probes.push({ machine, session, tries: probeTries });
	}

	/** Machines of which nothing is known may hold tasks: nothing starts before every lease has run out. */
	waitOutMalformedRecords(): void {
		this.unreadable = new Machine(
			{ id: "unreadable records", type: unknownMachineType(""), zone: "", spot: false, origin: "heartbeat" },
			this.beganAt,
		);
		this.clusterState.markUnreconciled(this.unreadable);
	}

	tick(now: number, late: boolean): void {
		if (this.unreadable && now - this.beganAt > this.clusterState.workerLeaseExpiryMs) {
			this.clusterState.markReconciled(this.unreadable);
			this.unreadable = null;
		}
		this.sendProbes(late);
		this.giveUpHidden(now);
	}

	/**
	 * Asks machines straight for their tasks. An empty list of orders carries the
	 * token there, so that every answer of an earlier leader is dead from then on.
	 */
	sendProbes(late: boolean): void {
		// Most workers come by themselves; whoever is late in that is asked all the same.
		const perTick = Math.max(leastProbesPerTick, this.clusterState.machines.size * probedPartPerTick);
		let left = late ? probesWhenLate : perTick;
		while (left > 0) {
			const next = this.probes.shift();
			if (!next) return;
			if (!this.clusterState.unreconciledMachines.has(next.machine) || next.machine.agent.endpoint === "")
				continue;
			left -= 1;
			this.probe(next);
		}
	}

	private probe({ machine, session, tries }: Probe): void {
		if (!this.hooks.active()) return;
		this.workers.sendCommands(machine.agent.endpoint, this.clusterState.term, session, []).then(
			({ executed, report }) =>
				this.hooks.post(() => {
					if (!this.clusterState.unreconciledMachines.has(machine) || this.hooks.ended()) return;
					if (executed && report.machineId === machine.id) this.hooks.reconcileHeartbeat(report);
					else if (report.fencingToken <= this.clusterState.term && tries > 1) {
						this.probes.unshift({ machine, session: report.agentEpoch, tries: tries - 1 });
					}
				}),
			() =>
				this.hooks.post(() => {
					if (tries > 1 && !this.hooks.ended()) this.probes.push({ machine, session, tries: tries - 1 });
				}),
		);
	}

	/**
	 * A machine that neither reports to a new leader nor answers it holds up every
	 * start until its lease is over. Given back, it is proved gone at once. Not so
	 * when many are silent: then the fault is more likely on this side. Hundreds take
	 * a while to be heard, so it is looked at again until few are left.
	 */
	private giveUpHidden(now: number): void {
		const { unreconciledMachines: hidden, machines } = this.clusterState;
		const waitedMs = now - this.listeningSince;
		if (hidden.size === 0 || waitedMs < hiddenPatienceMs) return;
		// The fewer are left, the sooner waiting for them costs more than they do.
		const share = Math.min(1 / 5, 0.01 * 2 ** ((waitedMs - hiddenPatienceMs) / 1000));
		// What the cloud does not list was returned or taken while its record could not be dropped.
		// This is no proof, since a list may be late; its return is.
		const here = [...hidden].filter((m) => !this.hooks.missingFromCloudList(m.id));
		const few = here.length <= Math.max(2, machines.size * share);
		for (const machine of hidden) {
			if (machine === this.unreadable) continue;
			if (machine.lifecycle.deleting || !(few || this.hooks.missingFromCloudList(machine.id))) continue;
			machine.lifecycle.startDeleting();
			this.log.info({ machine: machine.id }, "unreconciled machine given up");
		}
	}
}
