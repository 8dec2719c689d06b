/**
 * Reconciles a worker's heartbeat with the cluster state.
 *
 * A worker has at most one heartbeat in flight. When it sends one with a larger (agent epoch, sequence), the response
 * to the previous one has been executed or can no longer be executed, so a task that the new heartbeat does not list is
 * not on the machine. Late copies of earlier heartbeats are ignored.
 *
 * The response to a direct command has the form and the sequence number of a heartbeat, but may cross one whose response
 * is still awaited. Only responses to probes are reconciled: before the machine is reconciled, and so before any start is
 * sent to it that they could seem to lack (`failover.ts`). The heartbeat that a probe's response crossed is outdated, but
 * the response to it may renew the lease (`WorkerAgent.outdatedResponseSent`).
 */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import { Machine } from "../../bookkeeping/machine.js";
import { fencingTokenOf } from "../../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";
import { type AttemptOutcome, TaskReconciliation } from "./task-reconciliation.js";

/** The effects of a heartbeat on the cluster state, as input for logging and further decisions. */
export interface ReconciledHeartbeat {
	kind: "reconciled";
	machine: Machine;
	/** Attempts that have exited since the previous heartbeat. */
	outcomes: readonly AttemptOutcome[];
	/** Jobs with tasks that the heartbeat lists as done, under attempts of this leader or of earlier leaders. */
	jobsWithDoneTasks: ReadonlySet<Job>;
	/** Attempts that were on the machine and have disappeared without a reported exit. */
	lostAttempts: readonly Attempt[];
	/** Replicas that are reported running for the first time. */
	startedReplicas: readonly Attempt[];
	/** True if the cluster state did not contain the machine. */
	newMachine: boolean;
	/** True if this is the worker's first heartbeat to this leader. */
	firstHeartbeat: boolean;
}

/** The reason why a heartbeat is rejected without effect. */
export type HeartbeatRefusal =
	/** The heartbeat is older than the latest heartbeat or response to a probe, or a copy of it. */
	| "outdated"
	/** The heartbeat belongs to a lease that has expired, and a response must not renew that lease. */
	| "lease expired"
	/** The cloud does not list the machine's type, so the machine's capacity is unknown. */
	| "unknown machine type";

/** The result of reconciling a heartbeat. */
export type ReconciliationResult = ReconciledHeartbeat | { kind: HeartbeatRefusal };

/** Applies a worker's heartbeat, received at the monotonic time `now`, to the cluster state. */
export function reconcileHeartbeat(
	clusterState: ClusterState,
	heartbeat: WorkerHeartbeat,
	now: number,
): ReconciliationResult {
	const existing = clusterState.machines.get(heartbeat.machineId);
	const machine = existing ?? addMachineFromHeartbeat(clusterState, heartbeat, now);
	if (!machine) return { kind: "unknown machine type" };
	const refusal = refusalOf(clusterState, machine, heartbeat, now);
	if (refusal) return { kind: refusal };
	const { agent } = machine;
	const newAgentEpoch = agent.agentEpoch !== 0 && heartbeat.agentEpoch > agent.agentEpoch;
	// The lease expired although a response was sent recently. If this happens once, that response may merely have
	// arrived too late.
	const leaseExpired = newAgentEpoch && now - agent.lastResponseAt < clusterState.workerLeaseExpiryMs / 2;
	const firstHeartbeat = !agent.running;
	recordHeartbeat(clusterState, machine, heartbeat, now);
	const taskReconciliation = new TaskReconciliation(clusterState, machine, now);
	taskReconciliation.reconcileListed(heartbeat.tasks);
	const startMissing = !newAgentEpoch && taskReconciliation.startMissing();
	agent.updateReachability(
		{ leaseExpired, startMissing, startListed: taskReconciliation.startListed },
		clusterState.workerLeaseExpiryMs,
		now,
	);
	const lostAttempts = taskReconciliation.reconcileAbsent(newAgentEpoch);
	const { outcomes, jobsWithDoneTasks, startedReplicas } = taskReconciliation;
	return {
		kind: "reconciled",
		machine,
		outcomes,
		jobsWithDoneTasks,
		lostAttempts,
		startedReplicas,
		newMachine: existing === undefined,
		firstHeartbeat,
	};
}

/** Adds the machine that sent the heartbeat. Returns null if its type is unknown. */
function addMachineFromHeartbeat(
	clusterState: ClusterState,
	heartbeat: WorkerHeartbeat,
	now: number,
): Machine | null {
	const { machineId: id, machineType, zone, spot } = heartbeat;
	const type = clusterState.machineTypes.get(machineType);
	if (!type) return null;
	const machine = new Machine({ id, type, zone, spot, origin: "heartbeat" }, now);
	clusterState.addMachine(machine);
	return machine;
}

/** Returns the reason to reject the heartbeat, or null if it is accepted. */
function refusalOf(
	clusterState: ClusterState,
	machine: Machine,
	{ agentEpoch, sequence, fencingToken }: WorkerHeartbeat,
	now: number,
): HeartbeatRefusal | null {
	const { agent } = machine;
	if (agentEpoch < agent.minAgentEpoch) return "lease expired";
	if (agentEpoch < agent.agentEpoch) return "outdated";
	if (agentEpoch > agent.agentEpoch) return null;
	if (sequence <= agent.sequence) return "outdated";
	// A heartbeat with an earlier fencing token shows that the worker has received none of this leader's responses.
	// Those sent so far can no longer arrive and have not renewed the lease, so it still dates from before this term,
	// however often this leader has responded ("responses to a worker that never shows the leader's token do not renew
	// its lease" in tests/coordination/workers/heartbeat-reconciliation.test.ts; trace 24).
	const renewed = agent.fenced || fencingToken >= fencingTokenOf(clusterState.term);
	if (renewed || now - agent.addedAt <= clusterState.workerLeaseExpiryMs) return null;
	clusterState.expireLease(machine);
	return "lease expired";
}

/** Updates the worker and its machine, but not their tasks. A worker that shows this leader's token is fenced. */
function recordHeartbeat(
	clusterState: ClusterState,
	machine: Machine,
	heartbeat: WorkerHeartbeat,
	now: number,
): void {
	const { agent, lifecycle } = machine;
	const { reclaimInS, fencingToken } = heartbeat;
	agent.heartbeatReceived(heartbeat, now);
	lifecycle.heartbeatReceived(reclaimInS === null ? null : now + reclaimInS * 1000);
	if (fencingToken !== fencingTokenOf(clusterState.term) || agent.fenced) return;
	agent.fencingConfirmed();
	clusterState.markReconciled(machine);
	clusterState.requestPlacement();
}
