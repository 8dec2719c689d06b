/**
 * Whether jobs or machines are to blame for tasks that fail. A job with a mistake fails wherever it runs; a faulty
 * machine fails whatever runs there. The evidence is kept by FailureHistory for a job and by MachineHealth for a
 * machine; the conclusions are drawn here.
 */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { isMuchSlower } from "../../bookkeeping/machine-health.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { AttemptOutcome } from "./task-reconciliation.js";

/** Runs of a job after which their mean says something of its other tasks. */
const runsForMean = 4;

/** A replica that has run for so long has started well. */
const steadyRunMs = 30_000;

/** A growing pause before a failed task is tried again. */
interface Backoff {
	firstMs: number;
	maxDoublings: number;
	maxMs: number;
}

const replicaBackoff: Backoff = { firstMs: 250, maxDoublings: 6, maxMs: 10_000 };

/** For jobs that have failed on several machines, and perhaps fail everywhere. */
const severalMachinesBackoff: Backoff = { firstMs: 250, maxDoublings: 8, maxMs: 60_000 };

/** Doublings of the pause by the number of failures, where there are too few machines to go by theirs. */
const maxDoublingsByFailures = 4;

/** Weight of a failure against its machine if no task of the job has ever succeeded; otherwise it is 1. */
const unprovenJobWeight = 0.5;

/** Draws conclusions about jobs and machines from attempts that have ended. */
export class FaultAttribution {
	/** @param quarantineEvidence Failures of different jobs after which a machine is quarantined. */
	constructor(
		private readonly clusterState: ClusterState,
		private readonly quarantineEvidence: number,
		private readonly log: Log,
	) {}

	/** Takes note of how an attempt has ended. Stops and starts that were refused for lack of room tell nothing. */
	record({ attempt, cause }: AttemptOutcome, now: number): void {
		if (cause === "done") this.recordSuccess(attempt, now);
		else if (cause === "error" || cause === "unknown") this.recordFailure(attempt, cause, now);
	}

	private recordSuccess({ job, machine, runningSince }: Attempt, now: number): void {
		if (runningSince !== null) this.recordRun(job, machine, (now - runningSince) / 1000, now);
		machine.health.clearProbation();
		machine.health.clearFailures();
		const { failures } = job;
		failures.recordSuccess(machine.type.name);
		// The job is sound, so what failed before was the machines' fault, unless it does not suit their type.
		const suspects: Machine[] = [];
		for (const other of failures.failedMachines) {
			if (failures.unfitTypes.has(other.type.name)) other.health.removeFailure(job);
			else suspects.push(other);
		}
		failures.clear();
		for (const suspect of suspects) this.quarantineIfFaulty(suspect, now);
	}

	private recordRun(job: Job, machine: Machine, seconds: number, now: number): void {
		const { health } = machine;
		// Enough runs for a mean, mostly on other machines.
		if (job.finishedRuns >= runsForMean) health.recordRun(seconds, job.estimatedRunS);
		if (!health.quarantined && isMuchSlower(machine, this.clusterState.machines.values())) {
			health.quarantine("slow", now);
			this.log.info({ machineId: machine.id, slowdown: health.slowdown }, "machine quarantined: slow");
		}
		job.recordRun(seconds);
	}

	private recordFailure(attempt: Attempt, cause: "error" | "unknown", now: number): void {
		const { job, machine, taskId, runningSince } = attempt;
		this.log.info({ machineId: machine.id, taskId, cause }, "task failed");
		// A replica that ran for long and failed says little of where it starts next.
		const ranWell = runningSince !== null && now - runningSince > steadyRunMs;
		if (job.isService && ranWell) job.failures.clearFailedMachines();
		job.failures.recordFailure(machine, now);
		if (job.isService)
			job.failures.backOffUntil(now + pauseMs(replicaBackoff, job.failures.failedMachines.size));
		else if (job.failures.failedOnSeveralMachines)
			job.failures.backOffUntil(now + pauseMs(severalMachinesBackoff, backoffDoublings(job)));
		// An unknown job or task, or a machine type that does not suit the job, says nothing of the machine.
		if (cause === "error" && !job.failures.unfitTypes.has(machine.type.name))
			this.recordEvidence(job, machine, now);
	}

	private recordEvidence(job: Job, machine: Machine, now: number): void {
		machine.health.recordFailure(job);
		// What was held against other machines for this job may now be the job's fault.
		if (job.failures.failedOnSeveralMachines) this.releaseOthers(job);
		else machine.health.startProbation(now);
		this.quarantineIfFaulty(machine, now);
	}

	/**
	 * Weighs the failures on a machine. Each counts only as long as its job has failed nowhere else since it last
	 * succeeded, and for less if it never did: faulty jobs that come together must not cost a machine ("jobs that fail
	 * wherever they run cost no machine" in tests/coordination/workers/fault-attribution.test.ts; trace 55).
	 */
	private evidenceAgainst(machine: Machine): number {
		let evidence = 0;
		for (const { failures, doneTasks } of machine.health.jobsWithFailures) {
			const failedElsewhere = [...failures.failedMachines].some((other) => other !== machine);
			if (!failedElsewhere) evidence += doneTasks.count > 0 ? 1 : unprovenJobWeight;
		}
		return evidence;
	}

	private quarantineIfFaulty(machine: Machine, now: number): void {
		if (machine.health.quarantined || this.evidenceAgainst(machine) < this.quarantineEvidence) return;
		machine.health.quarantine("failures", now);
		this.log.info({ machineId: machine.id }, "machine quarantined: faulty");
	}

	/** The job has failed on several machines: those against which nothing else stands are not to blame. */
	private releaseOthers(job: Job): void {
		for (const machine of job.failures.failedMachines) {
			const { health, lifecycle } = machine;
			const evidence = this.evidenceAgainst(machine);
			if (evidence === 0) health.clearProbation();
			if (evidence >= this.quarantineEvidence || !health.quarantinedForFailures || lifecycle.deleting)
				continue;
			health.liftQuarantine();
			this.clusterState.requestPlacement();
			this.log.info({ machineId: machine.id, jobId: job.id }, "machine released from quarantine");
		}
	}
}

/** With few machines in all, the count of failures stands for that of machines, up to a few seconds. */
function backoffDoublings({ failures }: Job): number {
	const byFailures = Math.min(maxDoublingsByFailures, Math.floor(Math.log2(failures.consecutiveFailures)));
	return Math.max(failures.failedMachines.size, byFailures);
}

function pauseMs({ firstMs, maxDoublings, maxMs }: Backoff, doublings: number): number {
	return Math.min(maxMs, firstMs * 2 ** Math.min(maxDoublings, doublings));
}
