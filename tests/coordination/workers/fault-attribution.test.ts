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

/** Machines with room for everything, and the outcomes of what runs on them. */
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
		attempt.noteState("running", this.now);
		return attempt;
	}

	/** A task of the job runs on the machine and fails. */
	fail(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.endAttempt(attempt);
		this.faultAttribution.record({ attempt, cause: "error" }, this.now + 10);
	}

	/** A task of the job runs on the machine and completes. */
	succeed(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.markTaskDone(job, attempt.taskIndex);
		this.clusterState.endAttempt(attempt);
		this.faultAttribution.record({ attempt, cause: "done" }, this.now + 10);
	}

	/** Machines that placement keeps the job off so long after its last failure. */
	machinesAvoidedBy(job: Job, sinceMs: number): string[] {
		const capacities = [...this.clusterState.machines.values()].map(capacityOf);
		const moment = { monotonicMs: job.failures.lastAt + sinceMs, wallClockMs: 0 };
		return computeGrants(this.clusterState, [job], capacities, moment)[0]?.grant.avoidedMachines ?? [];
	}
}

describe("jobs that fail", () => {
	test("wherever they run cost no machine", () => {
		const cluster = new Cluster();
		const machines = cluster.addMachines("a", "b", "c");
		const jobs = cluster.addJobs("j-1", "j-2", "j-3");
		for (const machine of machines) for (const job of jobs) cluster.fail(job, machine);
		for (const machine of machines) {
			assert.equal(machine.health.quarantined, false, machine.id);
			assert.equal(machine.health.onProbation, false, machine.id);
		}
		for (const job of jobs) assert.equal(job.failures.everywhere, true, job.id);
		cluster.succeed(jobs[0], machines[0]);
		assert.equal(jobs[0].failures.everywhere, false, "one good run clears it");
		assert.equal(jobs[0].failures.retryNotBefore, 0);
	});

	test("on one machine type only cost no machine of it, and are kept off it for a while", () => {
		const cluster = new Cluster();
		const narrow = { ...mediumType, name: "narrow" };
		const unsuited = [
			cluster.addMachine("a", narrow),
			cluster.addMachine("b", narrow),
			cluster.addMachine("c", narrow),
		] as const;
		const good = cluster.addMachine("good");
		const jobs = cluster.addJobs("j-1", "j-2", "j-3");
		for (let round = 0; round < 2; round++) {
			for (const machine of unsuited) for (const job of jobs) cluster.fail(job, machine);
			for (const job of jobs) cluster.succeed(job, good);
			for (const machine of unsuited)
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
			"nothing else may be there, so it is tried again",
		);
		cluster.succeed(job, unsuited[0]);
		assert.equal(job.failures.unfitTypes.size, 0, "one good run there clears the type");
		cluster.fail(jobs[1], unsuited[0]);
		assert.equal(unsuited[0].health.quarantined, false);
	});

	test("on faulty machines alone do not fail everywhere", () => {
		const cluster = new Cluster();
		const faulty = cluster.addMachines("a", "b", "c");
		const good = cluster.addMachine("good");
		const proven = cluster.addJobs("j-1", "j-2");
		const unlucky = cluster.addJob("j-3");
		for (const machine of faulty) cluster.fail(unlucky, machine);
		assert.equal(unlucky.failures.everywhere, true, "so far nothing speaks for it");
		for (const job of proven) cluster.succeed(job, good);
		for (const machine of faulty) for (const job of proven) cluster.fail(job, machine);
		for (const job of proven) cluster.succeed(job, good);
		assert.deepEqual(
			faulty.map((machine) => machine.health.quarantined),
			[true, true, true],
		);
		assert.equal(unlucky.failures.everywhere, false);
	});
});

describe("machines on which jobs fail", () => {
	test("are quarantined once these jobs succeed elsewhere", () => {
		const cluster = new Cluster();
		const [a, b, good] = cluster.addMachines("a", "b", "good");
		const [first, second] = cluster.addJobs("j-1", "j-2");
		for (const machine of [a, b]) for (const job of [first, second]) cluster.fail(job, machine);
		assert.equal(a.health.quarantined || b.health.quarantined, false, "it may be the jobs");
		cluster.succeed(first, good);
		cluster.succeed(second, good);
		assert.deepEqual(
			[a.health.quarantined, b.health.quarantined, good.health.quarantined],
			[true, true, false],
		);
		assert.equal(first.failures.everywhere, false);
	});

	test("are quarantined at the second job that succeeded before", () => {
		const cluster = new Cluster();
		const [faulty, good] = cluster.addMachines("faulty", "good");
		const jobs = cluster.addJobs("j-1", "j-2");
		for (const job of jobs) cluster.succeed(job, good);
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
		assert.equal(suspect.health.quarantined, true, "four of which nothing is known count as two");
		cluster.fail(jobs[0], other);
		assert.equal(suspect.health.quarantined, false);
		assert.equal(other.health.quarantined, false);
	});
});
