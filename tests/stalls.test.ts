import assert from "node:assert/strict";
import { test } from "node:test";
import { Machine, unknownMachineType } from "../src/bookkeeping/machine.js";
import { StoreReplica } from "../src/bookkeeping/store-replica.js";
import { Failover } from "../src/coordination/leadership/failover.js";
import { FailureDetector } from "../src/coordination/leadership/failure-detector.js";
import { CallError } from "../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../src/coordination/ports/store.js";
import { ReplicaSync } from "../src/coordination/replication/replica-sync.js";
import { PauseDetector } from "../src/coordination/runtime/pause-detector.js";
import { ClusterState } from "../src/coordination/state/cluster-state.js";
import { defaultOperator } from "../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../src/protocol/settings/platform.js";
import { FakeTime } from "./support/fake-time.js";
import { heartbeatOf } from "./support/machines.js";
import { silentLog } from "./support/silent-log.js";
import { World } from "./support/world.js";

function fleetOf(size: number): ClusterState {
	const clusterState = new ClusterState(1, [], new Map());
	for (let i = 0; i < size; i++) {
		const machine = new Machine(
			{ id: `n-${i}`, type: unknownMachineType("t"), zone: "a", spot: true, origin: "heartbeat" },
			0,
		);
		machine.agent.heartbeatReceived(heartbeatOf(machine), Number.NEGATIVE_INFINITY);
		clusterState.machines.set(machine.id, machine);
	}
	return clusterState;
}

test("a pause is measured by the steady clock, and one of the processor's share is none", async () => {
	const time = new FakeTime();
	const detector = new PauseDetector(time);
	await time.advance(1900);
	assert.equal(detector.observe(), null);
	await time.advance(6000);
	assert.equal(detector.observe(), 6000);
	await time.advance(100);
	assert.equal(detector.observe(), null, "said once");
});

test("workers are not judged by a time in which the leader had no authority or stood still", () => {
	const resigned: string[] = [];
	const clusterState = fleetOf(6);
	const monitor = new FailureDetector({
		term: 1,
		beganAt: 0,
		platform: {
			node: "a",
			others: [{ node: "b" }],
			cluster: { workers: { report_s: 1 }, resources: {} },
		} as unknown as PlatformSettings,
		settings: defaultOperator(),
		clusterState,
		peers: { send() {} },
		quotaTerms: () => undefined,
		served: () => true,
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
	monitor.answered("b", reply, 35_000);
	tick(35_000, 36_500);
	monitor.answered("b", reply, 36_600);
	tick(36_600, 38_000);
	assert.deepEqual(resigned, [], "they have had no time to come back");
	for (let now = 38_100; now < 50_000 && resigned.length === 0; now += 100) {
		monitor.answered("b", reply, now);
		monitor.tick(now, () => []);
	}
	assert.equal(resigned.length > 0, true, "a leader that nobody reaches still steps aside");
});

test("a pause in a takeover does not make machines silent", async () => {
	const clusterState = fleetOf(50);
	const hooks = { post() {}, active: () => true, ended: () => false, apply() {}, unlisted: () => false };
	const workers = { sendCommands: () => new Promise<never>(() => {}) };
	const takeover = new Failover(clusterState, workers, 0, hooks, silentLog);
	const [one] = clusterState.machines.values();
	takeover.hide(one as Machine, 1);
	takeover.tick(1000, false);
	takeover.stalled(2500);
	takeover.tick(3500, false);
	assert.equal(one?.lifecycle.deleting, false);
	takeover.tick(4600, false);
	assert.equal(one?.lifecycle.deleting, true);
});

test("users that come as a controller wakes up are answered by a fresh question to the store", async () => {
	const world = new World();
	await world.time.advance(3000);
	await world.submit("runner-0", { id: "j-000001", pieces: 1, cores: 1, runs: 60 });
	await world.time.advance(12_000);
	world.freeze("runner-1");
	await world.time.advance(9000);
	assert.equal((await world.abort("runner-0", "j-000001")).status, 200);
	world.thaw("runner-1");
	const answer = await world.poll("runner-1", "j-000001");
	assert.deepEqual(
		[answer.status, answer.body.status],
		[200, "cancelled"],
		"neither 503 nor what was so before",
	);
	assert.ok(world.logs.some((line) => line.includes("runner-1#2 process pause detected")));
	assert.deepEqual(world.broken, []);
});

test("calls that this side gave up in a pause do not make the store silent", async () => {
	const time = new FakeTime();
	const fail: ((error: Error) => void)[] = [];
	const store = {
		readPrefix: async () => ({ rows: [], revision: 1 }),
		watch: () => new Promise<never>((_, reject) => fail.push(reject)),
	} as unknown as KeyValueStore;
	const sync = new ReplicaSync(new StoreReplica(), store, time, (run) => run(), silentLog);
	sync.start();
	await time.advance(100);
	await time.advance(9000);
	sync.stalled();
	for (const reject of fail) reject(new CallError("unknown", 0, "no answer in time"));
	await time.advance(100);
	sync.assertResponsive();
	await time.advance(5000);
	assert.throws(
		() => sync.assertResponsive(),
		{ outcome: "not executed" },
		"a store that stays silent is noticed",
	);
});
