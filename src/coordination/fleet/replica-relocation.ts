import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { tasksByZoneExcluding, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";

const everyMs = 300;
/** Replicas of a job move one after the other, unless a machine is taken as soon as this. */
const takenSoonMs = 15_000;

/**
 * From machines that will go, replicas move early. A task may not be on two machines, so room
 * elsewhere is kept first, then the replica is stopped, and it starts there as soon as its
 * end is proved.
 */
export class ReplicaRelocation {
	private nextAt = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly orders: DirectCommandSender,
		private readonly log: Log,
	) {}

	/** Called often, with authority. */
	tick(now: number): void {
		if (now < this.nextAt || !this.clusterState.reconciled) return;
		this.nextAt = now + everyMs;
		const moved: Attempt[] = [];
		for (const machine of this.clusterState.machines.values())
			if (machine.needsEvacuation && !machine.agent.leaseExpired) moved.push(...this.moveFrom(machine, now));
		if (moved.length === 0) return;
		const replicas = moved.map(({ taskId }) => taskId);
		this.log.info({ replicas }, "replicas relocating");
		this.orders.sendStops(moved);
	}

	private moveFrom(machine: Machine, now: number): Attempt[] {
		const takenSoon = machine.lifecycle.reclaimAt !== null && machine.lifecycle.reclaimAt - now < takenSoonMs;
		const moved: Attempt[] = [];
		for (const attempt of machine.attempts.values()) {
			const { job } = attempt;
			if (!job.isService || attempt.stopRequest !== null || attempt.phase === "assigned") continue;
			if (!takenSoon && [...job.attempts.values()].some((a) => a.relocationTarget !== null)) continue;
			const target = this.targetFor(attempt);
			if (!target) continue;
			attempt.relocateTo(target);
			moved.push(attempt);
		}
		return moved;
	}

	/** Where the replica could go on: with its image and without another replica of the job, if possible. */
	private targetFor(attempt: Attempt): Machine | null {
		const { job } = attempt;
		const { spec } = job;
		const zones = tasksByZoneExcluding(job, [attempt]);
		const beside = new Set([...job.attempts.values()].map((a) => a.machine));
		let best: Machine | null = null;
		let bestWorth = -1;
		for (const machine of this.clusterState.machines.values()) {
			if (
				!machine.schedulable ||
				machine.health.onProbation ||
				machine.capacity.reservedForJob !== null ||
				!machineAllowed(spec, machine)
			)
				continue;
			if (!machine.capacity.fits(spec) || zoneTaskHeadroom(spec, zones, machine.zone) < 1) continue;
			const worth = (beside.has(machine) ? 0 : 2) + (machine.capacity.cachedImages.has(spec.image) ? 1 : 0);
			if (worth <= bestWorth) continue;
			best = machine;
			bestWorth = worth;
		}
		return best;
	}
}
