import assert from "node:assert/strict";
import { test } from "node:test";
import { ForwardingPolicy } from "../../../src/coordination/leadership/forwarding-policy.js";
import type { PeerReply } from "../../../src/coordination/leadership/worker-reachability.js";
import { defaultOperatorSettings } from "../../../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../../../src/protocol/settings/platform.js";
import { fleetOf } from "../../support/running-fleet.js";
import { silentLog } from "../../support/silent-log.js";

const machines = 200;

/** A policy for so many machines that heartbeats are forwarded. */
function enabledPolicy(replies: ReadonlyMap<string, PeerReply>): ForwardingPolicy {
	const policy = new ForwardingPolicy({
		clusterState: fleetOf(machines),
		platform: {
			cluster: { workers: { report_s: 1 }, resources: { cores: 0.1 } },
		} as unknown as PlatformSettings,
		settings: defaultOperatorSettings(),
		replies,
		log: silentLog,
	});
	policy.update();
	return policy;
}

// The next process of such a version takes responses to the last one for its own (review/1).
test("a controller that names no process in its replies is neither asked to forward nor sent workers", () => {
	const reply = { receivedAt: 0, misdirectedWorkers: 0 };
	const replies = new Map([
		["current", { ...reply, namesProcess: true }],
		["0.8.0", { ...reply, namesProcess: false }],
	]);
	const policy = enabledPolicy(replies);
	assert.deepEqual(
		["current", "0.8.0", "has not replied"].map((node) => policy.requestedFrom(node)),
		[true, false, true],
	);
	const forwarders = Array.from({ length: machines }, (_, i) => policy.forwarderFor(`n-${i}`, 0));
	assert.deepEqual(new Set(forwarders), new Set(["current"]));
});
