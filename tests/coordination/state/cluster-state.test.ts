import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Attempt } from "../../../src/bookkeeping/attempt.js";
import type { Job } from "../../../src/bookkeeping/job.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import type { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { AttemptNumber } from "../../../src/protocol/model/identifiers.js";
import { clusterStateWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

/** Returns the machines of the cluster; the type lets a test use the first two without a check. */
const machinesOf = (clusterState: ClusterState) => [...clusterState.machines.values()] as [Machine, Machine];

function addJob(clusterState: ClusterState, id: string, specOverrides: Parameters<typeof specOf>[1] = {}) {
	const job = clusterState.addJob(id, specOf(id, specOverrides), 0, 1);
	job.resetWaitingTasks();
	return job;
}

/**
 * Asserts that no team uses more than its limit of 8 CPUs, that the ledger agrees with the attempts, and that no
 * machine's capacity is exceeded.
 */
function assertWithinLimits(clusterState: ClusterState, jobs: readonly Job[]): void {
	for (const team of ["red", "blue"]) {
		let used = 0;
		for (const job of jobs) if (job.spec.team === team) used += job.attempts.size * job.spec.cpus;
		assert.ok(used <= 8);
		assert.ok(Math.abs(clusterState.quotas.usage(team).cpus - used) < 1e-6);
	}
	for (const machine of clusterState.machines.values()) assert.ok(machine.capacity.freeCpus >= -1e-9);
}

function assertNewNumber({ number }: Attempt, usedNumbers: Set<AttemptNumber>): void {
	assert.ok(!usedNumbers.has(number), "attempt numbers are unique");
	assert.ok(Number.isSafeInteger(number));
	usedNumbers.add(number);
}

describe("the assignment of tasks", () => {
	test("never exceeds a team's limit or a machine's capacity, in any order of starts and ends", () => {
		const random = xoroshiro128plus(5);
		for (let round = 0; round < 50; round++) {
			const clusterState = clusterStateWith(4);
			const jobs = ["j-1", "j-2", "j-3"].map((id, i) =>
				addJob(clusterState, id, {
					taskCount: 10,
					cpus: uniformInt(random, 1, 3),
					team: i % 2 ? "red" : "blue",
				}),
			);
			const usedNumbers = new Set<AttemptNumber>();
			const endAttempt = (attempt: Attempt, done: boolean) => {
				if (done) clusterState.markTaskDone(attempt.job, attempt.taskIndex);
				clusterState.endAttempt(attempt);
			};
			for (let step = 0; step < 80; step++) {
				const job = jobs[uniformInt(random, 0, 2)] as Job;
				const machine = clusterState.machines.get(`n-${uniformInt(random, 0, 3)}`) as Machine;
				if (uniformInt(random, 0, 2) > 0) {
					const attempt = clusterState.assignNextTask(job, machine);
					if (attempt) assertNewNumber(attempt, usedNumbers);
				} else {
					const attempt = [...machine.attempts.values()][0];
					if (attempt) endAttempt(attempt, uniformInt(random, 0, 1) === 1);
				}
				assertWithinLimits(clusterState, jobs);
			}
		}
	});

	test("is refused while a machine of an earlier leader is unreconciled", () => {
		const clusterState = clusterStateWith(2);
		const job = addJob(clusterState, "j-1");
		const [first, second] = machinesOf(clusterState);
		clusterState.markUnreconciled(second);
		assert.equal(clusterState.assignNextTask(job, first), null);
		clusterState.markReconciled(second);
		assert.notEqual(clusterState.assignNextTask(job, first), null);
	});

	test("numbers attempts in the range of the term", () => {
		const clusterState = clusterStateWith(1);
		const attempt = clusterState.assignNextTask(addJob(clusterState, "j-1"), machinesOf(clusterState)[0]);
		assert.equal(clusterState.term, 7);
		assert.equal(attempt?.number, 7 * 2 ** 22 + 1);
	});
});

describe("the end of an attempt", () => {
	test("releases its resources and quota and requeues its task, once", () => {
		const clusterState = clusterStateWith(1);
		const job = addJob(clusterState, "j-1", { taskCount: 1 });
		const [machine] = machinesOf(clusterState);
		const attempt = clusterState.assignNextTask(job, machine);
		assert.ok(attempt);
		clusterState.clearPlacementRequest();
		clusterState.endAttempt(attempt);
		clusterState.endAttempt(attempt);
		assert.deepEqual([...job.waitingTasks], [0]);
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
		assert.equal(machine.capacity.usedCpus, 0);
		assert.equal(clusterState.placementRequested, true);
	});

	test("of a relocated replica assigns the next one to the machine reserved for it", () => {
		const clusterState = clusterStateWith(2);
		const job = addJob(clusterState, "j-1", { form: "service", taskCount: 1 });
		const [from, to] = machinesOf(clusterState);
		const attempt = clusterState.assignNextTask(job, from);
		assert.ok(attempt);
		attempt.markSent();
		attempt.relocateTo(to);
		clusterState.endAttempt(attempt);
		assert.equal(job.attempts.get(0)?.machine, to);
		assert.deepEqual([...clusterState.consumeRelocationTargets()], [to]);
		assert.deepEqual([...clusterState.consumeRelocationTargets()], []);
		assert.equal(to.capacity.freeCpus, to.type.cpus - job.spec.cpus, "the reservation became the attempt's");
	});

	test("of a relocated replica whose job has ended releases the reservation", () => {
		const clusterState = clusterStateWith(2);
		const job = addJob(clusterState, "j-1", { form: "service", taskCount: 1 });
		const [from, to] = machinesOf(clusterState);
		const attempt = clusterState.assignNextTask(job, from);
		assert.ok(attempt);
		attempt.markSent();
		attempt.relocateTo(to);
		assert.deepEqual(clusterState.removeJob(job), [attempt]);
		assert.deepEqual(attempt.stopRequest, { reason: "job ended", graceS: 0 });
		clusterState.endAttempt(attempt);
		assert.equal(job.attempts.size, 0);
		assert.equal(to.capacity.freeCpus, to.type.cpus);
		assert.equal(clusterState.consumeRelocationTargets().size, 0);
	});
});

describe("the machines of the cluster", () => {
	test("are removed with their attempts, orphaned tasks and exited tasks", () => {
		const clusterState = clusterStateWith(1);
		const job = addJob(clusterState, "j-1");
		const [machine] = machinesOf(clusterState);
		clusterState.assignNextTask(job, machine);
		clusterState.addOrphan(machine, { jobId: "j-9", taskIndex: 0, attempt: 1 });
		clusterState.markUnreconciled(machine);
		machine.exitedTasks.add({ jobId: "j-8", taskIndex: 0, attempt: 1, done: false });
		assert.equal(clusterState.removeMachine(machine), 1);
		assert.equal(clusterState.machines.size, 0);
		assert.equal(job.attempts.size, 0);
		assert.equal(machine.orphans.length, 0);
		assert.deepEqual(
			machine.exitedTasks.selectForgettable(() => true, false),
			[],
		);
		assert.equal(clusterState.reconciled, true);
	});

	test("count as schedulable CPUs while they accept new tasks", () => {
		const clusterState = clusterStateWith(2);
		assert.equal(clusterState.schedulableCpus, 8);
		machinesOf(clusterState)[0].lifecycle.startDraining();
		assert.equal(clusterState.schedulableCpus, 4);
	});

	test("are removed without a placement request if they are known only from an out-of-date cloud list", () => {
		const clusterState = clusterStateWith(1);
		clusterState.clearPlacementRequest();
		clusterState.removeNonexistentMachine(machinesOf(clusterState)[0]);
		assert.equal(clusterState.machines.size, 0);
		assert.equal(clusterState.placementRequested, false);
	});
});
