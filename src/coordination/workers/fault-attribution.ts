import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { isMuchSlower } from "../../bookkeeping/machine-health.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { AttemptOutcome } from "./heartbeat-reconciliation.js";

/** Runs of a job after which their mean says something of its other tasks. */
const runsForMean = 4;
/** A replica that has run for so long has started well. */
const steadyMs = 30_000;
/** Pauses before a task that failed is tried again. */
const replicaPause = { firstMs: 250, mostDoublings: 6, mostMs: 10_000 };
const failsOnSeveralPause = { firstMs: 250, mostDoublings: 8, mostMs: 60_000 };

/** What the failure of a job of which no task has ever succeeded says of the machine. */
const unprovenJobWeight = 0.5;

const mostStepsByFailures = 4;

interface Pause {
	firstMs: number;
	mostDoublings: number;
	mostMs: number;
}

/** With few machines in all the count of failures stands for that of machines, up to a few seconds. */
function failureSteps({ failures }: Job): number {
	return Math.max(
		failures.machines.size,
		Math.min(mostStepsByFailures, Math.floor(Math.log2(failures.consecutive))),
	);
}

function pauseMs({ firstMs, mostDoublings, mostMs }: Pause, doublings: number): number {
	return Math.min(mostMs, firstMs * 2 ** Math.min(mostDoublings, doublings));
}

/** Draws conclusions about jobs and machines from attempts that have ended. */
export class FaultAttribution {
	constructor(
		private readonly clusterState: ClusterState,
		/** Failures of different jobs after which a machine is set aside. */
		private readonly faultyAfter: number,
		private readonly log: Log,
	) {}

	record({ attempt, cause }: AttemptOutcome, now: number): void {
		if (cause === "done") this.succeeded(attempt, now);
		else if (cause === "error" || cause === "unknown") this.failed(attempt, cause, now);
	}

	private succeeded({ job, machine, runningSince }: Attempt, now: number): void {
		if (runningSince !== null) this.recordRun(job, machine, (now - runningSince) / 1000, now);
		machine.health.clearProbation();
		machine.health.failedJobs.clear();
		job.failures.noteSuccess(machine.type.name);
		// The job is sound, so what failed before was the machines' fault, unless it does not suit their type.
		const failedOn = [...job.failures.machines].filter(({ type }) => !job.failures.unfitTypes.has(type.name));
		for (const other of job.failures.machines)
			if (job.failures.unfitTypes.has(other.type.name)) other.health.failedJobs.delete(job);
		job.failures.clear();
		for (const other of failedOn) this.judge(other, now);
	}

	private recordRun(job: Job, machine: Machine, seconds: number, now: number): void {
		// Enough runs for a mean, mostly on other machines.
		if (job.finishedRuns >= runsForMean) machine.health.noteRun(seconds, job.estimatedRunS);
		if (!machine.health.quarantined && isMuchSlower(machine, this.clusterState.machines.values())) {
			machine.health.quarantine("slow", now);
			this.log.info({ machine: machine.id, ratio: machine.health.slowdown }, "machine quarantined: slow");
		}
		job.noteRun(seconds);
	}

	private failed(attempt: Attempt, cause: "error" | "unknown", now: number): void {
		const { job, machine, taskIndex: index } = attempt;
		this.log.info({ machine: machine.id, job: job.id, task: index, cause }, "task failed");
		// One that ran for long and failed says little of where it starts next.
		const ranWell = attempt.runningSince !== null && now - attempt.runningSince > steadyMs;
		if (job.isService && ranWell) job.failures.forgetMachines();
		job.failures.noteFailure(machine, now);
		if (job.isService) job.failures.pauseUntil(now + pauseMs(replicaPause, job.failures.machines.size));
		// Perhaps it fails everywhere: tried again with growing pauses.
		else if (job.failures.onSeveralMachines)
			job.failures.pauseUntil(now + pauseMs(failsOnSeveralPause, failureSteps(job)));
		if (cause !== "error" || job.failures.unfitTypes.has(machine.type.name)) return;
		machine.health.failedJobs.add(job);
		// Whatever was held against the others for this job may now be the job's fault.
		if (job.failures.machines.size > 1) this.acquit(job);
		else machine.health.startProbation(now);
		this.judge(machine, now);
	}

	/**
	 * A job with a mistake fails wherever it runs, and a faulty machine fails whatever runs there. A
	 * failure counts against its machine only as long as the job has failed nowhere else since it last
	 * succeeded, and for less if it never did: faulty jobs that come together must not cost a machine.
	 */
	private evidenceAgainst(machine: Machine): number {
		let evidence = 0;
		for (const job of machine.health.failedJobs) {
			const elsewhere = [...job.failures.machines].some((other) => other !== machine);
			if (!elsewhere) evidence += job.doneTasks.count > 0 ? 1 : unprovenJobWeight;
		}
		return evidence;
	}

	private judge(machine: Machine, now: number): void {
		if (machine.health.quarantined || this.evidenceAgainst(machine) < this.faultyAfter) return;
		machine.health.quarantine("failures", now);
		this.log.info({ machine: machine.id }, "machine quarantined: faulty");
	}

	/** The job has failed on several machines: those against which nothing else stands are not to blame. */
	private acquit(job: Job): void {
		for (const machine of job.failures.machines) {
			const evidence = this.evidenceAgainst(machine);
			if (evidence === 0) machine.health.clearProbation();
			if (
				evidence >= this.faultyAfter ||
				!machine.health.quarantinedForFailures ||
				machine.lifecycle.deleting
			)
				continue;
			machine.health.release();
			this.clusterState.requestPlacement();
			this.log.info({ machine: machine.id, job: job.id }, "machine released from quarantine");
		}
	}
}
