import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Failover } from "../../../src/coordination/leadership/failover.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleet, largeFleetSizes } from "../../support/large-fleets.js";
import { silentLog } from "../../support/silent-log.js";

describe("failover with a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: a new leader probes all of them within 12 s, and deletes none if none responds`, async () => {
			const clock = new FakeTime();
			const clusterState = largeFleet(size);
			const probedEndpoints = new Set<string>();
			const workers = {
				sendCommands: (endpoint: string) => {
					probedEndpoints.add(endpoint);
					return new Promise<never>(() => {});
				},
			};
			const hooks = {
				post: (run: () => void) => run(),
				active: () => true,
				ended: () => false,
				reconcileHeartbeat() {},
				missingFromCloudList: () => false,
			};
			const failover = new Failover({ clusterState, workers, termStartedAt: 0, log: silentLog, ...hooks });
			for (const machine of clusterState.machines.values()) failover.markUnreconciled(machine, 1);

			for (let t = 0; t < 12_000; t += 100) {
				failover.tick(clock.now(), false);
				await clock.advance(100);
			}
			assert.equal(probedEndpoints.size, size);
			assert.equal(
				[...clusterState.machines.values()].filter((m) => m.lifecycle.deleting).length,
				0,
				"if all machines are unresponsive, the fault is more likely in the leader or its network",
			);
		});
});
