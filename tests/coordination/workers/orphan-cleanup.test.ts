import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { DirectCommandSender } from "../../../src/coordination/workers/direct-command-sender.js";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { OrphanCleanup } from "../../../src/coordination/workers/orphan-cleanup.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import { FakeTime } from "../../support/fake-time.js";
import { heartbeat, stateWithJob, taskStatus, term } from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";

describe("orphaned tasks", () => {
	test("are stopped by direct command at once when a heartbeat lists them for the first time, and once only", () => {
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
			const before = clusterState.machines.get("n-1")?.orphans ?? [];
			reconcileHeartbeat(clusterState, heartbeat(sequence, attempts.map(orphanOf)), sequence);
			const machine = clusterState.machines.get("n-1");
			assert.ok(machine);
			cleanup.stop(machine, before);
		};
		const stopOf = (attempt: number) => ({ kind: "stop", jobId: "j-9", taskIndex: 0, attempt, graceS: 0 });

		receive(1, []);
		// The machine is known and had no orphans before: the case in which the lists must not be the same object.
		receive(2, [7]);
		assert.deepEqual(sent, [[stopOf(7)]]);
		receive(3, [7]);
		assert.equal(sent.length, 1, "it was stopped before");
		receive(4, [7, 8]);
		assert.deepEqual(sent[1], [stopOf(8)]);
	});
});
