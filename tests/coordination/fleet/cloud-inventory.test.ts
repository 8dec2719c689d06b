import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CloudInventory } from "../../../src/coordination/fleet/cloud-inventory.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { ClusterState } from "../../../src/coordination/state/cluster-state.js";
import { reconcileHeartbeat } from "../../../src/coordination/workers/heartbeat-reconciliation.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleetMachineId, largeFleetSizes } from "../../support/large-fleets.js";
import { heartbeat, machineType, term, workerLeaseExpiryMs } from "../../support/reconciliation-setup.js";
import { silentLog } from "../../support/silent-log.js";
import { mediumType } from "../../support/specs.js";

const pageSize = 500;
/** The cloud rejects calls at shorter intervals. */
const callIntervalMs = 1000;

describe("reading the machine list of a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: the whole list is read at one call a second, then not read again for as long as that took`, async () => {
			const clock = new FakeTime();
			const clusterState = new ClusterState({ term: 1, teams: [], machineTypes: [mediumType] });
			let calls = 0;
			let lastCallAt = -Infinity;
			const listMachines = async (after: string) => {
				if (clock.now() - lastCallAt < callIntervalMs) throw new CallError("not executed", 429, "too many");
				lastCallAt = clock.now();
				calls += 1;
				const from = after === "" ? 0 : Number(after.slice(2)) + 1;
				const count = Math.min(pageSize, size - from);
				const machines = Array.from({ length: count }, (_, i) => ({
					id: largeFleetMachineId(from + i),
					endpoint: "10.1.0.1:9000",
					machineType: mediumType.name,
					zone: "a",
					spot: true,
					status: "running" as const,
					ageS: 100,
				}));
				return { machines, hasMore: from + count < size };
			};
			const hooks = { post: (run: () => void) => run(), isDeleted: () => false };
			const inventory = new CloudInventory(
				clusterState,
				{ listMachines } as never,
				clock,
				4000,
				hooks,
				silentLog,
			);

			let elapsedMs = 0;
			for (; !inventory.firstReadFinished && elapsedMs < 60_000; elapsedMs += 100) {
				inventory.tick(clock.now());
				await clock.advance(100);
			}
			assert.equal(clusterState.machines.size, size);
			assert.ok(elapsedMs <= (size / pageSize) * 1600, `${elapsedMs} ms`);

			const callsToRead = calls;
			await clock.advance(elapsedMs);
			inventory.tick(clock.now());
			assert.equal(calls, callsToRead, "most of the rate is left to scale-out and scale-in");
		});
});

describe("a machine that this leader knows only from the list", () => {
	/** Returns a state with a machine that was created long before the leader added it from the list. */
	async function stateWithListedMachine(addedAt: number, ageS: number) {
		const clock = new FakeTime();
		await clock.advance(addedAt);
		const clusterState = new ClusterState({
			term,
			teams: [],
			machineTypes: [machineType],
			workerLeaseExpiryMs,
		});
		const listed = { id: "n-1", endpoint: "n-1:9000", machineType: machineType.name, zone: "a", spot: true };
		const machines = [{ ...listed, status: "running" as const, ageS }];
		const cloud = { listMachines: async () => ({ machines, hasMore: false }) };
		const hooks = { post: (run: () => void) => run(), isDeleted: () => false };
		new CloudInventory(clusterState, cloud as never, clock, 4000, hooks, silentLog).tick(addedAt);
		await clock.advance(0);
		const machine = clusterState.machines.get("n-1");
		assert.ok(machine);
		return { clusterState, machine };
	}

	// An earlier leader may have renewed the lease until then: the worker was refused until its lease expired.
	test("has a lease that counts from the time at which it was added, not from its creation", async () => {
		const addedAt = 100_000;
		const { clusterState, machine } = await stateWithListedMachine(addedAt, 60);
		assert.equal(machine.agent.lastResponseAt, addedAt);
		assert.equal(machine.lifecycle.requestedAt, addedAt - 60_000);
		const earlierToken = { fencingToken: term - 1 };
		const kinds = [1, 2].map(
			(sequence) =>
				reconcileHeartbeat(clusterState, heartbeat(sequence, [], earlierToken), addedAt + sequence * 1000)
					.kind,
		);
		assert.deepEqual(kinds, ["reconciled", "reconciled"]);
	});
});
