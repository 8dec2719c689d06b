import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Machine } from "../../src/bookkeeping/machine.js";
import { StoreReplica } from "../../src/bookkeeping/store-replica.js";
import { CloudInventory } from "../../src/coordination/fleet/cloud-inventory.js";
import { machinesToCut, machinesToSpare } from "../../src/coordination/fleet/hill-climb.js";
import { Failover } from "../../src/coordination/leadership/failover.js";
import { FailureDetector } from "../../src/coordination/leadership/failure-detector.js";
import { MachineReservations } from "../../src/coordination/placement/machine-reservations.js";
import { PlacementCycle } from "../../src/coordination/placement/placement-cycle.js";
import { CallError } from "../../src/coordination/ports/call-error.js";
import { ChunkedRecords } from "../../src/coordination/replication/chunked-records.js";
import { ClusterState } from "../../src/coordination/state/cluster-state.js";
import { DirectCommandSender } from "../../src/coordination/workers/direct-command-sender.js";
import { encodePeerMessage } from "../../src/protocol/peer/codec.js";
import type { PeerMessage } from "../../src/protocol/peer/messages.js";
import { defaultOperator } from "../../src/protocol/settings/operator.js";
import type { PlatformSettings } from "../../src/protocol/settings/platform.js";
import { frame } from "../../src/transport/peer-link.js";
import { FakeTime } from "../support/fake-time.js";
import { makeSchedulable } from "../support/machines.js";
import { silentLog } from "../support/silent-log.js";
import { specOf, mediumType as type } from "../support/specs.js";

/** What the fleets that the operators run, and twice that, ask of each part, by counted work. */
const sizes = [4000, 8000];

/** A message between controllers that waits behind more than this costs the link. */
const linkBytes = 2 * 1024 * 1024;

function nameOf(i: number): string {
	return `n-${String(i).padStart(6, "0")}`;
}

function fleetOf(size: number): ClusterState {
	const teams = [{ name: "red", cpus: 10 * size, cpus_max: 10 * size, gpus: 0, gpus_max: 0 }];
	const clusterState = new ClusterState(7, teams, new Map([[type.name, type]]));
	for (let i = 0; i < size; i++) {
		const machine = new Machine(
			{ id: nameOf(i), type, zone: type.zones[i % 3] as string, spot: i % 2 === 0, origin: "heartbeat" },
			0,
		);
		makeSchedulable(machine);
		clusterState.machines.set(machine.id, machine);
	}
	return clusterState;
}

for (const size of sizes) {
	test(`${size} machines: their records fit into values, and a change writes one of them`, async () => {
		const mostBytes = 13_000;
		let writes: { put: string; bytes: number }[][] = [];
		const time = new FakeTime();
		const records = new ChunkedRecords<object>({
			prefix: "r/machs/",
			leaderCondition: { key: "r/one/leader", revision: 1 },
			maxChunkBytes: mostBytes,
			maxChangesPerWrite: 12,
			store: {
				compareAndSwap: async (_conditions: unknown, changes: { put?: string; value?: unknown }[]) => {
					writes.push(
						changes.map(({ put, value }) => ({
							put: put ?? "",
							bytes: JSON.stringify(value ?? null).length,
						})),
					);
					return { swapped: true, revision: writes.length + 1 };
				},
			} as never,
			post: (command) => command(),
			now: () => time.now(),
			onLeaderKeyLost: () => assert.fail("the key is ours"),
			onConfirmed() {},
			onWriteFailed: (error) => assert.fail(String(error)),
			onChunksRejected: () => assert.fail("a value is too large"),
			pace: { priority: "normal", minIntervalMs: 150, cleanupIntervalMs: 3000 },
		});
		const record = (i: number) => ({
			endpoint: `10.1.0.1:${i}`,
			type: "medium",
			zone: "a",
			spot: true,
			session: 1,
		});
		for (let i = 0; i < size; i++) records.set(nameOf(i), record(i));
		const run = async (seconds: number) => {
			for (let t = 0; t < seconds * 1000; t += 50) {
				records.flush();
				await time.advance(50);
			}
		};
		await run(20);
		const values = new Set(writes.flat().map(({ put }) => put));
		const bytes = size * JSON.stringify({ [nameOf(1)]: record(1) }).length;
		assert.ok(values.size <= Math.ceil((bytes / mostBytes) * 1.3), `${values.size} values`);
		for (const { bytes } of writes.flat()) assert.ok(bytes <= 16 * 1024, `a value of ${bytes} bytes`);
		writes = [];
		records.set(nameOf(size >> 1), { ...record(0), session: 2 });
		await run(2);
		assert.equal(writes.flat().length, 1);
	});

	test(`${size} machines: the cloud's list is read to its end at a call a second`, async () => {
		const time = new FakeTime();
		const clusterState = new ClusterState(1, [], new Map([[type.name, type]]));
		let calls = 0;
		let lastCallAt = -Infinity;
		const list = async (after: string) => {
			if (time.now() - lastCallAt < 1000) throw new CallError("not executed", 429, "too many");
			lastCallAt = time.now();
			calls += 1;
			const from = after === "" ? 0 : Number(after.slice(2)) + 1;
			const count = Math.min(500, size - from);
			const machines = Array.from({ length: count }, (_, i) => ({
				id: nameOf(from + i),
				endpoint: "10.1.0.1:9000",
				machineType: type.name,
				zone: "a",
				spot: true,
				status: "running" as const,
				ageS: 100,
			}));
			return { machines, more: from + count < size };
		};
		const hooks = { post: (run: () => void) => run(), isDeleted: () => false };
		const machineList = new CloudInventory(
			clusterState,
			{ listMachines: list } as never,
			time,
			4000,
			hooks,
			silentLog,
		);
		let t = 0;
		for (; !machineList.looked && t < 60_000; t += 100) {
			machineList.tick(time.now());
			await time.advance(100);
		}
		assert.equal(clusterState.machines.size, size);
		assert.ok(t <= (size / 500) * 1600, `${t} ms`);
		const before = calls;
		await time.advance(t);
		machineList.tick(time.now());
		assert.equal(calls, before, "most of the rate is left to rentals and returns");
	});

	test(`${size} machines: a placement cycle asks with messages that links take, and starts the work`, async () => {
		const time = new FakeTime();
		const clusterState = fleetOf(size);
		const settings = defaultOperator();
		const others = ["b", "c"].map((node) => ({ node, domain: "z", addr: "127.0.0.1:1" }));
		const platform = { node: "a", others, cluster: { workers: { report_s: 3 }, resources: {} } };
		let largest = 0;
		const peers = {
			send: (_node: string, message: PeerMessage) => {
				largest = Math.max(largest, frame(encodePeerMessage(message)).length);
			},
		};
		const peerMonitor = new FailureDetector({
			term: 7,
			beganAt: 0,
			platform: platform as unknown as PlatformSettings,
			settings,
			clusterState,
			peers,
			teamQuotaMessageFor: () => undefined,
			storeReachable: () => true,
			resign: () => assert.fail("resigned"),
			log: silentLog,
		});
		peerMonitor.messageReceived("b", 0);
		peerMonitor.messageReceived("c", 0);
		let started = 0;
		const cycle = new PlacementCycle({
			self: "a",
			clusterState,
			peerMonitor,
			peers,
			quota: null,
			time,
			random: xoroshiro128plus(1),
			log: silentLog,
			cycleMs: 200,
			silentMs: 1000,
			sample: settings.placing.sample,
			capS: 600,
			decided: () => {
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
			clusterState.placementDue = true;
			cycle.run(time.now());
			await time.advance(200);
		}
		assert.ok(started >= size, `${started} tasks started`);
		assert.ok(largest < linkBytes / 4, `a message of ${largest} bytes`);
	});

	test(`${size} machines: with as many jobs waiting, a look for machines to reserve searches for a few`, () => {
		const clusterState = fleetOf(size);
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
		const sample = (machines: Machine[], most: number) => {
			searches += 1;
			return machines.slice(0, most);
		};
		const reserved = new MachineReservations(clusterState, 600, sample, silentLog);
		reserved.update(100_000, 100_000);
		const kept = [...clusterState.machines.values()].filter((m) => m.capacity.reservedFor !== null);
		assert.ok(kept.some((m) => m.capacity.reservedFor === wide));
		assert.ok(kept.length <= size / 20);
		assert.ok(searches <= kept.length + 8, `${searches} searches`);
	});

	test(`${size} machines: one decision of the hill climb grows and shrinks by need`, () => {
		const cpus = size * type.cpus;
		assert.equal(machinesToCut(cpus * 12, size, cpus, type.cpus, 10, 50), 50, "one call's worth at a time");
		const leaving = Array.from({ length: size }, () => type.cpus);
		assert.equal(machinesToSpare(cpus, size, cpus, leaving, 10), size / 8);
	});

	test(`${size} machines: a new leader asks all of them within seconds`, async () => {
		const time = new FakeTime();
		const clusterState = fleetOf(size);
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
		const takeover = new Failover({ clusterState, workers, beganAt: 0, log: silentLog, ...hooks });
		for (const machine of clusterState.machines.values()) takeover.markUnreconciled(machine, 1);
		for (let t = 0; t < 12_000; t += 100) {
			takeover.tick(time.now(), false);
			await time.advance(100);
		}
		assert.equal(asked.size, size);
		assert.equal(
			[...clusterState.machines.values()].filter((m) => m.lifecycle.deleting).length,
			0,
			"all silent: our fault",
		);
	});

	test(`${size} machines: the end of a job that runs on all of them takes only so many sockets`, async () => {
		const time = new FakeTime();
		const clusterState = fleetOf(size);
		const job = clusterState.addJob("j-1", specOf("j-1", { taskCount: size, cpus: 8 }), 0, 1);
		job.resetWaitingTasks();
		for (const machine of clusterState.machines.values()) {
			const attempt = clusterState.assignNextTask(job, machine);
			assert.ok(attempt);
			attempt.phase = "running";
		}
		let inFlight = 0;
		let most = 0;
		const told = new Set<string>();
		const command = async (endpoint: string) => {
			inFlight += 1;
			most = Math.max(most, inFlight);
			told.add(endpoint);
			await new Promise<void>((resolve) => time.after(5, resolve));
			inFlight -= 1;
			return {} as never;
		};
		const orders = new DirectCommandSender(
			7,
			100,
			{ sendCommands: command },
			() => true,
			(run) => run(),
			silentLog,
		);
		orders.stop(clusterState.removeJob(job));
		await time.advance((size / 100) * 10);
		assert.equal(told.size, size);
		assert.equal(most, 100);
	});
}

test("ends of jobs are kept by the store's rate, and a promise of all of them is a message that links take", () => {
	const changesPerS = 400;
	const copy = new StoreReplica(() => assert.fail("malformed"), changesPerS);
	copy.reset([], 1);
	const ends = (changesPerS / 2) * 300;
	for (let i = 0; i < ends; i++) {
		const value = { status: "cancelled", tasks: 1, done: 0, demand: { team: "red", cpus: 1, gpus: 0 } };
		copy.apply([{ key: `r/fin/j-${String(i).padStart(6, "0")}`, value, revision: i + 2 }], i + 2);
	}
	assert.equal(copy.cancellationsSince(1)?.length, ends, "five minutes of nothing but cancellations");
	// A leader asks from what it knows, which is seconds old.
	const named = copy.cancellationsSince(ends + 1 - (changesPerS / 2) * 30) ?? [];
	const cancellations = named.map(({ jobId: id, record, revision }) => ({
		jobId: id,
		revision,
		taskCount: record.taskCount,
		doneCount: record.doneCount,
	}));
	assert.equal(cancellations.length, (changesPerS / 2) * 30);
	const vote = { kind: "lease-extension-vote", term: 1, requestNumber: 1, cancellations } as const;
	assert.ok(frame(encodePeerMessage(vote)).length < linkBytes / 4);
});
