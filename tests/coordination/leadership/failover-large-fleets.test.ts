import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { Failover } from "../../../src/coordination/leadership/failover.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleet, largeFleetSizes } from "../../support/large-fleets.js";
import { silentLog } from "../../support/silent-log.js";

describe("failover with a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: a new leader asks all of them within seconds, and blames itself if none answers`, async () => {
			const clock = new FakeTime();
			const clusterState = largeFleet(size);
			const asked = new Set<string>();
			const workers = {
				sendCommands: (endpoint: string) => {
					asked.add(endpoint);
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
			assert.equal(asked.size, size);
			assert.equal(
				[...clusterState.machines.values()].filter((m) => m.lifecycle.deleting).length,
				0,
				"when all are silent, it is the leader that is out of reach",
			);
		});
});
