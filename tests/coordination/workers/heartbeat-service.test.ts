import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { TickDelay } from "../../../src/coordination/runtime/tick-delay.js";
import { DirectCommandSender } from "../../../src/coordination/workers/direct-command-sender.js";
import { FaultAttribution } from "../../../src/coordination/workers/fault-attribution.js";
import { HeartbeatService } from "../../../src/coordination/workers/heartbeat-service.js";
import { LeaseMonitor } from "../../../src/coordination/workers/lease-monitor.js";
import { OrphanCleanup } from "../../../src/coordination/workers/orphan-cleanup.js";
import type { AttemptNumber } from "../../../src/protocol/model/identifiers.js";
import type { WorkerCommand, WorkerHeartbeat } from "../../../src/protocol/model/worker.js";
import { FakeTime } from "../../support/fake-time.js";
import {
	heartbeat,
	machineType,
	stateWithJob,
	taskStatus,
	term,
	workerLeaseExpiryMs,
} from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";

/** The heartbeat service of a leader with a job of four tasks; collects the recorded machines and direct commands. */
class Setup {
	readonly clock = new FakeTime();
	readonly clusterState;
	readonly job;
	readonly service: HeartbeatService;
	readonly recorded: Machine[] = [];
	readonly directCommands: WorkerCommand[] = [];
	readonly deleted = new Set<string>();
	active = true;

	constructor() {
		({ clusterState: this.clusterState, job: this.job } = stateWithJob());
		const { clusterState, clock } = this;
		const common = { clusterState, clock, log: silentLog, post: (action: () => void) => action() };
		const active = () => this.active;
		const commandSender = new DirectCommandSender({
			...common,
			term,
			maxInFlight: 10,
			active,
			workers: {
				sendCommands: async (_endpoint, _token, _epoch, commands) => {
					this.directCommands.push(...commands);
					return { executed: true, heartbeat: heartbeat(1) };
				},
			},
		});
		this.service = new HeartbeatService({
			...common,
			term,
			heartbeatIntervalS: 1,
			fleet: { isDeleted: (id) => this.deleted.has(id), onMachineRunning() {} },
			commandSender,
			faultAttribution: new FaultAttribution(clusterState, 2, silentLog),
			orphanCleanup: new OrphanCleanup({
				...common,
				active,
				commandSender,
				store: { read: async () => ({ row: null }) } as never,
				onFinalRecord() {},
			}),
			finalizeIfDone() {},
			tickDelay: new TickDelay(100, 0),
			active,
			recordMachine: (machine) => this.recorded.push(machine),
		});
	}

	/** Handles a heartbeat. The commands are undefined while the response is held. */
	handle(workerHeartbeat: WorkerHeartbeat): { commands?: WorkerCommand[] | null } {
		const result: { commands?: WorkerCommand[] | null } = {};
		this.service.handle(workerHeartbeat).then((commands) => {
			result.commands = commands;
		});
		this.service.onBatchEnd();
		return result;
	}

	/** Adds a machine that has sent its first heartbeat and whose record is stored. */
	async addMachine(): Promise<Machine> {
		this.handle(heartbeat(1));
		await this.clock.advance(1);
		const machine = this.clusterState.machines.get("n-1");
		assert.ok(machine);
		machine.lifecycle.markRecorded();
		return machine;
	}

	/** Assigns the job's next task to the machine and returns the attempt number. */
	assign(machine: Machine): AttemptNumber {
		const attempt = this.clusterState.assignNextTask(this.job, machine);
		assert.ok(attempt);
		this.service.onAssigned(attempt);
		return attempt.number;
	}
}

/** A machine of an earlier leader's record, with which the term begins. */
function recordedMachine(): Machine {
	return new Machine({ id: "n-1", type: machineType, zone: "a", spot: true, origin: "record" }, 0);
}

describe("a heartbeat that the leader may not answer", () => {
	test("is refused if the leader may not act, the worker has a later leader's token, or the machine is deleted", async () => {
		const setup = new Setup();
		setup.active = false;
		const inactive = setup.handle(heartbeat(1));
		setup.active = true;
		const superseded = setup.handle(heartbeat(1, [], { fencingToken: term + 1 }));
		setup.deleted.add("n-1");
		const deleted = setup.handle(heartbeat(1));
		await setup.clock.advance(1);
		assert.deepEqual([inactive.commands, superseded.commands, deleted.commands], [null, null, null]);
		assert.equal(setup.clusterState.machines.size, 0, "no heartbeat was applied");
	});

	test("is refused if a response would renew an expired lease, or if the machine's type is unknown", async () => {
		const setup = new Setup();
		const machine = await setup.addMachine();
		setup.clusterState.expireLease(machine);
		const expired = setup.handle(heartbeat(2));
		const unknownType = setup.handle(heartbeat(1, [], { machineId: "n-2", machineType: "unheard of" }));
		await setup.clock.advance(1);
		assert.deepEqual([expired.commands, unknownType.commands], [null, null]);
	});
});

describe("the response to a heartbeat", () => {
	test("is sent at once, without commands, to an outdated heartbeat", async () => {
		const setup = new Setup();
		await setup.addMachine();
		const outdated = setup.handle(heartbeat(1));
		await setup.clock.advance(1);
		assert.deepEqual(outdated.commands, []);
	});

	test("is sent at once to a machine that cannot receive tasks yet, and the machine's record is written", async () => {
		const setup = new Setup();
		const first = setup.handle(heartbeat(1));
		await setup.clock.advance(1);
		assert.deepEqual(first.commands, []);
		assert.deepEqual(
			setup.recorded.map(({ id }) => id),
			["n-1"],
		);
	});

	test("is held for a placement while a task is ready, and contains the start command", async () => {
		const setup = new Setup();
		const machine = await setup.addMachine();
		setup.clusterState.clearPlacementRequest();
		const held = setup.handle(heartbeat(2));
		await setup.clock.advance(100);
		assert.equal(held.commands, undefined);
		assert.equal(setup.clusterState.placementRequested, true);
		const attempt = setup.assign(machine);
		setup.service.sendStarts(setup.clock.now());
		await setup.clock.advance(1);
		assert.deepEqual(held.commands, [{ kind: "start", jobId: "j-1", taskIndex: 0, attempt }]);
	});

	test("is held for at most 150 ms for a placement", async () => {
		const setup = new Setup();
		await setup.addMachine();
		const held = setup.handle(heartbeat(2));
		await setup.clock.advance(149);
		assert.equal(held.commands, undefined);
		await setup.clock.advance(31);
		assert.deepEqual(held.commands, []);
	});

	test("is held for up to 0.6 heartbeat intervals if no task is ready and the machine has none", async () => {
		const setup = new Setup();
		await setup.addMachine();
		for (let i = 0; i < 4; i++) setup.clusterState.markTaskDone(setup.job, i);
		setup.job.resetWaitingTasks();
		const idle = setup.handle(heartbeat(2));
		setup.service.releaseAwaitingPlacement();
		await setup.clock.advance(599);
		assert.equal(idle.commands, undefined, "it is held for a task, not for the placement in progress");
		await setup.clock.advance(31);
		assert.deepEqual(idle.commands, []);
	});

	test("is null if the leader's authority ends while the response is held", async () => {
		const setup = new Setup();
		await setup.addMachine();
		const held = setup.handle(heartbeat(2));
		setup.active = false;
		await setup.clock.advance(200);
		assert.equal(held.commands, null);
	});
});

describe("the response to a heartbeat that crossed the response to a direct command", () => {
	const probedAtMs = 3500;

	/** Adds a machine whose worker responds to a probe; an earlier heartbeat of it has not arrived yet. */
	async function probedMachine(setup: Setup): Promise<Machine> {
		await setup.clock.advance(probedAtMs);
		setup.service.reconcile(heartbeat(11));
		const machine = setup.clusterState.machines.get("n-1");
		assert.ok(machine);
		await setup.clock.advance(10);
		return machine;
	}

	// The worker renewed its lease by that response, and the leader did not: tasks ran twice (review/4).
	test("renews the lease from the receipt of the latter", async () => {
		const setup = new Setup();
		setup.clusterState.addMachine(recordedMachine());
		const machine = await probedMachine(setup);
		const crossed = setup.handle(heartbeat(10, [], { fencingToken: term - 1 }));
		await setup.clock.advance(1);
		assert.deepEqual(crossed.commands, []);
		assert.equal(machine.agent.lastResponseAt, probedAtMs);
		const monitor = new LeaseMonitor(setup.clusterState, 0, silentLog);
		monitor.tick(probedAtMs + workerLeaseExpiryMs, false);
		assert.equal(machine.agent.leaseExpired, false);
		monitor.tick(probedAtMs + workerLeaseExpiryMs + 1, false);
		assert.equal(machine.agent.leaseExpired, true);
	});

	test("renews the lease no longer if it is a late copy, so that a lost machine's tasks start elsewhere in time", async () => {
		const setup = new Setup();
		setup.clusterState.addMachine(recordedMachine());
		const machine = await probedMachine(setup);
		await setup.clock.advance(8000);
		setup.handle(heartbeat(10, [], { fencingToken: term - 1 }));
		await setup.clock.advance(1);
		assert.equal(machine.agent.lastResponseAt, probedAtMs);
	});

	// Else a task of a cancelled job runs on for the lease that the response renews, which may end after cancel_s.
	test("contains the stops of tasks that are to end, and no start", async () => {
		const setup = new Setup();
		setup.clusterState.addMachine(recordedMachine());
		await setup.clock.advance(probedAtMs);
		const running = [taskStatus(0, 7, "running"), { ...taskStatus(3, 8, "running"), jobId: "j-9" }];
		setup.service.reconcile(heartbeat(11, running));
		const machine = setup.clusterState.machines.get("n-1");
		assert.ok(machine);
		machine.attempts.get("j-1/0")?.requestStop("job ended", 0);
		const crossed = setup.handle(heartbeat(10, running, { fencingToken: term - 1 }));
		await setup.clock.advance(1);
		const stop = { kind: "stop", graceS: 0 };
		assert.deepEqual(crossed.commands, [
			{ ...stop, jobId: "j-9", taskIndex: 3, attempt: 8 },
			{ ...stop, jobId: "j-1", taskIndex: 0, attempt: 7 },
		]);
	});

	test("renews nothing if only the probe has been answered", async () => {
		const setup = new Setup();
		setup.clusterState.addMachine(recordedMachine());
		const machine = await probedMachine(setup);
		assert.equal(machine.agent.lastResponseAt, 0, "the lease dates from before the term");
	});
});

describe("the start of an attempt on a machine without a pending heartbeat", () => {
	/** Adds a machine without a pending heartbeat, whose worker lists an exited attempt that can be forgotten. */
	async function machineWithTrigger(setup: Setup): Promise<Machine> {
		const machine = await setup.addMachine();
		const attempt = setup.assign(machine);
		setup.service.sendStarts(setup.clock.now());
		setup.handle(heartbeat(2));
		await setup.clock.advance(200);
		setup.handle(heartbeat(3, [taskStatus(0, attempt, "exited", "stopped")]));
		await setup.clock.advance(200);
		assert.deepEqual(machine.exitedTasks.heartbeatTrigger?.attempt, attempt);
		return machine;
	}

	test("causes one direct command to forget the heartbeat trigger, so that the worker's next heartbeat comes early", async () => {
		const setup = new Setup();
		const machine = await machineWithTrigger(setup);
		const trigger = machine.exitedTasks.heartbeatTrigger;
		setup.assign(machine);
		setup.service.sendStarts(setup.clock.now());
		setup.assign(machine);
		setup.service.sendStarts(setup.clock.now());
		await setup.clock.advance(1);
		assert.deepEqual(
			setup.directCommands.map(({ kind, attempt }) => [kind, attempt]),
			[["forget", trigger?.attempt]],
		);
	});

	test("waits for the next heartbeat if the last one is more than 0.6 heartbeat intervals old", async () => {
		const setup = new Setup();
		const machine = await machineWithTrigger(setup);
		await setup.clock.advance(600);
		setup.assign(machine);
		setup.service.sendStarts(setup.clock.now());
		await setup.clock.advance(1);
		assert.deepEqual(setup.directCommands, []);
		assert.notEqual(machine.exitedTasks.heartbeatTrigger, null);
	});
});
