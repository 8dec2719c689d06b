import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { machineAllowed } from "../../bookkeeping/machine-fit.js";
import { tasksByZoneWithout, zoneRoom } from "../../bookkeeping/zone-rules.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";

const everyMs = 300;
/** Replicas of a job are relocated one at a time, unless their machine is reclaimed within this time. */
const takenSoonMs = 15_000;

/**
 * Relocates replicas from machines that are leaving the fleet. A task must not run on two machines, so capacity is
 * reserved on another machine first, then the replica is stopped, and it starts there as soon as its end is proved.
 */
export class ReplicaRelocation {
	private nextAt = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly orders: DirectCommandSender,
		private readonly log: Log,
	) {}

	/** Called in each tick of the leader, with authority. */
	tick(now: number): void {
		if (now < this.nextAt || !this.clusterState.reconciled) return;
		this.nextAt = now + everyMs;
		const moved: Attempt[] = [];
		for (const machine of this.clusterState.machines.values())
			if (machine.leaving && !machine.agent.leaseExpired) moved.push(...this.moveFrom(machine, now));
		if (moved.length === 0) return;
		const replicas = moved.map(({ taskId }) => taskId);
		this.log.info({ replicas }, "replicas relocating");
		this.orders.stop(moved);
	}

	private moveFrom(machine: Machine, now: number): Attempt[] {
		const takenSoon = machine.lifecycle.reclaimAt !== null && machine.lifecycle.reclaimAt - now < takenSoonMs;
		const moved: Attempt[] = [];
		for (const attempt of machine.attempts.values()) {
			const { job } = attempt;
			if (!job.isService || attempt.stop !== null || attempt.phase === "assigned") continue;
			if (!takenSoon && [...job.attempts.values()].some((a) => a.relocationTarget !== null)) continue;
			const target = this.targetFor(attempt);
			if (!target) continue;
			attempt.relocateTo(target);
			moved.push(attempt);
		}
		return moved;
	}

	/**
	 * Returns the machine to which the replica can be relocated, preferably one without another replica of the job, then
	 * one with its image cached; null: there is none.
	 */
	private targetFor(attempt: Attempt): Machine | null {
		const { job } = attempt;
		const { spec } = job;
		const zones = tasksByZoneWithout(job, [attempt]);
		const beside = new Set([...job.attempts.values()].map((a) => a.machine));
		let best: Machine | null = null;
		let bestWorth = -1;
		for (const machine of this.clusterState.machines.values()) {
			if (
				!machine.schedulable ||
				machine.health.onProbation ||
				machine.capacity.reservedFor !== null ||
				!machineAllowed(spec, machine)
			)
				continue;
			if (!machine.capacity.hasRoomFor(spec) || zoneRoom(spec, zones, machine.zone) < 1) continue;
			const worth = (beside.has(machine) ? 0 : 2) + (machine.capacity.images.has(spec.image) ? 1 : 0);
			if (worth <= bestWorth) continue;
			best = machine;
			bestWorth = worth;
		}
		return best;
	}
}
