import type { Attempt, Job } from "../bookkeeping/jobs.js";
import { type Machine, muchTooSlow, noteRun } from "../bookkeeping/machines.js";
import type { ClusterState } from "./cluster-state.js";
import type { Log } from "./ports.js";
import type { Outcome } from "./reports.js";

/** Runs of a job after which their mean says something of its other tasks. */
const runsForMean = 4;
/** A replica that has run for so long has started well. */
const steadyMs = 30_000;
/** Pauses before a task that failed is tried again. */
const replicaPause = { firstMs: 250, mostDoublings: 6, mostMs: 10_000 };
const failsEverywherePause = { firstMs: 2000, mostDoublings: 5, mostMs: 60_000 };
/** A job is doomed from so many machines on. */
const failsEverywhereFrom = 3;

interface Pause {
	firstMs: number;
	mostDoublings: number;
	mostMs: number;
}

function pauseMs({ firstMs, mostDoublings, mostMs }: Pause, doublings: number): number {
	return Math.min(mostMs, firstMs * 2 ** Math.min(mostDoublings, doublings));
}

/** Draws conclusions about jobs and machines from attempts that have ended. */
export class TaskOutcomes {
	constructor(
		private readonly clusterState: ClusterState,
		/** Failures of different jobs after which a machine is set aside. */
		private readonly faultyAfter: number,
		private readonly log: Log,
	) {}

	record({ attempt, cause }: Outcome, now: number): void {
		if (cause === "done") this.succeeded(attempt, now);
		else if (cause === "error" || cause === "unknown") this.failed(attempt, cause, now);
	}

	private succeeded({ job, machine, runningAt }: Attempt, now: number): void {
		if (runningAt !== null) this.recordRun(job, machine, (now - runningAt) / 1000, now);
		machine.onProbation = false;
		machine.failedJobs.clear();
		job.failedOn.clear();
	}

	private recordRun(job: Job, machine: Machine, seconds: number, now: number): void {
		// Enough runs for a mean, mostly on other machines.
		if (job.finishedRuns >= runsForMean) noteRun(machine, seconds, job.estimateS);
		if (!machine.quarantined && muchTooSlow(machine, this.clusterState.machines.values())) {
			machine.quarantine(now);
			this.log.info({ machine: machine.id, ratio: machine.runRatio }, "set aside as much too slow");
		}
		job.finishedRuns += 1;
		job.finishedSeconds += seconds;
	}

	private failed(attempt: Attempt, cause: "error" | "unknown", now: number): void {
		const { job, machine, index } = attempt;
		this.log.info({ machine: machine.id, job: job.id, task: index, cause }, "task failed");
		// One that ran for long and failed says little of where it starts next.
		const ranWell = attempt.runningAt !== null && now - attempt.runningAt > steadyMs;
		if (job.standing && ranWell) job.failedOn.clear();
		job.failedOn.add(machine.id);
		job.failedAt = now;
		if (job.standing) job.notBefore = now + pauseMs(replicaPause, job.failedOn.size);
		// It fails everywhere: tried again with growing pauses.
		if (job.failsEverywhere)
			job.notBefore = now + pauseMs(failsEverywherePause, job.failedOn.size - failsEverywhereFrom);
		if (cause === "error") this.suspectMachine(machine, job, now);
	}

	private suspectMachine(machine: Machine, job: Job, now: number): void {
		machine.startProbation(now);
		machine.failedJobs.add(job.id);
		if (machine.failedJobs.size < this.faultyAfter || machine.quarantined) return;
		machine.quarantine(now);
		this.log.info({ machine: machine.id }, "set aside as faulty");
	}
}
