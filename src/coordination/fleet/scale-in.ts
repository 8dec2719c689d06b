/** Deletion of machines that are empty, unresponsive, unreachable or about to be reclaimed. */

import type { Machine } from "../../bookkeeping/machine.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { ProvisioningTimes } from "./provisioning-times.js";

/** The ids of deleted machines are kept for this long, since delayed heartbeats of them may still arrive. */
const deletedRetentionMs = 10 * 60_000;
/** A spot machine is deleted this long before the cloud reclaims it. */
const reclaimLeadMs = 700;
/** A machine without tasks that does not receive responses is deleted after this long. */
const idleUnreachableTimeoutMs = 5000;
/** The timeout for unresponsive machines is multiplied by this in an isolated zone. */
const isolatedZoneTimeoutFactor = 4;
const retryMs = 700;
/** The cloud's limit on the machines of one call. */
const maxMachinesPerCall = 100;

/** Actions of the fleet that scale-in calls. */
export interface ScaleInHooks {
	/** Runs the action in the process's serial executor. */
	post(action: () => void): void;
	/**
	 * Called when the cloud has confirmed the machine's deletion: its record can be deleted, and its tasks wait
	 * again.
	 */
	onMachineDeleted(machine: Machine): void;
}

/** Deletes machines. The cloud's response confirms that they, and all tasks on them, no longer exist. */
export class ScaleIn {
	private readonly deletedAtById = new Map<string, number>();
	private deletionInFlight = false;
	private nextDeletionAt = 0;
	/** A machine whose lease has expired is deleted this long after the last response to it. */
	private readonly unresponsiveTimeoutMs: number;
	/** Zones that seem to be isolated: their machines are deleted later. */
	private isolatedZones = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly clock: Clock,
		unresponsiveExtraMs: number,
		private readonly provisioningTimes: ProvisioningTimes,
		private readonly leaseMs: number,
		private readonly hooks: ScaleInHooks,
		private readonly log: Log,
	) {
		this.unresponsiveTimeoutMs = leaseMs + unresponsiveExtraMs;
	}

	isDeleted(machine: string): boolean {
		return this.deletedAtById.has(machine);
	}

	isZoneIsolated(zone: string): boolean {
		return this.isolatedZones.has(zone);
	}

	/** Called in each tick of the leader, while it may act. */
	tick(now: number): void {
		this.isolatedZones = findIsolatedZones(this.clusterState.machines.values());
		if (this.deletionInFlight || now < this.nextDeletionAt) return;
		const toDelete = this.machinesToDelete(now);
		if (toDelete.length === 0) return;
		this.deletionInFlight = true;
		this.cloud.deleteMachines(toDelete.map((m) => m.id)).then(
			() => this.hooks.post(() => this.onDeleted(toDelete)),
			(error) => this.hooks.post(() => this.onDeletionFailed(error)),
		);
	}

	/** Starts the deletion of machines, as many as one call allows, and returns them. */
	private machinesToDelete(now: number): Machine[] {
		const toDelete: Machine[] = [];
		for (const machine of this.clusterState.machines.values()) {
			const reason = this.deletionReason(machine, now);
			if (reason === null) continue;
			if (!machine.lifecycle.deleting) this.log.info({ machineId: machine.id, reason }, "scale-in requested");
			machine.lifecycle.startDeleting();
			toDelete.push(machine);
			if (toDelete.length === maxMachinesPerCall) break;
		}
		return toDelete;
	}

	private onDeleted(machines: Machine[]): void {
		const now = this.clock.now();
		this.deletionInFlight = false;
		for (const [id, deletedAt] of this.deletedAtById)
			if (now - deletedAt > deletedRetentionMs) this.deletedAtById.delete(id);
		for (const machine of machines) {
			this.deletedAtById.set(machine.id, now);
			this.hooks.onMachineDeleted(machine);
		}
	}

	private onDeletionFailed(error: unknown): void {
		this.deletionInFlight = false;
		this.nextDeletionAt = this.clock.now() + retryMs;
		this.log.debug({ err: String(error) }, "scale-in failed");
	}

	/** Returns why the machine is to be deleted, for the log; null: it is not. */
	private deletionReason(machine: Machine, now: number): string | null {
		if (machine.lifecycle.deleting) return "deletion requested before";
		// Tasks on a machine that is reclaimed count as running until its lease has expired. Deleting the machine
		// first confirms at once that they have ended.
		if (machine.lifecycle.reclaimAt !== null && now >= machine.lifecycle.reclaimAt - reclaimLeadMs)
			return "spot reclaim imminent";
		const unreconciled = this.clusterState.unreconciledMachines.has(machine);
		const mayHoldTasks = machine.attempts.size > 0 || unreconciled;
		const unreachableReason = this.unreachableReason(machine, unreconciled, mayHoldTasks, now);
		if (unreachableReason !== null || mayHoldTasks) return unreachableReason;
		if (machine.health.quarantined) return "quarantined";
		if (machine.lifecycle.draining) return "drained";
		return machine.lifecycle.reclaimAt !== null && machine.agent.fenced
			? "drained before spot reclaim"
			: null;
	}

	/** Returns why the machine counts as unreachable for good; null: it does not. */
	private unreachableReason(
		machine: Machine,
		unreconciled: boolean,
		mayHoldTasks: boolean,
		now: number,
	): string | null {
		// If most machines of a zone are unresponsive, the zone is isolated. Its machines are kept for longer: once
		// the zone is reachable again, they still run their tasks, whereas new machines would have to boot first.
		const timeoutFactor = this.isolatedZones.has(machine.zone) ? isolatedZoneTimeoutFactor : 1;
		if (
			machine.agent.leaseExpired &&
			now - machine.agent.lastResponseAt > this.unresponsiveTimeoutMs * timeoutFactor
		)
			return "unresponsive";
		if (!unreconciled && this.provisioningTimes.isBootTimedOut(machine, now)) return "boot timed out";
		// Its tasks run until its lease expires, and need not end if responses reach it again before that.
		const unreachableTimeoutMs = mayHoldTasks ? this.leaseMs : idleUnreachableTimeoutMs;
		if (
			machine.agent.unreachableSince !== null &&
			now - machine.agent.unreachableSince > unreachableTimeoutMs
		)
			return "responses do not reach the worker";
		return null;
	}
}

/** Returns the zones in which the leases of most machines, and of at least three, have expired. */
function findIsolatedZones(machines: Iterable<Machine>): Set<string> {
	const zones = new Map<string, { expired: number; total: number }>();
	for (const machine of machines) {
		// This includes machines that never sent a heartbeat to this leader, once their leases have expired.
		if (!machine.agent.running && !machine.agent.leaseExpired) continue;
		const zone = zones.get(machine.zone) ?? { expired: 0, total: 0 };
		zone.total += 1;
		if (machine.agent.leaseExpired) zone.expired += 1;
		zones.set(machine.zone, zone);
	}
	const isolated = new Set<string>();
	for (const [name, { expired, total }] of zones) if (expired >= 3 && expired > total / 2) isolated.add(name);
	return isolated;
}
