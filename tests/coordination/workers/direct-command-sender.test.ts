import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { DirectCommandSender } from "../../../src/coordination/workers/direct-command-sender.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleet, largeFleetSizes } from "../../support/large-fleets.js";
import { silentLog } from "../../support/silent-log.js";
import { specOf } from "../../support/specs.js";

const maxInFlight = 100;

describe("direct commands in a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: ending a job that runs on all of them opens at most maxInFlight connections at a time`, async () => {
			const clock = new FakeTime();
			const clusterState = largeFleet(size);
			const job = clusterState.addJob("j-1", specOf("j-1", { taskCount: size, cpus: 8 }), 0, 1);
			job.resetWaitingTasks();
			for (const machine of clusterState.machines.values()) {
				const attempt = clusterState.assignNextTask(job, machine);
				assert.ok(attempt);
				attempt.updatePhase("running", 0);
			}
			let inFlight = 0;
			let maxObservedInFlight = 0;
			const calledEndpoints = new Set<string>();
			const sendCommands = async (endpoint: string) => {
				inFlight += 1;
				maxObservedInFlight = Math.max(maxObservedInFlight, inFlight);
				calledEndpoints.add(endpoint);
				await new Promise<void>((resolve) => clock.after(5, resolve));
				inFlight -= 1;
				return {} as never;
			};
			const sender = new DirectCommandSender({
				term: 7,
				maxInFlight,
				workers: { sendCommands },
				active: () => true,
				post: (action) => action(),
				log: silentLog,
			});
			sender.sendStops(clusterState.removeJob(job));
			await clock.advance((size / maxInFlight) * 10);
			assert.equal(calledEndpoints.size, size);
			assert.equal(maxObservedInFlight, maxInFlight);
		});
});
