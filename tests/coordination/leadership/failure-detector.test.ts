import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureDetector } from "../../../src/coordination/leadership/failure-detector.js";
import { defaultOperatorSettings } from "../../../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../../../src/protocol/settings/platform.js";
import { heartbeatOf } from "../../support/machines.js";
import { fleetOf } from "../../support/running-fleet.js";
import { silentLog } from "../../support/silent-log.js";

test("a leader that workers do not reach after a gap in its ticks resigns only after their time to reconnect", () => {
	const resignationReasons: string[] = [];
	const clusterState = fleetOf(6);
	const detector = new FailureDetector({
		term: 1,
		termStartedAt: 0,
		platform: {
			node: "a",
			others: [{ node: "b" }],
			cluster: { workers: { report_s: 1 }, resources: {} },
		} as unknown as PlatformSettings,
		settings: defaultOperatorSettings(),
		clusterState,
		peers: { send() {} },
		teamQuotaMessageFor: () => undefined,
		storeReachable: () => true,
		resign: (reason) => resignationReasons.push(reason),
		log: silentLog,
	});
	const tick = (from: number, to: number) => {
		for (let now = from; now <= to; now += 100) detector.tick(now, () => []);
	};
	const receiveHeartbeats = (at: number) => {
		for (const machine of clusterState.machines.values())
			machine.agent.heartbeatReceived(heartbeatOf(machine), at);
	};
	const reply = {
		kind: "leader-heartbeat-reply",
		term: 1,
		misdirectedWorkers: 6,
		supportsServiceJobs: true,
	} as const;
	receiveHeartbeats(20_000);
	tick(0, 20_000);
	// After a gap of 15 s in the leader's ticks, the workers send their heartbeats to another controller.
	detector.heartbeatReplyReceived("b", reply, 35_000);
	tick(35_000, 36_500);
	detector.heartbeatReplyReceived("b", reply, 36_600);
	tick(36_600, 38_000);
	assert.deepEqual(resignationReasons, [], "the workers have had no time to reconnect");
	for (let now = 38_100; now < 50_000 && resignationReasons.length === 0; now += 100) {
		detector.heartbeatReplyReceived("b", reply, now);
		detector.tick(now, () => []);
	}
	assert.equal(
		resignationReasons.length > 0,
		true,
		"a leader that no worker reaches resigns after that time",
	);
});
