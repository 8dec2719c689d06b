import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { type QuotaCharge, QuotaLedger } from "../../../src/bookkeeping/quota-ledger.js";
import type { AdmissionControl } from "../../../src/coordination/ports/team-quota.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { QuotaAccounting } from "../../../src/coordination/state/quota-accounting.js";
import type { TaskDemand } from "../../../src/protocol/model/job.js";
import { machineOf, makeSchedulable } from "../../support/machines.js";
import { mediumType, specOf } from "../../support/specs.js";

const teamRed = { name: "red", guaranteed: { cpus: 8, gpus: 0 }, limit: { cpus: 8, gpus: 0 } };
const demand: TaskDemand = { team: "red", cpus: 2, gpus: 0 };

/** The allotments of this node, `runner-0`, and of others, of which only that of `runner-1` is exhausted. */
class Allotments implements AdmissionControl {
	readonly node = "runner-0";
	readonly charges = new Set<QuotaCharge>();

	mayStart(_demand: TaskDemand, admittedBy: string): boolean {
		return admittedBy !== "runner-1";
	}

	charge({ team, cpus, gpus }: TaskDemand, node: string): QuotaCharge {
		const charge = { team, node, amount: { cpus: cpus * 1000, gpus: gpus * 1000 } };
		this.charges.add(charge);
		return charge;
	}

	chargeUnattributed(unattributed: TaskDemand): QuotaCharge {
		return this.charge(unattributed, "nobody");
	}

	release(charge: QuotaCharge): void {
		assert.ok(this.charges.delete(charge), "a charge is released once");
	}

	get nodes(): string[] {
		return [...this.charges].map(({ node }) => node);
	}
}

describe("the accounting of quota", () => {
	test("counts tasks by the ledger alone until team quota is enabled", () => {
		const ledger = new QuotaLedger([teamRed]);
		const accounting = new QuotaAccounting(ledger);
		assert.equal(accounting.leaderNode, "");
		assert.equal(accounting.mayStart(demand, "runner-1"), true);
		assert.equal(accounting.allocateAdmitted(demand, "runner-1"), null);
		assert.equal(accounting.allocateUnattributed(demand), null);
		assert.equal(ledger.usage("red").cpus, 4);
		accounting.release(demand, null);
		assert.equal(ledger.usage("red").cpus, 2);
	});

	test("with team quota also charges each task to the allotment of the controller that has admitted it", () => {
		const ledger = new QuotaLedger([teamRed]);
		const accounting = new QuotaAccounting(ledger);
		const allotments = new Allotments();
		accounting.enableAdmissionControl(allotments);
		assert.equal(accounting.leaderNode, "runner-0");
		assert.equal(accounting.mayStart(demand, "runner-1"), false);
		const admitted = accounting.allocateAdmitted(demand, "runner-2");
		const unattributed = accounting.allocateUnattributed(demand);
		assert.deepEqual(allotments.nodes, ["runner-2", "nobody"]);
		assert.equal(ledger.usage("red").cpus, 4);
		accounting.release(demand, admitted);
		accounting.release(demand, unattributed);
		assert.deepEqual(allotments.nodes, []);
		assert.equal(ledger.usage("red").cpus, 0);
	});
});

describe("the cluster state with team quota", () => {
	function setUp(): { clusterState: ClusterState; machine: Machine } {
		const clusterState = new ClusterState({
			term: 1,
			teams: [teamRed],
			machineTypes: [mediumType],
			demandOf: (jobId) => (jobId === "j-8" ? demand : null),
		});
		const machine = machineOf();
		makeSchedulable(machine);
		clusterState.addMachine(machine);
		return { clusterState, machine };
	}

	test("charges each attempt and orphaned task once when team quota is enabled", () => {
		const { clusterState, machine } = setUp();
		const job = clusterState.addJob("j-1", specOf("j-1"), 0, 1);
		job.resetWaitingTasks();
		const attempt = clusterState.assignNextTask(job, machine);
		assert.ok(attempt);
		clusterState.addOrphan(machine, { jobId: "j-8", taskIndex: 0, attempt: 1 });
		const allotments = new Allotments();
		clusterState.enableAdmissionControl(allotments);
		assert.deepEqual(allotments.nodes, ["nobody", "nobody"]);
		assert.equal(clusterState.quotas.usage("red").cpus, 4, "the leader's own count stays as it was");
		clusterState.endAttempt(attempt);
		clusterState.clearOrphans(machine);
		assert.deepEqual(allotments.nodes, []);
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
	});

	test("charges an orphaned task when its demand becomes known", () => {
		const demands = new Map<string, TaskDemand>();
		const clusterState = new ClusterState({
			term: 1,
			teams: [teamRed],
			machineTypes: [mediumType],
			demandOf: (jobId) => demands.get(jobId) ?? null,
		});
		const machine = machineOf();
		clusterState.addMachine(machine);
		const allotments = new Allotments();
		clusterState.enableAdmissionControl(allotments);
		clusterState.addOrphan(machine, { jobId: "j-9", taskIndex: 0, attempt: 1 });
		clusterState.resolveDemand("j-9");
		assert.deepEqual([clusterState.reconciled, allotments.nodes], [false, []]);
		demands.set("j-9", demand);
		clusterState.resolveDemand("j-9");
		clusterState.resolveDemand("j-9");
		assert.deepEqual([clusterState.reconciled, allotments.nodes], [true, ["nobody"]]);
		assert.equal(clusterState.quotas.usage("red").cpus, 2);
	});

	test("counts an orphaned task once, also when the demand of another one becomes known", () => {
		const demands = new Map([["j-9", demand]]);
		const clusterState = new ClusterState({
			term: 1,
			teams: [teamRed],
			machineTypes: [mediumType],
			demandOf: (jobId) => demands.get(jobId) ?? null,
		});
		const machine = machineOf();
		clusterState.addMachine(machine);
		clusterState.addOrphan(machine, { jobId: "j-9", taskIndex: 0, attempt: 1 });
		demands.clear();
		clusterState.addOrphan(machine, { jobId: "j-9", taskIndex: 1, attempt: 2 });
		assert.deepEqual([...clusterState.jobsWithUnknownDemand()], ["j-9"]);
		demands.set("j-9", demand);
		clusterState.resolveDemand("j-9");
		assert.equal(clusterState.quotas.usage("red").cpus, 4);
		assert.equal(clusterState.reconciled, true);
		clusterState.clearOrphans(machine);
		assert.equal(clusterState.quotas.usage("red").cpus, 0);
	});

	test("assigns tasks as admitted by this leader, unless another controller has admitted them", () => {
		const { clusterState, machine } = setUp();
		const job = clusterState.addJob("j-1", specOf("j-1"), 0, 1);
		job.resetWaitingTasks();
		const allotments = new Allotments();
		clusterState.enableAdmissionControl(allotments);
		assert.equal(clusterState.assignNextTask(job, machine)?.charge?.node, "runner-0");
		assert.equal(clusterState.assignNextTask(job, machine, "runner-2")?.charge?.node, "runner-2");
		assert.equal(clusterState.assignNextTask(job, machine, "runner-1"), null);
	});
});
