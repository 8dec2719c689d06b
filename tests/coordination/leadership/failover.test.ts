import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { Failover } from "../../../src/coordination/leadership/failover.js";
import { fleetOf } from "../../support/running-fleet.js";
import { silentLog } from "../../support/silent-log.js";

test("a process pause during failover does not count as time without responses of machines", async () => {
	const clusterState = fleetOf(50);
	const hooks = {
		post() {},
		active: () => true,
		ended: () => false,
		reconcileHeartbeat() {},
		missingFromCloudList: () => false,
	};
	const workers = { sendCommands: () => new Promise<never>(() => {}) };
	const failover = new Failover({ clusterState, workers, termStartedAt: 0, log: silentLog, ...hooks });
	const [machine] = clusterState.machines.values();
	failover.markUnreconciled(machine as Machine, 1);
	failover.tick(1000, false);
	failover.onProcessPause(2500);
	failover.tick(3500, false);
	assert.equal(machine?.lifecycle.deleting, false);
	failover.tick(4600, false);
	assert.equal(machine?.lifecycle.deleting, true);
});
