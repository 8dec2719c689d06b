import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Job } from "../../../src/bookkeeping/job.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { computeGrants } from "../../../src/coordination/placement/grants.js";
import { capacityOf } from "../../../src/coordination/placement/placement-cycle.js";
import type { AdmissionControl } from "../../../src/coordination/ports/team-quota.js";
import type { AssignmentRefusal } from "../../../src/coordination/state/assignment-rules.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { maxListedTasks } from "../../../src/protocol/http/worker-api.js";
import type { Term } from "../../../src/protocol/model/identifiers.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { jobOf, machineOf, makeSchedulable } from "../../support/machines.js";
import { clusterStateWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

interface Setup {
	clusterState: ClusterState;
	/** A machine in zone a. */
	machine: Machine;
	/** A machine in zone b. */
	other: Machine;
	job: Job;
}

/** Creates two machines with four CPUs each and a job of team red, whose limit is eight CPUs. */
function setUp(specOverrides: Partial<JobSpec> = {}, term: Term = 7): Setup {
	const clusterState = clusterStateWith(2, 8, term);
	const [machine, other] = [...clusterState.machines.values()] as [Machine, Machine];
	const job = clusterState.addJob("j-1", specOf("j-1", specOverrides), 0, 1);
	job.resetWaitingTasks();
	return { clusterState, machine, other, job };
}

/** Allotments that admit nothing. */
const noAllotments: AdmissionControl = {
	node: "runner-0",
	mayStart: () => false,
	charge: (demand, node) => ({ team: demand.team, node, amount: demand }),
	chargeUnattributed: (demand) => ({ team: demand.team, node: "runner-0", amount: demand }),
	release() {},
};

/** A condition that makes the rules refuse a start that they allow otherwise. */
interface RefusedStart {
	refusal: AssignmentRefusal;
	condition: string;
	spec?: Partial<JobSpec>;
	prepare?(setup: Setup): void;
}

function startTask(clusterState: ClusterState, job: Job, machine: Machine): void {
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
}

const refusedStarts: RefusedStart[] = [
	{
		refusal: "cluster not reconciled",
		condition: "another machine may hold tasks of an earlier leader",
		prepare: ({ clusterState, other }) => clusterState.markUnreconciled(other),
	},
	{
		refusal: "cluster not reconciled",
		condition: "the demand of an orphaned task on another machine is unknown",
		prepare: ({ clusterState, other }) =>
			clusterState.addOrphan(other, { jobId: "j-9", taskIndex: 0, attempt: 1 }),
	},
	{
		refusal: "job ended",
		condition: "the record that ends the job is being written",
		prepare: ({ job }) => job.startFinalizing(0),
	},
	{
		refusal: "job ended",
		condition: "the job has ended in the store",
		prepare: ({ job }) => {
			job.end();
			job.resetWaitingTasks();
		},
	},
	{
		refusal: "machine not schedulable",
		condition: "the machine is draining",
		prepare: ({ machine }) => machine.lifecycle.startDraining(),
	},
	{
		refusal: "machine not schedulable",
		condition: "the machine is quarantined",
		prepare: ({ machine }) => machine.health.quarantine("slow", 0),
	},
	{
		refusal: "machine reserved",
		condition: "the machine is reserved for another job",
		prepare: ({ machine }) => machine.capacity.reserveForJob(jobOf("j-2")),
	},
	{ refusal: "machine not allowed", condition: "the job allows another zone only", spec: { zone: "b" } },
	{
		refusal: "machine not allowed",
		condition: "the job allows another type only",
		spec: { machineTypes: ["large"] },
	},
	{ refusal: "machine not allowed", condition: "the job allows no spot machine", spec: { allowSpot: false } },
	{
		refusal: "task list of machine full",
		condition: "the worker lists as many tasks as fit into a heartbeat",
		prepare: ({ machine }) => {
			for (let taskIndex = 0; taskIndex < maxListedTasks; taskIndex++)
				machine.exitedTasks.add({ jobId: "j-9", taskIndex, attempt: 1, done: false });
		},
	},
	{
		refusal: "insufficient capacity on machine",
		condition: "another task of the job leaves too few CPUs",
		spec: { cpus: 3 },
		prepare: ({ clusterState, machine, job }) => startTask(clusterState, job, machine),
	},
	{
		refusal: "machine on probation",
		condition: "a task already runs on the machine",
		spec: { cpus: 1 },
		prepare: ({ clusterState, machine, job }) => {
			startTask(clusterState, job, machine);
			machine.health.startProbation(0);
		},
	},
	{
		refusal: "team at limit",
		condition: "the task would exceed the team's limit",
		prepare: ({ clusterState }) => clusterState.quotas.allocate({ team: "red", cpus: 7, gpus: 0 }),
	},
	{ refusal: "team at limit", condition: "the platform's settings lack the team", spec: { team: "unknown" } },
	{
		refusal: "zone constraint",
		condition: "a task of the job runs in another zone, and all must run in a single zone",
		spec: { singleZone: true },
		prepare: ({ clusterState, other, job }) => startTask(clusterState, job, other),
	},
	{
		refusal: "zone constraint",
		condition: "half of the job's tasks run in the zone, and they must be spread over zones",
		spec: { spreadZones: true, taskCount: 2, cpus: 1 },
		prepare: ({ clusterState, machine, job }) => startTask(clusterState, job, machine),
	},
	{
		refusal: "allotment exhausted",
		condition: "the controller that admitted the task has no allotment left",
		prepare: ({ clusterState }) => clusterState.enableAdmissionControl(noAllotments),
	},
];

describe("a start is refused", () => {
	for (const { refusal, condition, spec, prepare } of refusedStarts)
		test(`${refusal}: ${condition}`, () => {
			const setup = setUp(spec);
			prepare?.(setup);
			const { clusterState, job, machine } = setup;
			const waitingBefore = [...job.waitingTasks];
			assert.equal(clusterState.assignmentRefusal(job, machine), refusal);
			assert.equal(clusterState.assignNextTask(job, machine), null);
			assert.deepEqual([...job.waitingTasks], waitingBefore, "the task keeps waiting");
		});
});

describe("a start is allowed", () => {
	test("if no rule forbids it", () => {
		const { clusterState, machine, job } = setUp();
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});

	test("on a machine that is reserved for the job itself", () => {
		const { clusterState, machine, job } = setUp();
		machine.capacity.reserveForJob(job);
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});

	test("on a machine on probation that runs no task", () => {
		const { clusterState, machine, job } = setUp();
		machine.health.startProbation(0);
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});

	test("in a term from 2^41 on, once the leader has reserved a range of attempt numbers", () => {
		const { clusterState, machine, job } = setUp({}, 2 ** 41);
		assert.equal(clusterState.assignmentRefusal(job, machine), "no attempt numbers yet");
		assert.equal(clusterState.assignNextTask(job, machine), null);
		clusterState.useReservedAttemptRange(1);
		assert.equal(clusterState.assignNextTask(job, machine)?.number, 2n ** 63n + 2n ** 22n + 1n);
	});

	test("if the leader can hold another attempt, such as once one has ended", () => {
		const teams = [{ name: "red", guaranteed: { cpus: 8, gpus: 0 }, limit: { cpus: 8, gpus: 0 } }];
		const clusterState = new ClusterState({ term: 7, teams, machineTypes: [], maxAttempts: 2 });
		const machine = machineOf();
		makeSchedulable(machine);
		clusterState.addMachine(machine);
		const job = clusterState.addJob("j-1", specOf("j-1"), 0, 1);
		const grantedCount = () =>
			computeGrants(clusterState, [job], [capacityOf(machine)], { monotonicMs: 0, wallClockMs: 0 })[0]?.grant
				.count;
		assert.equal(grantedCount(), 2, "no more tasks are granted");
		const attempt = clusterState.assignNextTask(job, machine);
		startTask(clusterState, job, machine);
		assert.equal(clusterState.assignmentRefusal(job, machine), "attempt limit");
		assert.equal(clusterState.assignNextTask(job, machine), null);
		assert.equal(grantedCount(), undefined);
		if (attempt) clusterState.endAttempt(attempt);
		assert.equal(grantedCount(), 1);
		startTask(clusterState, job, machine);
	});
});
