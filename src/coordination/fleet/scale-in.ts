import type { Machine } from "../../bookkeeping/machine.js";
import type { Clock } from "../ports/clock.js";
import type { CloudProvider } from "../ports/cloud.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { ProvisioningTimes } from "./provisioning-times.js";

/** Machines that were returned are known as gone for so long: late copies of their reports may come. */
const goneKeptMs = 10 * 60_000;
/** One that the cloud takes away is returned this much earlier. */
const takenLeadMs = 700;
/** A machine without tasks that answers do not reach goes back after this long. */
const deafPatienceMs = 5000;
/** Machines of a zone that is cut off are waited for this many times as long. */
const zonePatience = 4;
const retryMs = 700;
/** The cloud's own bound. */
const mostPerCall = 100;

export interface ScaleInHooks {
	post(command: () => void): void;
	/** A machine is proved gone: its record may go, and its tasks wait again. */
	gone(machine: Machine): void;
}

/** Gives machines back to the cloud; its answer proves them gone. */
export class ScaleIn {
	private readonly goneAt = new Map<string, number>();
	private returning = false;
	private nextReturn = 0;
	/** Unanswered for this long, a machine whose lease is over goes back. */
	private readonly silentMs: number;
	/** Zones that seem to be cut off: their machines are kept for longer. */
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

	isCutOff(zone: string): boolean {
		return this.cutOff.has(zone);
	}

	/** Called often, with authority. */
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
			this.hooks.gone(machine);
		}
	}

	private failed(error: unknown): void {
		this.returning = false;
		this.nextReturn = this.time.now() + retryMs;
		this.log.debug({ err: String(error) }, "scale-in failed");
	}

	private reasonToReturn(machine: Machine, now: number): string | null {
		if (machine.lifecycle.deleting) return "return requested";
		// A machine that vanishes proves nothing until its lease has run out; one that was
		// returned is proved gone at once, and so are the tasks on it.
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

	private outOfReach(machine: Machine, hidden: boolean, holdsTasks: boolean, now: number): string | null {
		// Most of a zone does not fall silent machine by machine: it is cut off, and what runs
		// there is worth more when it is heard again than what would have to boot then.
		const patience = this.cutOff.has(machine.zone) ? zonePatience : 1;
		if (machine.agent.leaseExpired && now - machine.agent.lastResponseAt > this.silentMs * patience)
			return "silent";
		if (!hidden && this.bootTimes.isGivenUp(machine, now)) return "never came up";
		// Its tasks go on until its lease has run out, unless answers reach it again before.
		const deafMs = holdsTasks ? this.leaseMs : deafPatienceMs;
		if (machine.agent.unreachableSince !== null && now - machine.agent.unreachableSince > deafMs)
			return "answers do not reach it";
		return null;
	}
}

/** Zones of which most machines that were up are lost. */
function silentZones(machines: Iterable<Machine>): Set<string> {
	const zones = new Map<string, { lost: number; up: number }>();
	for (const machine of machines) {
		// One that a new leader never heard is lost too, once its lease has run out.
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
