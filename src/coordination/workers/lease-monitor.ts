/** Expires the leases of workers without recent responses, and ends quarantines and probations after their periods. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/**
 * If more machines than this number and this fraction of all appear unreachable while the process is overloaded, the
 * fault is more likely in this process than in the machines.
 */
const maxCredibleUnreachable = 2;
const maxCredibleUnreachableFraction = 1 / 5;

/** Checks the leases and the health states of all machines of a term on each tick. */
export class LeaseMonitor {
	private failoverLogged = false;

	/** @param termStartedAt Monotonic time at which the term began. */
	constructor(
		private readonly clusterState: ClusterState,
		private readonly termStartedAt: number,
		private readonly log: Log,
	) {}

	/**
	 * Called ten times a second while the leader is authorized to act.
	 *
	 * @param overloaded True if the process is short of processor time.
	 */
	tick(now: number, overloaded: boolean): void {
		this.logFailoverComplete(now);
		const unreachable: Machine[] = [];
		for (const machine of this.clusterState.machines.values()) {
			const { agent, health, lifecycle } = machine;
			if (agent.unreachableSince !== null && !lifecycle.deleting) unreachable.push(machine);
			if (health.quarantined || health.onProbation) health.applyExpiry(now);
			this.expireLeaseIfDue(machine, now);
		}
		if (overloaded) this.assumeReachableIfMany(unreachable);
	}

	/**
	 * If many machines appear unreachable while this process is short of processor time, it treats them as reachable:
	 * the cause is that its own responses are late, and deleting the machines would lose all the work on them (trace
	 * 23).
	 */
	private assumeReachableIfMany(unreachable: readonly Machine[]): void {
		const maxCredible = Math.max(
			maxCredibleUnreachable,
			this.clusterState.machines.size * maxCredibleUnreachableFraction,
		);
		if (unreachable.length <= maxCredible) return;
		this.log.info(
			{ machines: unreachable.length },
			"many machines unreachable while overloaded; assumed reachable",
		);
		for (const { agent } of unreachable) agent.assumeReachable();
	}

	/** Logs once how long the failover took: starts were blocked until all tasks of earlier leaders were reconciled. */
	private logFailoverComplete(now: number): void {
		if (this.failoverLogged || !this.clusterState.reconciled) return;
		this.failoverLogged = true;
		const afterMs = Math.round(now - this.termStartedAt);
		this.log.info({ term: this.clusterState.term, afterMs }, "failover complete");
	}

	/**
	 * The expiry period starts at the latest response to the worker and includes clock drift and a margin, so that the
	 * worker has killed its tasks when it ends ("a machine's tasks restart elsewhere only once…" in
	 * tests/coordination/workers/lease-monitor.test.ts; traces 02, 09, 18).
	 */
	private expireLeaseIfDue(machine: Machine, now: number): void {
		const { agent } = machine;
		if (agent.leaseExpired) return;
		if (!agent.running && !this.clusterState.unreconciledMachines.has(machine)) return;
		if (now - agent.lastResponseAt <= this.clusterState.workerLeaseExpiryMs) return;
		const tasks = this.clusterState.expireLease(machine);
		this.log.info({ machineId: machine.id, tasks }, "worker lease expired");
	}
}
