import assert from "node:assert/strict";
import { describe, test } from "node:test";
import type { Machine } from "../../../src/bookkeeping/machine.js";
import { MachineReservations } from "../../../src/coordination/placement/machine-reservations.js";
import { largeFleet, largeFleetSizes } from "../../support/large-fleets.js";
import { silentLog } from "../../support/silent-log.js";
import { specOf } from "../../support/specs.js";

describe("reservations in a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines with as many waiting jobs: an update reserves at most a twentieth of the fleet, with at most eight more searches than reservations`, () => {
			const clusterState = largeFleet(size);
			for (let i = 0; i < size; i++) {
				const id = `j-${i}`;
				clusterState.addJob(id, specOf(id, { cpus: 1 + (i % 20) / 10 }), 0, 1).resetWaitingTasks();
			}
			const full = clusterState.addJob("j-full", specOf("j-full", { taskCount: size * 8, cpus: 1 }), 0, 1);
			full.resetWaitingTasks();
			for (const machine of clusterState.machines.values())
				for (let i = 0; i < 8; i++) assert.ok(clusterState.assignNextTask(full, machine));
			const wide = clusterState.addJob("j-wide", specOf("j-wide", { cpus: 8 }), 0, 1);
			wide.resetWaitingTasks();
			let searches = 0;
			const sample = (machines: Machine[], maxCount: number) => {
				searches += 1;
				return machines.slice(0, maxCount);
			};
			const reservations = new MachineReservations(clusterState, 600, sample, silentLog);

			reservations.update(100_000, 100_000);
			const reserved = [...clusterState.machines.values()].filter((m) => m.capacity.reservedForJob !== null);
			assert.ok(reserved.some((m) => m.capacity.reservedForJob === wide));
			assert.ok(reserved.length <= size / 20);
			assert.ok(searches <= reserved.length + 8, `${searches} searches`);
		});
});
