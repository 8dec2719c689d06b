import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Attempt } from "../../../src/bookkeeping/attempt.js";
import { Job } from "../../../src/bookkeeping/job.js";
import { Machine } from "../../../src/bookkeeping/machine.js";
import { stopBeforeReclaim } from "../../../src/coordination/workers/spot-reclaim.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { mediumType, specOf } from "../../support/specs.js";

const heartbeatIntervalS = 1;

/** Creates a spot machine to be reclaimed after `reclaimInS`, with a running attempt of a job that takes 20 s. */
function machineWithTask(specOverrides: Partial<JobSpec>, reclaimInS: number | null) {
	const machine = new Machine({ id: "n-1", type: mediumType, zone: "a", spot: true, origin: "created" }, 0);
	machine.lifecycle.heartbeatReceived(reclaimInS === null ? null : reclaimInS * 1000);
	const job = new Job("j-1", specOf("j-1", { estimatedRunS: 20, ...specOverrides }), 0, 1);
	const attempt = new Attempt({ job, taskIndex: 0, number: 1, machine, phase: "sent" });
	attempt.updatePhase("running", 0);
	machine.addAttempt(attempt);
	return { machine, attempt };
}

describe("attempts on a spot machine that is about to be reclaimed", () => {
	test("are not stopped if the cloud has given no reclaim notice", () => {
		const { machine, attempt } = machineWithTask({}, null);
		assert.deepEqual(stopBeforeReclaim(machine, 0, heartbeatIntervalS), []);
		assert.equal(attempt.stopRequest, null);
	});

	test("of a job without checkpoints are stopped at once if they are unlikely to finish, and not stopped otherwise", () => {
		const unlikelyToFinish = machineWithTask({}, 10);
		assert.deepEqual(stopBeforeReclaim(unlikelyToFinish.machine, 0, heartbeatIntervalS), [
			unlikelyToFinish.attempt,
		]);
		assert.deepEqual(unlikelyToFinish.attempt.stopRequest, { reason: "spot reclaim", graceS: 0 });
		const likelyToFinish = machineWithTask({}, 16);
		assert.deepEqual(stopBeforeReclaim(likelyToFinish.machine, 0, heartbeatIntervalS), []);
		assert.equal(likelyToFinish.attempt.stopRequest, null);
	});

	test("of a job with checkpoints are stopped in time to save one, with the time until the reclaim as grace", () => {
		const checkpoints = { checkpointIntervalS: 5, checkpointCostS: 4 };
		const { machine, attempt } = machineWithTask(checkpoints, 10);
		assert.deepEqual(stopBeforeReclaim(machine, 3999, heartbeatIntervalS), []);
		assert.equal(attempt.stopRequest, null);
		assert.deepEqual(
			stopBeforeReclaim(machine, 4000, heartbeatIntervalS),
			[],
			"the next response contains the stop",
		);
		assert.deepEqual(attempt.stopRequest, { reason: "spot reclaim", graceS: 6 });
	});

	test("that are replicas are not stopped, since they are relocated", () => {
		const { machine, attempt } = machineWithTask({ form: "service", estimatedRunS: 0 }, 1);
		assert.deepEqual(stopBeforeReclaim(machine, 0, heartbeatIntervalS), []);
		assert.equal(attempt.stopRequest, null);
	});
});
