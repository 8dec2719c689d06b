import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Attempt } from "../../../src/bookkeeping/attempt.js";
import type { Job } from "../../../src/bookkeeping/job.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { computeGrants } from "../../../src/coordination/placement/grants.js";
import { capacityOf } from "../../../src/coordination/placement/placement-cycle.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { FaultAttribution } from "../../../src/coordination/workers/fault-attribution.js";
import { machineOf, makeSchedulable } from "../../support/machines.js";
import { silentLog } from "../../support/silent-log.js";
import { mediumType, specOf } from "../../support/specs.js";

/** Machines with capacity for every task; runs tasks on them and records the outcomes. */
class Cluster {
	readonly clusterState = new ClusterState({
		term: 1,
		teams: [{ name: "red", guaranteed: { cpus: 1000, gpus: 0 }, limit: { cpus: 1000, gpus: 0 } }],
		machineTypes: [mediumType],
	});
	private readonly faultAttribution = new FaultAttribution(this.clusterState, 2, silentLog);
	private now = 0;

	addMachine(id: string, type = mediumType): Machine {
		const machine = machineOf({ id, type, origin: "heartbeat" });
		makeSchedulable(machine);
		this.clusterState.addMachine(machine);
		return machine;
	}

	addMachines<Ids extends readonly string[]>(...ids: Ids): { [Index in keyof Ids]: Machine } {
		return ids.map((id) => this.addMachine(id)) as { [Index in keyof Ids]: Machine };
	}

	addJob(id: string): Job {
		const job = this.clusterState.addJob(id, specOf(id, { taskCount: 50, cpus: 0.1 }), 0, 1);
		job.resetWaitingTasks();
		return job;
	}

	addJobs<Ids extends readonly string[]>(...ids: Ids): { [Index in keyof Ids]: Job } {
		return ids.map((id) => this.addJob(id)) as { [Index in keyof Ids]: Job };
	}

	private run(job: Job, machine: Machine): Attempt {
		const attempt = this.clusterState.assignNextTask(job, machine);
		assert.ok(
			attempt,
			`${job.id} starts on ${machine.id}: ${this.clusterState.assignmentRefusal(job, machine)}`,
		);
		this.now += 1000;
		attempt.updatePhase("running", this.now);
		return attempt;
	}

	/** Runs a task of the job on the machine, which fails. */
	fail(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.endAttempt(attempt);
		this.faultAttribution.record({ attempt, cause: "error" }, this.now + 10);
	}

	/** Runs a task of the job on the machine, which completes. */
	succeed(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.markTaskDone(job, attempt.taskIndex);
		this.clusterState.endAttempt(attempt);
		this.faultAttribution.record({ attempt, cause: "done" }, this.now + 10);
	}

	/** Returns the machines that placement avoids for the job at this time after its last failure. */
	machinesAvoidedBy(job: Job, sinceLastFailureMs: number): string[] {
		const capacities = [...this.clusterState.machines.values()].map(capacityOf);
		const clockReadings = { monotonicMs: job.failures.lastFailureAt + sinceLastFailureMs, wallClockMs: 0 };
		return computeGrants(this.clusterState, [job], capacities, clockReadings)[0]?.grant.avoidedMachines ?? [];
	}
}

describe("jobs that fail", () => {
	test("on every machine cause no quarantine", () => {
		const cluster = new Cluster();
		const machines = cluster.addMachines("a", "b", "c");
		const jobs = cluster.addJobs("j-1", "j-2", "j-3");
		for (const machine of machines) for (const job of jobs) cluster.fail(job, machine);
		for (const machine of machines) {
			assert.equal(machine.health.quarantined, false, machine.id);
			assert.equal(machine.health.onProbation, false, machine.id);
		}
		for (const job of jobs) assert.equal(job.failures.failsEverywhere, true, job.id);
		cluster.succeed(jobs[0], machines[0]);
		assert.equal(jobs[0].failures.failsEverywhere, false, "one success clears it");
		assert.equal(jobs[0].failures.retryNotBefore, 0);
	});

	test("on one machine type only cause no quarantine of its machines, and avoid the type for a limited time", () => {
		const cluster = new Cluster();
		const unsuitableType = { ...mediumType, name: "narrow" };
		const unsuitable = [
			cluster.addMachine("a", unsuitableType),
			cluster.addMachine("b", unsuitableType),
			cluster.addMachine("c", unsuitableType),
		] as const;
		const healthy = cluster.addMachine("good");
		const jobs = cluster.addJobs("j-1", "j-2", "j-3");
		for (let round = 0; round < 2; round++) {
			for (const machine of unsuitable) for (const job of jobs) cluster.fail(job, machine);
			for (const job of jobs) cluster.succeed(job, healthy);
			for (const machine of unsuitable)
				assert.deepEqual(
					[machine.health.quarantined, machine.health.onProbation],
					[false, false],
					`${machine.id} in ${round}`,
				);
		}
		const [job] = jobs;
		assert.deepEqual([...job.failures.unfitTypes], ["narrow"]);
		assert.deepEqual(cluster.machinesAvoidedBy(job, 1000), ["a", "b", "c"]);
		assert.deepEqual(
			cluster.machinesAvoidedBy(job, 70_000),
			[],
			"there may be no other machines, so the type is tried again",
		);
		cluster.succeed(job, unsuitable[0]);
		assert.equal(job.failures.unfitTypes.size, 0, "one success there clears the type");
		cluster.fail(jobs[1], unsuitable[0]);
		assert.equal(unsuitable[0].health.quarantined, false);
	});

	test("only on faulty machines do not count as failing everywhere once these machines are quarantined", () => {
		const cluster = new Cluster();
		const faulty = cluster.addMachines("a", "b", "c");
		const healthy = cluster.addMachine("good");
		const proven = cluster.addJobs("j-1", "j-2");
		const jobOnFaultyMachines = cluster.addJob("j-3");
		for (const machine of faulty) cluster.fail(jobOnFaultyMachines, machine);
		assert.equal(
			jobOnFaultyMachines.failures.failsEverywhere,
			true,
			"so far no machine is known to be faulty",
		);
		for (const job of proven) cluster.succeed(job, healthy);
		for (const machine of faulty) for (const job of proven) cluster.fail(job, machine);
		for (const job of proven) cluster.succeed(job, healthy);
		assert.deepEqual(
			faulty.map((machine) => machine.health.quarantined),
			[true, true, true],
		);
		assert.equal(jobOnFaultyMachines.failures.failsEverywhere, false);
	});
});

describe("machines on which jobs fail", () => {
	test("are quarantined once these jobs succeed on another machine", () => {
		const cluster = new Cluster();
		const [a, b, healthy] = cluster.addMachines("a", "b", "good");
		const [first, second] = cluster.addJobs("j-1", "j-2");
		for (const machine of [a, b]) for (const job of [first, second]) cluster.fail(job, machine);
		assert.equal(a.health.quarantined || b.health.quarantined, false, "the jobs may be at fault");
		cluster.succeed(first, healthy);
		cluster.succeed(second, healthy);
		assert.deepEqual(
			[a.health.quarantined, b.health.quarantined, healthy.health.quarantined],
			[true, true, false],
		);
		assert.equal(first.failures.failsEverywhere, false);
	});

	test("are quarantined at the failure of a second job that succeeded on another machine before", () => {
		const cluster = new Cluster();
		const [faulty, healthy] = cluster.addMachines("faulty", "good");
		const jobs = cluster.addJobs("j-1", "j-2");
		for (const job of jobs) cluster.succeed(job, healthy);
		cluster.fail(jobs[0], faulty);
		assert.deepEqual([faulty.health.onProbation, faulty.health.quarantined], [true, false]);
		cluster.fail(jobs[1], faulty);
		assert.equal(faulty.health.quarantined, true);
	});

	test("are released from quarantine when the jobs turn out to be faulty", () => {
		const cluster = new Cluster();
		const [suspect, other] = cluster.addMachines("suspect", "other");
		const jobs = cluster.addJobs("j-1", "j-2", "j-3", "j-4");
		for (const job of jobs) cluster.fail(job, suspect);
		assert.equal(suspect.health.quarantined, true, "four jobs without a success count as two");
		cluster.fail(jobs[0], other);
		assert.equal(suspect.health.quarantined, false);
		assert.equal(other.health.quarantined, false);
	});
});
