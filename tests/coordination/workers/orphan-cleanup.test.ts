import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { OrphanedTask } from "../../../src/bookkeeping/orphaned-task.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../../../src/coordination/ports/store.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { DirectCommandSender } from "../../../src/coordination/workers/direct-command-sender.js";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { OrphanCleanup } from "../../../src/coordination/workers/orphan-cleanup.js";
import type { TaskDemand } from "../../../src/protocol/model/job.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import { encodeFinalRecord } from "../../../src/protocol/records/final-record.js";
import { FakeTime } from "../../support/fake-time.js";
import { heartbeatOf, machineOf } from "../../support/machines.js";
import {
	heartbeat,
	machineType,
	stateWithJob,
	taskStatus,
	teamRed,
	term,
} from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";

const demand: TaskDemand = { team: "red", cpus: 2, gpus: 0 };
const orphan = (taskIndex: number) => ({ jobId: "j-9", taskIndex, attempt: 7 });
const stopOf = (taskIndex: number): WorkerCommand => ({ kind: "stop", ...orphan(taskIndex), graceS: 0 });

/** Creates a cleanup for a machine, with a store that holds the final record of job `j-9` and whose reads may fail. */
function setUp({ failedReads = 0, stored = true } = {}) {
	const clock = new FakeTime();
	const demands = new Map<string, TaskDemand>();
	const clusterState = new ClusterState({
		term: 1,
		teams: [teamRed],
		machineTypes: [machineType],
		demandOf: (jobId) => demands.get(jobId) ?? null,
	});
	const machine = machineOf({ type: machineType });
	machine.agent.heartbeatReceived(heartbeatOf(machine), 0);
	clusterState.addMachine(machine);
	const commands: WorkerCommand[] = [];
	const reads: string[] = [];
	const store: Pick<KeyValueStore, "read"> = {
		read: async (key) => {
			reads.push(key);
			if (reads.length <= failedReads) throw new CallError("not executed", 503, "the store is down");
			const value = encodeFinalRecord({ status: "cancelled", taskCount: 4, doneCount: 0, demand });
			return { row: stored ? { key, value, revision: 9, lease: null } : null };
		},
	};
	const ports = { post: (action: () => void) => action(), active: () => true, log: silentLog };
	const cleanup = new OrphanCleanup({
		...ports,
		clusterState,
		store: store as KeyValueStore,
		clock,
		commandSender: new DirectCommandSender({
			...ports,
			term: 1,
			maxInFlight: 10,
			workers: {
				sendCommands: async (_endpoint, _token, _epoch, sent) => {
					commands.push(...sent);
					return { executed: true, heartbeat: heartbeatOf(machine) };
				},
			},
		}),
		onFinalRecord: (jobId, record) => {
			if (record.demand) demands.set(jobId, record.demand);
		},
	});
	return { clock, clusterState, machine, cleanup, commands, reads };
}

describe("orphaned tasks", () => {
	test("are stopped by direct command when a heartbeat lists them for the first time, and only then", () => {
		const { clusterState } = stateWithJob();
		const sent: WorkerCommand[][] = [];
		const commandSender = new DirectCommandSender({
			term,
			maxInFlight: 10,
			workers: {
				sendCommands: (_endpoint, _token, _epoch, commands) => {
					sent.push(commands);
					return new Promise(() => {});
				},
			},
			active: () => true,
			post: (action) => action(),
			log: silentLog,
		});
		const cleanup = new OrphanCleanup({
			clusterState,
			store: { read: () => new Promise(() => {}) } as never,
			clock: new FakeTime(),
			commandSender,
			log: silentLog,
			post: (action) => action(),
			active: () => true,
			onFinalRecord: () => {},
		});
		const orphanOf = (attempt: number) => ({ ...taskStatus(0, attempt, "running"), jobId: "j-9" });
		const receive = (sequence: number, attempts: number[]) => {
			const previousOrphans = clusterState.machines.get("n-1")?.orphans ?? [];
			reconcileHeartbeat(clusterState, heartbeat(sequence, attempts.map(orphanOf)), sequence);
			const machine = clusterState.machines.get("n-1");
			assert.ok(machine);
			cleanup.stopOrphans(machine, previousOrphans);
		};
		const stopOf = (attempt: number) => ({ kind: "stop", jobId: "j-9", taskIndex: 0, attempt, graceS: 0 });

		receive(1, []);
		// The machine existed and had no orphans. If its list were changed in place, `previousOrphans` would already
		// contain the new orphan, and no stop would be sent.
		receive(2, [7]);
		assert.deepEqual(sent, [[stopOf(7)]]);
		receive(3, [7]);
		assert.equal(sent.length, 1, "a stop has been sent before");
		receive(4, [7, 8]);
		assert.deepEqual(sent[1], [stopOf(8)]);
	});

	test("are not stopped again by direct command if the previous heartbeat listed them", async () => {
		const { clock, clusterState, machine, cleanup, commands } = setUp();
		for (const taskIndex of [0, 1]) clusterState.addOrphan(machine, orphan(taskIndex));
		cleanup.stopOrphans(machine, [new OrphanedTask(orphan(0))]);
		await clock.advance(1);
		assert.deepEqual(commands, [stopOf(1)]);
		cleanup.stopOrphans(machine, machine.orphans);
		await clock.advance(1);
		assert.deepEqual(commands, [stopOf(1)]);
	});

	test("of an unknown job are charged with the demand in its final record, which is read once", async () => {
		const { clock, clusterState, machine, cleanup, reads } = setUp();
		for (const taskIndex of [0, 1]) clusterState.addOrphan(machine, orphan(taskIndex));
		assert.equal(clusterState.reconciled, false);
		cleanup.stopOrphans(machine, []);
		cleanup.stopOrphans(machine, machine.orphans);
		await clock.advance(1);
		assert.deepEqual(reads, ["r/fin/j-9"]);
		assert.equal(clusterState.reconciled, true);
		assert.equal(clusterState.quotas.usage("red").cpus, 4);
	});

	test("of an unknown job block all starts until its final record is read; failed reads are retried", async () => {
		const { clock, clusterState, machine, cleanup, reads } = setUp({ failedReads: 2 });
		clusterState.addOrphan(machine, orphan(0));
		cleanup.stopOrphans(machine, []);
		await clock.advance(999);
		assert.deepEqual([reads.length, clusterState.reconciled], [2, false]);
		await clock.advance(2);
		assert.deepEqual([reads.length, clusterState.reconciled], [3, true]);
	});

	test("that disappear while the read fails do not cause another read", async () => {
		const { clock, clusterState, machine, cleanup, reads } = setUp({ failedReads: 1 });
		clusterState.addOrphan(machine, orphan(0));
		cleanup.stopOrphans(machine, []);
		clusterState.clearOrphans(machine);
		await clock.advance(5000);
		assert.equal(reads.length, 1);
	});

	test("of a job without a final record in the store block all starts until they disappear", async () => {
		const { clock, clusterState, machine, cleanup } = setUp({ stored: false });
		clusterState.addOrphan(machine, orphan(0));
		cleanup.stopOrphans(machine, []);
		await clock.advance(5000);
		assert.equal(clusterState.reconciled, false);
		clusterState.clearOrphans(machine);
		assert.equal(clusterState.reconciled, true);
	});
});
