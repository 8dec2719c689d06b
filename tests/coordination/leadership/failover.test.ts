import assert from "node:assert/strict";
import { test } from "node:test";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { Failover } from "../../../src/coordination/leadership/failover.js";
import { fleetOf } from "../../support/running-fleet.js";
import { silentLog } from "../../support/silent-log.js";

test("a pause in a takeover does not make machines silent", async () => {
	const clusterState = fleetOf(50);
	const hooks = {
		post() {},
		active: () => true,
		ended: () => false,
		reconcileHeartbeat() {},
		missingFromCloudList: () => false,
	};
	const workers = { sendCommands: () => new Promise<never>(() => {}) };
	const takeover = new Failover({ clusterState, workers, termStartedAt: 0, log: silentLog, ...hooks });
	const [one] = clusterState.machines.values();
	takeover.markUnreconciled(one as Machine, 1);
	takeover.tick(1000, false);
	takeover.onProcessPause(2500);
	takeover.tick(3500, false);
	assert.equal(one?.lifecycle.deleting, false);
	takeover.tick(4600, false);
	assert.equal(one?.lifecycle.deleting, true);
});
