/**
 * Attributes task failures to jobs or to machines. A faulty job fails on every machine; on a faulty machine every job
 * fails. FailureHistory records the failures of a job and MachineHealth those on a machine; this module evaluates them.
 */

import type { Attempt } from "../../bookkeeping/attempt.js";
import type { Job } from "../../bookkeeping/job.js";
import type { Machine } from "../../bookkeeping/machine.js";
import { isMuchSlower } from "../../bookkeeping/machine-health.js";
import type { Log } from "../ports/log.js";
import type { ClusterState } from "../state/cluster-state.js";
import type { AttemptOutcome } from "./task-reconciliation.js";

/** Minimum number of finished runs of a job before a further run is compared with their mean duration. */
const minRunsForMean = 4;

/** A replica that has run for longer than this counts as started successfully. */
const stableRunMs = 30_000;

/** An exponential backoff before a failed task is retried. */
interface Backoff {
	firstMs: number;
	maxDoublings: number;
	maxMs: number;
}

const replicaBackoff: Backoff = { firstMs: 250, maxDoublings: 6, maxMs: 10_000 };

/** For jobs that have failed on several machines and may fail on every machine. */
const severalMachinesBackoff: Backoff = { firstMs: 250, maxDoublings: 8, maxMs: 60_000 };

/** Limit of the doublings that derive from the number of failures instead of the number of machines with failures. */
const maxDoublingsByFailureCount = 4;

/** Weight of a failure as evidence against its machine if no task of the job has ever succeeded; otherwise it is 1. */
const unprovenJobWeight = 0.5;

/** Evaluates the outcomes of attempts: delays the retries of failing jobs, and quarantines and releases machines. */
export class FaultAttribution {
	/** @param quarantineThreshold Weighted number of jobs with failures on a machine at which it is quarantined. */
	constructor(
		private readonly clusterState: ClusterState,
		private readonly quarantineThreshold: number,
		private readonly log: Log,
	) {}

	/** Records the outcome of an attempt. Stopped attempts and starts refused for lack of capacity are no evidence. */
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
		// The job can succeed, so its earlier failures count against their machines, except those of unsuitable types.
		const suspects: Machine[] = [];
		for (const failedMachine of failures.failedMachines) {
			if (failures.unfitTypes.has(failedMachine.type.name)) failedMachine.health.removeFailure(job);
			else suspects.push(failedMachine);
		}
		failures.clear();
		for (const suspect of suspects) this.quarantineIfFaulty(suspect, now);
	}

	private recordRun(job: Job, machine: Machine, durationS: number, now: number): void {
		const { health } = machine;
		// The mean of this many runs is reliable, and most of them were on other machines.
		if (job.finishedRuns >= minRunsForMean) health.recordRun(durationS, job.estimatedRunS);
		if (!health.quarantined && isMuchSlower(machine, this.clusterState.machines.values())) {
			health.quarantine("slow", now);
			this.log.info({ machineId: machine.id, slowdown: health.slowdown }, "machine quarantined: slow");
		}
		job.recordRun(durationS);
	}

	private recordFailure(attempt: Attempt, cause: "error" | "unknown", now: number): void {
		const { job, machine, taskId, runningSince } = attempt;
		this.log.info({ machineId: machine.id, taskId, cause }, "task failed");
		// A long run shows that the replica can start, so the machines of earlier failed starts no longer count.
		const ranStably = runningSince !== null && now - runningSince > stableRunMs;
		if (job.isService && ranStably) job.failures.clearFailedMachines();
		job.failures.recordFailure(machine, now);
		if (job.isService)
			job.failures.backOffUntil(now + backoffMs(replicaBackoff, job.failures.failedMachines.size));
		else if (job.failures.failedOnSeveralMachines)
			job.failures.backOffUntil(now + backoffMs(severalMachinesBackoff, backoffDoublings(job)));
		// An exit because the job or task is unknown, or on a machine type unsuitable for the job, is no evidence
		// against the machine.
		if (cause === "error" && !job.failures.unfitTypes.has(machine.type.name))
			this.recordEvidence(job, machine, now);
	}

	private recordEvidence(job: Job, machine: Machine, now: number): void {
		machine.health.recordFailure(job);
		// Earlier failures of this job, counted against other machines, may be the job's own fault.
		if (job.failures.failedOnSeveralMachines) this.releaseMachinesNotAtFault(job);
		else machine.health.startProbation(now);
		this.quarantineIfFaulty(machine, now);
	}

	/**
	 * Returns the weighted number of jobs with failures on the machine. A job counts only while it has failed on no
	 * other machine since its last success, and counts less if it has never succeeded: several faulty jobs at the same
	 * time must not get a machine quarantined ("jobs that fail on every machine cause no quarantine" in
	 * tests/coordination/workers/fault-attribution.test.ts; trace 55).
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
		if (machine.health.quarantined || this.evidenceAgainst(machine) < this.quarantineThreshold) return;
		machine.health.quarantine("failures", now);
		this.log.info({ machineId: machine.id }, "machine quarantined: faulty");
	}

	/** Releases machines that were suspected only because of this job, which has since failed on several machines. */
	private releaseMachinesNotAtFault(job: Job): void {
		for (const machine of job.failures.failedMachines) {
			const { health, lifecycle } = machine;
			const evidence = this.evidenceAgainst(machine);
			if (evidence === 0) health.clearProbation();
			if (evidence >= this.quarantineThreshold || !health.quarantinedForFailures || lifecycle.deleting)
				continue;
			health.liftQuarantine();
			this.clusterState.requestPlacement();
			this.log.info({ machineId: machine.id, jobId: job.id }, "machine released from quarantine");
		}
	}
}

/**
 * Returns the number of doublings: the number of machines on which the job has failed. In a small cluster that number
 * stays low, so the number of failures is used instead, limited to a backoff of a few seconds.
 */
function backoffDoublings({ failures }: Job): number {
	const byFailureCount = Math.min(
		maxDoublingsByFailureCount,
		Math.floor(Math.log2(failures.consecutiveFailures)),
	);
	return Math.max(failures.failedMachines.size, byFailureCount);
}

function backoffMs({ firstMs, maxDoublings, maxMs }: Backoff, doublings: number): number {
	return Math.min(maxMs, firstMs * 2 ** Math.min(maxDoublings, doublings));
}
