import assert from "node:assert/strict";
import { test } from "node:test";
import type { Attempt } from "../../../src/bookkeeping/attempt.js";
import type { Job } from "../../../src/bookkeeping/job.js";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { grantsFor } from "../../../src/coordination/placement/grants.js";
import { capacityOf } from "../../../src/coordination/placement/placement-cycle.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { FaultAttribution } from "../../../src/coordination/workers/fault-attribution.js";
import { makeSchedulable } from "../../support/machines.js";
import { silentLog } from "../../support/silent-log.js";
import { mediumType, specOf } from "../../support/specs.js";

/** Machines with room for everything, and the outcomes of what runs on them. */
class Setup {
	readonly clusterState = new ClusterState({
		term: 1,
		teams: [{ name: "red", guaranteed: { cpus: 1000, gpus: 0 }, limit: { cpus: 1000, gpus: 0 } }],
		machineTypes: [mediumType],
	});
	private readonly outcomes = new FaultAttribution(this.clusterState, 2, silentLog);
	private now = 0;

	machine(id: string, type = mediumType): Machine {
		const machine = new Machine({ id, type, zone: "a", spot: true, origin: "heartbeat" }, 0);
		makeSchedulable(machine);
		this.clusterState.addMachine(machine);
		return machine;
	}

	job(id: string): Job {
		const job = this.clusterState.addJob(id, specOf(id, { taskCount: 50, cpus: 0.1 }), 0, 1);
		job.resetWaitingTasks();
		return job;
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

	fails(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.endAttempt(attempt);
		this.outcomes.record({ attempt, cause: "error" }, this.now + 10);
	}

	/** Machines that the job would be kept off this long after its last failure. */
	avoidedBy(job: Job, sinceMs: number): string[] {
		const views = [...this.clusterState.machines.values()].map(capacityOf);
		const moment = { now: job.failures.lastAt + sinceMs, date: 0 };
		return grantsFor(this.clusterState, [job], views, moment)[0]?.grant.avoidedMachines ?? [];
	}

	succeeds(job: Job, machine: Machine): void {
		const attempt = this.run(job, machine);
		this.clusterState.markTaskDone(job, attempt.taskIndex);
		this.clusterState.endAttempt(attempt);
		this.outcomes.record({ attempt, cause: "done" }, this.now + 10);
	}
}

test("jobs that fail wherever they run cost no machine", () => {
	const setup = new Setup();
	const machines = ["a", "b", "c"].map((id) => setup.machine(id));
	const jobs = ["j-1", "j-2", "j-3"].map((id) => setup.job(id));
	for (const machine of machines) for (const job of jobs) setup.fails(job, machine);
	for (const machine of machines) {
		assert.equal(machine.health.quarantined, false, machine.id);
		assert.equal(machine.health.onProbation, false, machine.id);
	}
	for (const job of jobs) assert.equal(job.failures.everywhere, true, job.id);
	setup.succeeds(jobs[0] as Job, machines[0] as Machine);
	assert.equal(jobs[0]?.failures.everywhere, false, "one good run clears it");
	assert.equal(jobs[0]?.failures.retryNotBefore, 0);
});

test("machines that failed several jobs are set aside once these succeed elsewhere", () => {
	const setup = new Setup();
	const [a, b, good] = ["a", "b", "good"].map((id) => setup.machine(id)) as [Machine, Machine, Machine];
	const [first, second] = ["j-1", "j-2"].map((id) => setup.job(id)) as [Job, Job];
	for (const machine of [a, b]) for (const job of [first, second]) setup.fails(job, machine);
	assert.equal(a.health.quarantined || b.health.quarantined, false, "it may be the jobs");
	setup.succeeds(first, good);
	setup.succeeds(second, good);
	assert.deepEqual(
		[a.health.quarantined, b.health.quarantined, good.health.quarantined],
		[true, true, false],
	);
	assert.equal(first.failures.everywhere, false);
});

test("a machine that fails jobs which succeeded before is set aside at the second", () => {
	const setup = new Setup();
	const [sick, good] = ["sick", "good"].map((id) => setup.machine(id)) as [Machine, Machine];
	const jobs = ["j-1", "j-2"].map((id) => setup.job(id));
	for (const job of jobs) setup.succeeds(job, good);
	setup.fails(jobs[0] as Job, sick);
	assert.deepEqual([sick.health.onProbation, sick.health.quarantined], [true, false]);
	setup.fails(jobs[1] as Job, sick);
	assert.equal(sick.health.quarantined, true);
});

test("a machine set aside for jobs that turn out faulty is taken back", () => {
	const setup = new Setup();
	const [suspect, other] = ["suspect", "other"].map((id) => setup.machine(id)) as [Machine, Machine];
	const jobs = ["j-1", "j-2", "j-3", "j-4"].map((id) => setup.job(id));
	for (const job of jobs) setup.fails(job, suspect);
	assert.equal(suspect.health.quarantined, true, "four of which nothing is known count as two");
	setup.fails(jobs[0] as Job, other);
	assert.equal(suspect.health.quarantined, false);
	assert.equal(other.health.quarantined, false);
});

test("what faulty machines do to a job does not make the job fail everywhere", () => {
	const setup = new Setup();
	const sick = ["a", "b", "c"].map((id) => setup.machine(id));
	const good = setup.machine("good");
	const proven = ["j-1", "j-2"].map((id) => setup.job(id));
	const unlucky = setup.job("j-3");
	for (const machine of sick) setup.fails(unlucky, machine);
	assert.equal(unlucky.failures.everywhere, true, "so far nothing speaks for it");
	for (const job of proven) setup.succeeds(job, good);
	for (const machine of sick) for (const job of proven) setup.fails(job, machine);
	for (const job of proven) setup.succeeds(job, good);
	assert.deepEqual(
		sick.map((machine) => machine.health.quarantined),
		[true, true, true],
	);
	assert.equal(unlucky.failures.everywhere, false);
});

test("jobs that fail on one machine type only cost no machine of it, and keep off it for a while", () => {
	const setup = new Setup();
	const narrow = { ...mediumType, name: "narrow" };
	const unsuited = ["a", "b", "c"].map((id) => setup.machine(id, narrow));
	const good = setup.machine("good");
	const jobs = ["j-1", "j-2", "j-3"].map((id) => setup.job(id)) as [Job, Job, Job];
	for (let round = 0; round < 2; round++) {
		for (const machine of unsuited) for (const job of jobs) setup.fails(job, machine);
		for (const job of jobs) setup.succeeds(job, good);
		for (const machine of unsuited)
			assert.deepEqual(
				[machine.health.quarantined, machine.health.onProbation],
				[false, false],
				`${machine.id} in ${round}`,
			);
	}
	const [job] = jobs;
	assert.deepEqual([...job.failures.unfitTypes], ["narrow"]);
	assert.deepEqual(setup.avoidedBy(job, 1000), ["a", "b", "c"]);
	assert.deepEqual(setup.avoidedBy(job, 70_000), [], "nothing else may be there, so it is tried again");
	setup.succeeds(job, unsuited[0] as Machine);
	assert.equal(job.failures.unfitTypes.size, 0, "one good run there clears the type");
	setup.fails(jobs[1], unsuited[0] as Machine);
	assert.equal(unsuited[0]?.health.quarantined, false);
});
