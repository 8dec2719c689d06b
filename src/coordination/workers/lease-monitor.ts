import type { Machine } from "../../bookkeeping/machine.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";

/** With more machines than these that answers seem not to reach, the fault is more likely on this side. */
const fewUnreachable = 2;
const fewUnreachablePart = 1 / 5;

/** Looks at all machines in each tick: what has expired, what is over, and whom answers do not reach. */
export class LeaseMonitor {
	private rebuiltSaid = false;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly beganAt: number,
		private readonly log: Log,
	) {}

	/** Called in each tick, with authority. */
	tick(now: number, busy: boolean): void {
		this.sayRebuilt(now);
		const unreachable: Machine[] = [];
		for (const machine of this.clusterState.machines.values()) {
			if (machine.agent.unreachableSince !== null && !machine.lifecycle.deleting) unreachable.push(machine);
			if (machine.health.quarantined || machine.health.onProbation) machine.health.endIfOver(now);
			this.expireIfSilent(machine, now);
		}
		if (busy) this.excuse(unreachable);
	}

	/** Where many seem not to hear while the processor is short, it is our answers that come too late. */
	private excuse(unreachable: Machine[]): void {
		const few = Math.max(fewUnreachable, this.clusterState.machines.size * fewUnreachablePart);
		if (unreachable.length <= few) return;
		this.log.info({ machines: unreachable.length }, "many machines unreachable while overloaded: ignored");
		for (const machine of unreachable) {
			machine.agent.assumeReachable();
		}
	}

	private sayRebuilt(now: number): void {
		if (this.rebuiltSaid || !this.clusterState.reconciled) return;
		this.rebuiltSaid = true;
		const afterMs = Math.round(now - this.beganAt);
		this.log.info({ term: this.clusterState.term, afterMs }, "failover complete");
	}

	private expireIfSilent(machine: Machine, now: number): void {
		if (
			machine.agent.leaseExpired ||
			!(machine.agent.running || this.clusterState.unreconciledMachines.has(machine))
		)
			return;
		if (now - machine.agent.respondedAt <= this.clusterState.workerLeaseExpiryMs) return;
		const tasks = this.clusterState.expireLease(machine);
		this.log.info({ machine: machine.id, tasks }, "worker lease expired");
	}
}
