import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { issueCommands } from "../../../src/coordination/workers/worker-commands.js";
import type { WorkerCommand } from "../../../src/protocol/model/worker.js";
import {
	heartbeat,
	stateWithJob,
	stateWithSentStart,
	taskStatus,
	term,
} from "../../support/reconciliation-setup.js";

const startedAttempts = (commands: readonly WorkerCommand[]) =>
	commands.filter(({ kind }) => kind === "start").map(({ attempt }) => attempt);

// After a forget command the worker does not know the attempt, and a repeated start would execute it once more.
describe("an attempt that the worker has forgotten is not started again", () => {
	const forgotten = 900;
	/** What became of the attempt's task before a late copy that lists it as running reached the next leader. */
	const outcomes = {
		stopped: () => {},
		cancelled: ({ clusterState, job }: ReturnType<typeof stateWithJob>) => {
			clusterState.removeJob(job);
		},
		done: ({ clusterState, job }: ReturnType<typeof stateWithJob>) => {
			clusterState.markTaskDone(job, 0);
			job.resetWaitingTasks();
		},
	};
	for (const [outcome, apply] of Object.entries(outcomes))
		test(`by a leader that received a late copy which lists it, after its task was ${outcome}`, () => {
			const state = stateWithJob();
			apply(state);
			const { clusterState, job } = state;
			const listed = [taskStatus(0, forgotten, "fetching")];
			reconcileHeartbeat(clusterState, heartbeat(1, listed, { fencingToken: term - 1 }), 0);
			const machine = clusterState.machines.get("n-1");
			assert.ok(machine);
			machine.lifecycle.markRecorded();
			for (const sequence of [2, 3]) {
				reconcileHeartbeat(clusterState, heartbeat(sequence), sequence);
				while (clusterState.assignNextTask(job, machine));
				assert.ok(!startedAttempts(issueCommands(clusterState, machine)).includes(forgotten));
			}
			assert.equal([...machine.attempts.values()].filter((a) => a.number === forgotten).length, 0);
		});

	test("by the leader that started it, after late copies from before its start and from its run", () => {
		const { clusterState, machine, attempt } = stateWithSentStart();
		const running = [taskStatus(0, attempt.number, "running")];
		const exited = [taskStatus(0, attempt.number, "exited", "stopped")];
		const reports = [
			heartbeat(2, running),
			heartbeat(3, exited),
			heartbeat(1),
			heartbeat(2, running),
			heartbeat(4),
			heartbeat(3, exited),
			heartbeat(2, running),
		];
		for (const [i, report] of reports.entries()) {
			reconcileHeartbeat(clusterState, report, i);
			assert.deepEqual(startedAttempts(issueCommands(clusterState, machine)), []);
		}
	});

	test("a start whose response was lost is repeated under its number only while no response to it can arrive", () => {
		const { clusterState, machine, attempt } = stateWithSentStart();
		reconcileHeartbeat(clusterState, heartbeat(1), 1);
		assert.deepEqual(startedAttempts(issueCommands(clusterState, machine)), [], "a copy proves nothing");
		reconcileHeartbeat(clusterState, heartbeat(2), 2);
		assert.deepEqual(startedAttempts(issueCommands(clusterState, machine)), [attempt.number]);
		reconcileHeartbeat(clusterState, heartbeat(1, [], { agentEpoch: 2 }), 3);
		assert.deepEqual(startedAttempts(issueCommands(clusterState, machine)), [], "its tasks have ended");
		assert.ok(!machine.attempts.has(attempt.taskId));
	});
});
