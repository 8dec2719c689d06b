import assert from "node:assert/strict";
import { test } from "node:test";
import { FailureDetector } from "../../../src/coordination/leadership/failure-detector.js";
import { defaultOperator } from "../../../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../../../src/protocol/settings/platform.js";
import { heartbeatOf } from "../../support/machines.js";
import { fleetOf } from "../../support/running-fleet.js";
import { silentLog } from "../../support/silent-log.js";

test("workers are not judged by a time in which the leader had no authority or stood still", () => {
	const resigned: string[] = [];
	const clusterState = fleetOf(6);
	const monitor = new FailureDetector({
		term: 1,
		termStartedAt: 0,
		platform: {
			node: "a",
			others: [{ node: "b" }],
			cluster: { workers: { report_s: 1 }, resources: {} },
		} as unknown as PlatformSettings,
		settings: defaultOperator(),
		clusterState,
		peers: { send() {} },
		teamQuotaMessageFor: () => undefined,
		storeReachable: () => true,
		resign: (why) => resigned.push(why),
		log: silentLog,
	});
	const tick = (from: number, to: number) => {
		for (let now = from; now <= to; now += 100) monitor.tick(now, () => []);
	};
	const reports = (at: number) => {
		for (const machine of clusterState.machines.values())
			machine.agent.heartbeatReceived(heartbeatOf(machine), at);
	};
	const reply = {
		kind: "leader-heartbeat-reply",
		term: 1,
		misdirectedWorkers: 6,
		supportsServiceJobs: true,
	} as const;
	reports(20_000);
	tick(0, 20_000);
	// Fifteen seconds later the workers are at another controller.
	monitor.heartbeatReplyReceived("b", reply, 35_000);
	tick(35_000, 36_500);
	monitor.heartbeatReplyReceived("b", reply, 36_600);
	tick(36_600, 38_000);
	assert.deepEqual(resigned, [], "they have had no time to come back");
	for (let now = 38_100; now < 50_000 && resigned.length === 0; now += 100) {
		monitor.heartbeatReplyReceived("b", reply, now);
		monitor.tick(now, () => []);
	}
	assert.equal(resigned.length > 0, true, "a leader that nobody reaches still steps aside");
});
