import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { Fleet } from "../../../src/coordination/fleet/fleet.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import type { ScaleOutRequest } from "../../../src/protocol/http/cloud-api.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { startTimeObjectives } from "../../../src/protocol/settings/objectives.js";
import { defaultOperatorSettings } from "../../../src/protocol/settings/operator.js";
import type { ServiceLevelObjective } from "../../../src/protocol/settings/platform.js";
import { FakeTime } from "../../support/fake-time.js";
import { makeSchedulable } from "../../support/machines.js";
import { silentLog } from "../../support/silent-log.js";
import { specOf, mediumType as type } from "../../support/specs.js";

const teams = [{ name: "red", guaranteed: { cpus: 400, gpus: 0 }, limit: { cpus: 400, gpus: 0 } }];

/** A fleet with a cluster state and a cloud that creates every machine requested. */
class Setup {
	readonly time = new FakeTime();
	readonly clusterState = new ClusterState({ term: 1, teams, machineTypes: [type] });
	readonly requests: ScaleOutRequest[] = [];
	private readonly fleet: Fleet;
	private jobs = 0;

	constructor(objectives: ServiceLevelObjective[] = []) {
		this.fleet = new Fleet({
			clusterState: this.clusterState,
			cloud: {
				machineTypes: async () => [type],
				createMachines: async (request) => {
					this.requests.push(request);
					return Array.from({ length: request.count }, (_, i) => `${request.name}-${i}`);
				},
				deleteMachines: async () => {},
				listMachines: async () => ({ machines: [], hasMore: false }),
			},
			clock: this.time,
			settings: defaultOperatorSettings(),
			objectives: startTimeObjectives(objectives),
			listLagMs: 1000,
			leaseMs: 10_000,
			requestPrefix: "r",
			hooks: { post: (run) => run(), active: () => true, onMachineDeleted() {} },
			log: silentLog,
		});
	}

	machine(id: string, zone: string, spot: boolean): Machine {
		const machine = new Machine({ id, type, zone, spot, origin: "heartbeat" }, 0);
		makeSchedulable(machine);
		this.clusterState.addMachine(machine);
		return machine;
	}

	job(specOverrides: Partial<JobSpec>) {
		this.jobs += 1;
		const id = `j-${this.jobs}`;
		const job = this.clusterState.addJob(
			id,
			specOf(id, specOverrides),
			this.time.date().getTime(),
			this.jobs,
		);
		job.resetWaitingTasks();
		return job;
	}

	async run(seconds: number): Promise<void> {
		for (let t = 0; t < seconds * 1000; t += 500) {
			this.fleet.tick();
			await this.time.advance(500);
		}
	}

	onDemandRequests(): ScaleOutRequest[] {
		return this.requests.filter((request) => !request.spot);
	}
}

/** Adds fifty busy machines, so that the load lies between the thresholds. */
function addBusyMachines(setup: Setup): void {
	const job = setup.job({ jobClass: "batch", taskCount: 100, cpus: 4, estimatedRunS: 1000 });
	for (let i = 0; i < 50; i++) {
		const machine = setup.machine(`n-${i}`, i % 2 ? "a" : "b", true);
		for (let k = 0; k < 2; k++) {
			const attempt = setup.clusterState.assignNextTask(job, machine);
			if (attempt) attempt.updatePhase("running", 0);
		}
	}
}

const startWithin = (name: string, seconds: number): ServiceLevelObjective => ({
	kind: "wait",
	class: name,
	within_s: seconds,
	share: 0.9,
});

test("on-demand machines are created before the first job of a class whose tasks must start sooner than any machine boots", async () => {
	const setup = new Setup([startWithin("live", 12), startWithin("batch", 12), startWithin("slow", 40)]);
	addBusyMachines(setup);
	await setup.run(10);
	const zones = () =>
		setup
			.onDemandRequests()
			.map((request) => request.zone)
			.sort();
	assert.deepEqual(zones(), ["a", "b", "c"], "enough in two zones, whichever of the three is lost");
	await setup.run(20);
	assert.equal(zones().length, 3, "and no more than that");
});

test("no capacity is created in advance for array jobs, for classes that may wait for a boot, or while there are no jobs", async () => {
	const arrays = new Setup([startWithin("batch", 12), startWithin("slow", 40)]);
	addBusyMachines(arrays);
	await arrays.run(10);
	assert.deepEqual(arrays.onDemandRequests(), []);
	const withoutJobs = new Setup([startWithin("live", 12)]);
	await withoutJobs.run(10);
	assert.deepEqual(withoutJobs.requests, []);
});

test("while replicas wait for on-demand machines, idle spot machines drain all the same", async () => {
	const setup = new Setup();
	for (let i = 0; i < 20; i++) setup.machine(`n-${i}`, "a", true);
	const spare = setup.machine("n-spare", "a", false);
	const live = setup.job({
		jobClass: "live",
		form: "service",
		taskCount: 1,
		cpus: 8,
		allowSpot: false,
		estimatedRunS: 0,
	});
	await setup.run(10);
	assert.ok([...setup.clusterState.machines.values()].some((m) => m.spot && m.lifecycle.draining));
	assert.ok(!spare.lifecycle.draining, "it is kept for the waiting replica");
	assert.equal(live.waitingTasks.count, 1);
});

test("if the least busy machines are kept for expected replicas, others drain instead", async () => {
	const setup = new Setup();
	const live = setup.job({
		jobClass: "live",
		form: "service",
		taskCount: 8,
		cpus: 1,
		allowSpot: false,
		estimatedRunS: 0,
	});
	const kept = ["a", "b", "a"].map((zone, i) => setup.machine(`n-kept${i}`, zone, false));
	for (let i = 0; i < 8; i++) setup.clusterState.assignNextTask(live, kept[0] as Machine);
	const small = setup.job({ jobClass: "batch", taskCount: 4, cpus: 1, estimatedRunS: 30 });
	const spot = Array.from({ length: 4 }, (_, i) => setup.machine(`n-spot${i}`, "a", true));
	for (const machine of spot) {
		const attempt = setup.clusterState.assignNextTask(small, machine);
		if (attempt) attempt.updatePhase("running", 0);
	}
	await setup.run(10);
	assert.ok(spot.some((machine) => machine.lifecycle.draining));
	assert.ok(
		kept.filter((machine) => !machine.lifecycle.draining).length >= 2,
		"as many as the recent job needs",
	);
});
