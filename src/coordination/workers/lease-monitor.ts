/** Expires the leases of silent workers, and ends quarantines and probations that have lasted long enough. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/** With more unreachable machines than this number and this part of all, the fault is more likely on this side. */
const fewUnreachable = 2;
const fewUnreachablePart = 1 / 5;

/** Looks at all machines of a term in each tick. */
export class LeaseMonitor {
	private reconciledLogged = false;

	/** @param termStartedAt Steady time at which the term began. */
	constructor(
		private readonly clusterState: ClusterState,
		private readonly termStartedAt: number,
		private readonly log: Log,
	) {}

	/**
	 * Called ten times a second, with authority.
	 *
	 * @param overloaded The process is short of processor time.
	 */
	tick(now: number, overloaded: boolean): void {
		this.logReconciled(now);
		const unreachable: Machine[] = [];
		for (const machine of this.clusterState.machines.values()) {
			const { agent, health, lifecycle } = machine;
			if (agent.unreachableSince !== null && !lifecycle.deleting) unreachable.push(machine);
			if (health.quarantined || health.onProbation) health.applyExpiry(now);
			this.expireIfSilent(machine, now);
		}
		if (overloaded) this.disregardIfMany(unreachable);
	}

	/**
	 * Where many machines seem unreachable while this process is short of processor time, its responses come too late.
	 * Deleting the machines would cost all their work (trace 23).
	 */
	private disregardIfMany(unreachable: readonly Machine[]): void {
		const few = Math.max(fewUnreachable, this.clusterState.machines.size * fewUnreachablePart);
		if (unreachable.length <= few) return;
		this.log.info({ machines: unreachable.length }, "many machines unreachable while overloaded: ignored");
		for (const { agent } of unreachable) agent.assumeReachable();
	}

	/** Nothing starts before all tasks of earlier leaders are known; the operators see how long that has taken. */
	private logReconciled(now: number): void {
		if (this.reconciledLogged || !this.clusterState.reconciled) return;
		this.reconciledLogged = true;
		const afterMs = Math.round(now - this.termStartedAt);
		this.log.info({ term: this.clusterState.term, afterMs }, "failover complete");
	}

	/**
	 * Counted from the latest response to the worker, drift and margin included, so the worker has killed its tasks by
	 * now ("the tasks of a machine…" in tests/coordination/workers/lease-monitor.test.ts; traces 02, 09, 18).
	 */
	private expireIfSilent(machine: Machine, now: number): void {
		const { agent } = machine;
		if (agent.leaseExpired) return;
		if (!agent.running && !this.clusterState.unreconciledMachines.has(machine)) return;
		if (now - agent.lastResponseAt <= this.clusterState.workerLeaseExpiryMs) return;
		const tasks = this.clusterState.expireLease(machine);
		this.log.info({ machineId: machine.id, tasks }, "worker lease expired");
	}
}
