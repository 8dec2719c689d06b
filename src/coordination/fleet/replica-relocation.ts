/** Relocation of replicas from machines that leave the fleet. */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { tasksByZoneExcluding, zoneTaskHeadroom } from "../../bookkeeping/zone-rules.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";

const cycleIntervalMs = 300;
/** Replicas of a job are relocated one at a time, unless their machine is reclaimed within this time. */
const imminentReclaimMs = 15_000;

/**
 * Relocates replicas from machines that are leaving the fleet. A task must not run on two machines, so capacity
 * is reserved on another machine first, then the replica is stopped, and it starts there as soon as its end is
 * confirmed.
 */
export class ReplicaRelocation {
	private nextCycleAt = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly commandSender: DirectCommandSender,
		private readonly log: Log,
	) {}

	/** Called in each tick of the leader, while it may act. */
	tick(now: number): void {
		if (now < this.nextCycleAt || !this.clusterState.reconciled) return;
		this.nextCycleAt = now + cycleIntervalMs;
		const relocating: Attempt[] = [];
		for (const machine of this.clusterState.machines.values())
			if (machine.needsEvacuation && !machine.agent.leaseExpired)
				relocating.push(...this.relocateFrom(machine, now));
		if (relocating.length === 0) return;
		const taskIds = relocating.map(({ taskId }) => taskId);
		this.log.info({ taskIds }, "relocating replicas");
		this.commandSender.sendStops(relocating);
	}

	private relocateFrom(machine: Machine, now: number): Attempt[] {
		const reclaimImminent =
			machine.lifecycle.reclaimAt !== null && machine.lifecycle.reclaimAt - now < imminentReclaimMs;
		const relocating: Attempt[] = [];
		for (const attempt of machine.attempts.values()) {
			const { job } = attempt;
			if (!job.isService || attempt.stopRequest !== null || attempt.phase === "assigned") continue;
			if (!reclaimImminent && [...job.attempts.values()].some((a) => a.relocationTarget !== null)) continue;
			const target = this.targetFor(attempt);
			if (!target) continue;
			attempt.relocateTo(target);
			relocating.push(attempt);
		}
		return relocating;
	}

	/**
	 * Returns the machine to which the replica can be relocated, preferably one without another replica of the
	 * job, then one with its image cached; null: there is none.
	 */
	private targetFor(attempt: Attempt): Machine | null {
		const { job } = attempt;
		const { spec } = job;
		const tasksByZone = tasksByZoneExcluding(job, [attempt]);
		const machinesOfJob = new Set([...job.attempts.values()].map((a) => a.machine));
		let best: Machine | null = null;
		let bestScore = -1;
		for (const machine of this.clusterState.machines.values()) {
			if (
				!machine.schedulable ||
				machine.health.onProbation ||
				machine.capacity.reservedForJob !== null ||
				!machineAllowed(spec, machine)
			)
				continue;
			if (!machine.capacity.fits(spec) || zoneTaskHeadroom(spec, tasksByZone, machine.zone) < 1) continue;
			const score =
				(machinesOfJob.has(machine) ? 0 : 2) + (machine.capacity.cachedImages.has(spec.image) ? 1 : 0);
			if (score <= bestScore) continue;
			best = machine;
			bestScore = score;
		}
		return best;
	}
}
