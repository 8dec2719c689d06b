import type { Machine } from "../../bookkeeping/machine.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { ProvisioningTimes } from "./provisioning-times.js";

/** Deleted machines are remembered for this long, since delayed heartbeats of them may still arrive. */
const goneKeptMs = 10 * 60_000;
/** A spot machine is deleted this long before the cloud reclaims it. */
const takenLeadMs = 700;
/** A machine without tasks that does not receive responses is deleted after this long. */
const deafPatienceMs = 5000;
/** The timeout for unresponsive machines is multiplied by this in an isolated zone. */
const zonePatience = 4;
const retryMs = 700;
/** The cloud's limit. */
const mostPerCall = 100;

export interface ScaleInHooks {
	post(command: () => void): void;
	/** The cloud has confirmed the machine's deletion: its record can be deleted, and its tasks wait again. */
	onMachineDeleted(machine: Machine): void;
}

/** Deletes machines. The cloud's response proves that they, and all tasks on them, are gone. */
export class ScaleIn {
	private readonly goneAt = new Map<string, number>();
	private returning = false;
	private nextReturn = 0;
	/** A machine whose lease has expired is deleted this long after the last response to it. */
	private readonly silentMs: number;
	/** Zones that seem to be isolated: their machines are deleted later. */
	private cutOff = new Set<string>();

	constructor(
		private readonly clusterState: ClusterState,
		private readonly cloud: CloudProvider,
		private readonly time: Clock,
		silentExtraMs: number,
		private readonly bootTimes: ProvisioningTimes,
		private readonly leaseMs: number,
		private readonly hooks: ScaleInHooks,
		private readonly log: Log,
	) {
		this.silentMs = leaseMs + silentExtraMs;
	}

	isDeleted(machine: string): boolean {
		return this.goneAt.has(machine);
	}

	isZoneIsolated(zone: string): boolean {
		return this.cutOff.has(zone);
	}

	/** Called in each tick of the leader, with authority. */
	tick(now: number): void {
		this.cutOff = silentZones(this.clusterState.machines.values());
		if (this.returning || now < this.nextReturn) return;
		const leaving = this.leaving(now);
		if (leaving.length === 0) return;
		this.returning = true;
		this.cloud.deleteMachines(leaving.map((m) => m.id)).then(
			() => this.hooks.post(() => this.returned(leaving)),
			(error) => this.hooks.post(() => this.failed(error)),
		);
	}

	/** Starts the deletion of machines, as many as one call allows, and returns them. */
	private leaving(now: number): Machine[] {
		const leaving: Machine[] = [];
		for (const machine of this.clusterState.machines.values()) {
			const why = this.reasonToReturn(machine, now);
			if (why === null) continue;
			if (!machine.lifecycle.deleting) this.log.info({ machine: machine.id, why }, "scale-in requested");
			machine.lifecycle.startDeleting();
			leaving.push(machine);
			if (leaving.length === mostPerCall) break;
		}
		return leaving;
	}

	private returned(machines: Machine[]): void {
		const now = this.time.now();
		this.returning = false;
		for (const [id, at] of this.goneAt) if (now - at > goneKeptMs) this.goneAt.delete(id);
		for (const machine of machines) {
			this.goneAt.set(machine.id, now);
			this.hooks.onMachineDeleted(machine);
		}
	}

	private failed(error: unknown): void {
		this.returning = false;
		this.nextReturn = this.time.now() + retryMs;
		this.log.debug({ err: String(error) }, "scale-in failed");
	}

	/** Returns why the machine is to be deleted, for the log; null: it is not. */
	private reasonToReturn(machine: Machine, now: number): string | null {
		if (machine.lifecycle.deleting) return "return requested";
		// Tasks on a machine that is reclaimed count as running until its lease has expired. Deleting the machine first
		// proves at once that they are gone.
		if (machine.lifecycle.reclaimAt !== null && now >= machine.lifecycle.reclaimAt - takenLeadMs)
			return "about to be taken";
		const hidden = this.clusterState.unreconciledMachines.has(machine);
		const holdsTasks = machine.attempts.size > 0 || hidden;
		const outOfReach = this.outOfReach(machine, hidden, holdsTasks, now);
		if (outOfReach !== null || holdsTasks) return outOfReach;
		if (machine.health.quarantined) return "faulty";
		if (machine.lifecycle.draining) return "drained";
		return machine.lifecycle.reclaimAt !== null && machine.agent.fenced ? "drained before it is taken" : null;
	}

	/** Returns why the machine counts as unreachable for good; null: it does not. */
	private outOfReach(machine: Machine, hidden: boolean, holdsTasks: boolean, now: number): string | null {
		// If most machines of a zone are unresponsive, the zone is isolated. Its running tasks and booted machines are worth more,
		// once it is reachable again, than new machines that would have to boot.
		const patience = this.cutOff.has(machine.zone) ? zonePatience : 1;
		if (machine.agent.leaseExpired && now - machine.agent.respondedAt > this.silentMs * patience)
			return "silent";
		if (!hidden && this.bootTimes.isBootTimedOut(machine, now)) return "never came up";
		// Its tasks run until its lease expires, and responses may reach it again before that.
		const deafMs = holdsTasks ? this.leaseMs : deafPatienceMs;
		if (machine.agent.unreachableSince !== null && now - machine.agent.unreachableSince > deafMs)
			return "answers do not reach it";
		return null;
	}
}

/** Returns the zones in which the leases of most machines, and of at least three, have expired. */
function silentZones(machines: Iterable<Machine>): Set<string> {
	const zones = new Map<string, { lost: number; up: number }>();
	for (const machine of machines) {
		// This includes machines that never sent a heartbeat to this leader, once their leases have expired.
		if (!machine.agent.running && !machine.agent.leaseExpired) continue;
		const zone = zones.get(machine.zone) ?? { lost: 0, up: 0 };
		zone.up += 1;
		if (machine.agent.leaseExpired) zone.lost += 1;
		zones.set(machine.zone, zone);
	}
	const silent = new Set<string>();
	for (const [name, { lost, up }] of zones) if (lost >= 3 && lost > up / 2) silent.add(name);
	return silent;
}
