import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Job } from "../../../src/bookkeeping/job.js";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import type { AdmissionControl } from "../../../src/coordination/ports/team-quota.js";
import type { AssignmentRefusal } from "../../../src/coordination/state/assignment-rules.js";
import type { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { jobOf } from "../../support/machines.js";
import { tablesWith } from "../../support/small-cluster.js";
import { specOf } from "../../support/specs.js";

interface Setup {
	clusterState: ClusterState;
	/** A machine in zone a. */
	machine: Machine;
	/** A machine in zone b. */
	other: Machine;
	job: Job;
}

/** Two machines with four CPUs each and a job of team red, which may use eight, with what a test wants otherwise. */
function setUp(more: Partial<JobSpec> = {}): Setup {
	const clusterState = tablesWith(2);
	const [machine, other] = [...clusterState.machines.values()] as [Machine, Machine];
	const job = clusterState.addJob("j-1", specOf("j-1", more), 0, 1);
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

/** What keeps a start from being allowed that would be allowed otherwise. */
interface RefusedStart {
	refusal: AssignmentRefusal;
	when: string;
	spec?: Partial<JobSpec>;
	happens?(setup: Setup): void;
}

function start(clusterState: ClusterState, job: Job, machine: Machine): void {
	assert.notEqual(clusterState.assignNextTask(job, machine), null);
}

const refusedStarts: RefusedStart[] = [
	{
		refusal: "cluster not reconciled",
		when: "another machine may hold tasks of an earlier leader",
		happens: ({ clusterState, other }) => clusterState.markUnreconciled(other),
	},
	{
		refusal: "cluster not reconciled",
		when: "it is not known what an orphaned task on another machine uses",
		happens: ({ clusterState, other }) =>
			clusterState.addOrphan(other, { jobId: "j-9", taskIndex: 0, attempt: 1 }),
	},
	{
		refusal: "job ended",
		when: "the record that ends the job is being written",
		happens: ({ job }) => job.startFinalizing(0),
	},
	{
		refusal: "job ended",
		when: "the job has ended in the store",
		happens: ({ job }) => {
			job.end();
			job.resetWaitingTasks();
		},
	},
	{
		refusal: "machine not schedulable",
		when: "the machine is draining",
		happens: ({ machine }) => machine.lifecycle.startDraining(),
	},
	{
		refusal: "machine not schedulable",
		when: "the machine is quarantined",
		happens: ({ machine }) => machine.health.quarantine("slow", 0),
	},
	{
		refusal: "machine reserved",
		when: "the machine is kept free for another job",
		happens: ({ machine }) => machine.capacity.reserveForJob(jobOf("j-2")),
	},
	{ refusal: "machine not allowed", when: "the job allows another zone only", spec: { zone: "b" } },
	{
		refusal: "machine not allowed",
		when: "the job allows another type only",
		spec: { machineTypes: ["large"] },
	},
	{ refusal: "machine not allowed", when: "the job allows no spot machine", spec: { allowSpot: false } },
	{
		refusal: "insufficient capacity on machine",
		when: "another task of the job leaves too little",
		spec: { cpus: 3 },
		happens: ({ clusterState, machine, job }) => start(clusterState, job, machine),
	},
	{
		refusal: "machine on probation",
		when: "a task runs there already",
		spec: { cpus: 1 },
		happens: ({ clusterState, machine, job }) => {
			start(clusterState, job, machine);
			machine.health.startProbation(0);
		},
	},
	{
		refusal: "team at limit",
		when: "the team's tasks leave too little of its limit",
		happens: ({ clusterState }) => clusterState.quotas.allocate({ team: "red", cpus: 7, gpus: 0 }),
	},
	{ refusal: "team at limit", when: "the platform does not name the team", spec: { team: "unknown" } },
	{
		refusal: "zone constraint",
		when: "a task of the job runs in another zone than this, and all must run in the same",
		spec: { singleZone: true },
		happens: ({ clusterState, other, job }) => start(clusterState, job, other),
	},
	{
		refusal: "zone constraint",
		when: "half of the job's tasks run in the zone, and they are spread over zones",
		spec: { spreadZones: true, taskCount: 2, cpus: 1 },
		happens: ({ clusterState, machine, job }) => start(clusterState, job, machine),
	},
	{
		refusal: "allotment exhausted",
		when: "the controller that admitted the task has no allotment left",
		happens: ({ clusterState }) => clusterState.enableAdmissionControl(noAllotments),
	},
];

describe("a start is refused", () => {
	for (const { refusal, when, spec, happens } of refusedStarts)
		test(`${refusal}: ${when}`, () => {
			const setup = setUp(spec);
			happens?.(setup);
			const { clusterState, job, machine } = setup;
			const waiting = [...job.waitingTasks];
			assert.equal(clusterState.assignmentRefusal(job, machine), refusal);
			assert.equal(clusterState.assignNextTask(job, machine), null);
			assert.deepEqual(job.waitingTasks, waiting, "nothing changes");
		});
});

describe("a start is allowed", () => {
	test("where no rule forbids it", () => {
		const { clusterState, machine, job } = setUp();
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});

	test("on a machine that is reserved for the job itself", () => {
		const { clusterState, machine, job } = setUp();
		machine.capacity.reserveForJob(job);
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});

	test("on a machine on probation that is empty", () => {
		const { clusterState, machine, job } = setUp();
		machine.health.startProbation(0);
		assert.equal(clusterState.assignmentRefusal(job, machine), null);
	});
});
