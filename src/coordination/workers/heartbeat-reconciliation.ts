/**
 * Squares a worker's heartbeat with the cluster state.
 *
 * A worker has one heartbeat in flight. So one with a larger (agent epoch, sequence) was sent after the response to
 * the one before was carried out or can no longer be, and what it does not list is not there. Late copies of earlier
 * heartbeats change nothing.
 */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import { Machine } from "../../bookkeeping/machine.js";
import { fencingTokenOf } from "../../protocol/model/identifiers.js";
import type { WorkerHeartbeat } from "../../protocol/model/worker.js";
import type { ClusterState } from "../state/cluster-state.js";
import { type AttemptOutcome, TaskReconciliation } from "./task-reconciliation.js";

/** What a heartbeat has told, for those who log and decide on it. */
export interface ReconciledHeartbeat {
	kind: "reconciled";
	machine: Machine;
	/** Attempts that have exited since the heartbeat before. */
	outcomes: readonly AttemptOutcome[];
	/** Jobs of which tasks are listed as done, under this leader's attempts or those of earlier ones. */
	jobsWithDoneTasks: ReadonlySet<Job>;
	/** Attempts that were on the machine and are gone without an exit. */
	lostAttempts: readonly Attempt[];
	/** Replicas that are reported running for the first time. */
	startedReplicas: readonly Attempt[];
	/** The machine was not known before. */
	newMachine: boolean;
	/** It is the worker's first heartbeat to this leader. */
	firstHeartbeat: boolean;
}

/** Why a heartbeat changes nothing. */
export type HeartbeatRefusal =
	/** It is older than the latest, or a copy of it. */
	| "outdated"
	/** It belongs to a lease that has expired, and must not be answered in a way that renews it. */
	| "lease expired"
	/** The cloud does not name the machine's type, so nothing is known of the machine's capacity. */
	| "unknown machine type";

/** What has become of a heartbeat. */
export type ReconciliationResult = ReconciledHeartbeat | { kind: HeartbeatRefusal };

/** Takes over a worker's heartbeat at the steady time `now`. */
export function reconcileHeartbeat(
	clusterState: ClusterState,
	heartbeat: WorkerHeartbeat,
	now: number,
): ReconciliationResult {
	const known = clusterState.machines.get(heartbeat.machineId);
	const machine = known ?? addMachineOf(clusterState, heartbeat, now);
	if (!machine) return { kind: "unknown machine type" };
	const refusal = refusalOf(clusterState, machine, heartbeat, now);
	if (refusal) return { kind: refusal };
	const { agent } = machine;
	const newAgentEpoch = agent.agentEpoch !== 0 && heartbeat.agentEpoch > agent.agentEpoch;
	// Although it was renewed. Once, the response may just have come too late.
	const leaseExpired = newAgentEpoch && now - agent.lastResponseAt < clusterState.workerLeaseExpiryMs / 2;
	const firstHeartbeat = !agent.running;
	recordHeartbeat(clusterState, machine, heartbeat, now);
	const tasks = new TaskReconciliation(clusterState, machine, now);
	tasks.reconcileListed(heartbeat.tasks);
	const startMissing = !newAgentEpoch && tasks.startMissing();
	agent.updateReachability(
		{ leaseExpired, startMissing, startListed: tasks.startListed },
		clusterState.workerLeaseExpiryMs,
		now,
	);
	const lostAttempts = tasks.reconcileAbsent(newAgentEpoch);
	const { outcomes, jobsWithDoneTasks, startedReplicas } = tasks;
	return {
		kind: "reconciled",
		machine,
		outcomes,
		jobsWithDoneTasks,
		lostAttempts,
		startedReplicas,
		newMachine: known === undefined,
		firstHeartbeat,
	};
}

/** Adds the machine that the heartbeat comes from; null: nothing is known of its type. */
function addMachineOf(clusterState: ClusterState, heartbeat: WorkerHeartbeat, now: number): Machine | null {
	const { machineId: id, machineType, zone, spot } = heartbeat;
	const type = clusterState.machineTypes.get(machineType);
	if (!type) return null;
	const machine = new Machine({ id, type, zone, spot, origin: "heartbeat" }, now);
	clusterState.addMachine(machine);
	return machine;
}

/** Why the heartbeat changes nothing; null: it is to be taken over. */
function refusalOf(
	clusterState: ClusterState,
	machine: Machine,
	{ agentEpoch, sequence, fencingToken }: WorkerHeartbeat,
	now: number,
): HeartbeatRefusal | null {
	const { agent, lifecycle } = machine;
	if (agentEpoch < agent.minAgentEpoch) return "lease expired";
	if (agentEpoch < agent.agentEpoch) return "outdated";
	if (agentEpoch > agent.agentEpoch) return null;
	if (sequence <= agent.sequence) return "outdated";
	// A heartbeat that shows an earlier token was sent without the responses before it, and these can no longer arrive:
	// they have renewed nothing. Its lease rests on what is older than this term, however often we have responded
	// ("responses to a worker that never shows the leader's token renew nothing" in
	// tests/coordination/workers/heartbeat-reconciliation.test.ts; trace 24).
	const renewed = agent.fenced || fencingToken >= fencingTokenOf(clusterState.term);
	if (renewed || now - lifecycle.requestedAt <= clusterState.workerLeaseExpiryMs) return null;
	clusterState.expireLease(machine);
	return "lease expired";
}

/** The worker and its machine, apart from the tasks. A worker that shows this leader's token is fenced. */
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
