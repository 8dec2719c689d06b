/** The leader's preemption cycles. */

import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { Job } from "../../bookkeeping/job.js";
import { randomSample } from "../placement/first-fit.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { DirectCommandSender } from "../workers/direct-command-sender.js";
import { chooseVictims } from "./preemption-planner.js";

const cycleIntervalMs = 500;
/** Delay between the loading of a job and preemption for it, in which capacity may become free by itself. */
const minWaitMs = 700;
/** A preempted task gets this multiple of its checkpoint time to save a checkpoint. */
const checkpointGraceFactor = 2;

/** Stops running tasks so that waiting tasks of higher priority, or within their team's guarantee, can start. */
export class PreemptionCycle {
	private nextCycleAt = 0;

	constructor(
		private readonly clusterState: ClusterState,
		private readonly commandSender: DirectCommandSender,
		private readonly inSchedulingOrder: (jobs: Job[]) => Job[],
		private readonly random: RandomGenerator,
		private readonly log: Log,
	) {}

	/** Called in each tick of the leader, while it may act. */
	tick(now: number): void {
		if (now < this.nextCycleAt || !this.clusterState.reconciled) return;
		this.nextCycleAt = now + cycleIntervalMs;
		const waiting = [...this.clusterState.jobs.values()].filter((job) => mayPreempt(job, now));
		if (waiting.length === 0) return;
		const victims = chooseVictims(
			this.clusterState,
			this.inSchedulingOrder(waiting),
			now,
			(machines, maxSize) => randomSample(machines, maxSize, this.random),
		);
		if (victims.length === 0) return;
		for (const victim of victims) {
			const { checkpointIntervalS, checkpointCostS } = victim.job.spec;
			victim.requestStop("preempted", checkpointIntervalS > 0 ? checkpointGraceFactor * checkpointCostS : 0);
		}
		this.log.debug({ taskIds: victims.map(({ taskId }) => taskId) }, "tasks preempted");
		this.commandSender.sendStops(victims);
	}
}

function mayPreempt(job: Job, now: number): boolean {
	if (!job.hasReadyTask(now) || job.finalizing || job.failures.failsEverywhere) return false;
	return now - job.loadedAt > minWaitMs;
}
