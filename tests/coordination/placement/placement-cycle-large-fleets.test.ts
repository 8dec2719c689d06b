import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { FailureDetector } from "../../../src/coordination/leadership/failure-detector.js";
import { PlacementCycle } from "../../../src/coordination/placement/placement-cycle.js";
import { encodePeerMessage } from "../../../src/protocol/peer/codec.js";
import type { PeerMessage } from "../../../src/protocol/peer/messages.js";
import { defaultOperatorSettings } from "../../../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../../../src/protocol/settings/platform.js";
import { encodeFrame } from "../../../src/transport/peers/frame.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleet, largeFleetSizes, maxLinkBytes } from "../../support/large-fleets.js";
import { silentLog } from "../../support/silent-log.js";
import { specOf } from "../../support/specs.js";

describe("placement cycles of a large fleet", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: every message stays below a quarter of the links' size limit, and as many tasks as machines start`, async () => {
			const clock = new FakeTime();
			const clusterState = largeFleet(size);
			const settings = defaultOperatorSettings();
			const others = ["b", "c"].map((node) => ({ node, domain: "z", addr: "127.0.0.1:1" }));
			const platform = { node: "a", others, cluster: { workers: { report_s: 3 }, resources: {} } };
			let largestMessageBytes = 0;
			const peers = {
				send: (_node: string, message: PeerMessage) => {
					largestMessageBytes = Math.max(largestMessageBytes, encodeFrame(encodePeerMessage(message)).length);
				},
			};
			const failureDetector = new FailureDetector({
				term: 7,
				termStartedAt: 0,
				platform: platform as unknown as PlatformSettings,
				settings,
				clusterState,
				peers,
				teamQuotaMessageFor: () => undefined,
				storeReachable: () => true,
				resign: () => assert.fail("resigned"),
				log: silentLog,
			});
			failureDetector.messageReceived("b", 0);
			failureDetector.messageReceived("c", 0);
			let started = 0;
			const cycle = new PlacementCycle({
				node: "a",
				clusterState,
				failureDetector,
				peers,
				quota: null,
				clock,
				random: xoroshiro128plus(1),
				log: silentLog,
				cycleIntervalMs: 200,
				placerTimeoutMs: 1000,
				maxMachinesPerCycle: settings.placing.sample,
				maxRemainingS: 600,
				onAttemptAssigned: () => {
					started += 1;
				},
			});
			for (let i = 0; i < size; i++) {
				const id = `j-${i}`;
				clusterState
					.addJob(id, specOf(id, { taskCount: 4, image: `image-${i % 40}` }), 0, 1)
					.resetWaitingTasks();
			}

			for (let t = 0; t < 20_000 && started < size; t += 200) {
				clusterState.requestPlacement();
				cycle.run(clock.now());
				await clock.advance(200);
			}
			assert.ok(started >= size, `${started} tasks started`);
			assert.ok(largestMessageBytes < maxLinkBytes / 4, `a message of ${largestMessageBytes} bytes`);
		});
});
