import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../src/bookkeeping/store-replica.js";
import { Leadership } from "../src/coordination/leadership/leadership.js";
import { CallError } from "../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../src/coordination/ports/store.js";
import { ChunkedRecords } from "../src/coordination/replication/chunked-records.js";
import { ReplicaSync } from "../src/coordination/replication/replica-sync.js";
import { compareAndSwapBody } from "../src/protocol/http/store-api.js";
import type { Cancellation, PeerMessage } from "../src/protocol/peer/messages.js";
import { encodeJobRecord } from "../src/protocol/records/job-record.js";
import { keys } from "../src/protocol/records/keys.js";
import type { HttpResponse } from "../src/transport/http-client.js";
import { StoreClient } from "../src/transport/store-client.js";
import { FakeTime } from "./support/fake-time.js";
import { silentLog } from "./support/silent-log.js";
import { specOf } from "./support/specs.js";
import { StateService } from "./support/state-service.js";
import { nodeNames, World } from "./support/world.js";

const job = { id: "j-000001", pieces: 2, cores: 2, runs: 8 };
const final = (world: World) => world.state.rows.get("r/fin/j-000001")?.v as { status: string } | undefined;

/** Delays transactions that certain processes send from now on, past the point where they give up. */
function delayTransactions(world: World, from: (process: string) => boolean, delayMs: number): void {
	world.network.fault = (who, to, _method, path) =>
		to === "state" && path === "/multi" && from(who) ? { delayMs } : {};
}

test("a cancellation that reaches the store after the job was done changes nothing", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(10_000);
	const other = nodeNames.find((n) => n !== world.leaderNode()) as string;
	delayTransactions(world, (who) => who.startsWith(other), 12_000);
	const answer = await world.abort(other, job.id);
	assert.equal(answer.status, 503, "no certain answer");
	await world.time.advance(20_000);
	assert.equal(final(world)?.status, "done");
	world.network.fault = () => ({});
	for (const node of nodeNames) assert.equal((await world.poll(node, job.id)).body.status, "done");
	assert.deepEqual(world.broken, []);
});

test("the leader's record of a job done, applied late, does not undo a cancellation", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(9_000);
	const leader = world.leaderNode() as string;
	const other = nodeNames.find((n) => n !== leader) as string;
	delayTransactions(world, (who) => who.startsWith(leader), 6_000);
	for (let i = 0; i < 200 && (world.running("j-000001/0") || world.running("j-000001/1")); i++) {
		await world.time.advance(100);
	}
	// Both tasks have ended, and what the leader writes of it is on its way.
	await world.time.advance(1000);
	assert.equal(final(world), undefined);
	assert.equal((await world.abort(other, job.id)).body.status, "cancelled");
	await world.time.advance(20_000);
	assert.equal(final(world)?.status, "cancelled");
	world.network.fault = () => ({});
	for (const node of nodeNames) assert.equal((await world.poll(node, job.id)).body.status, "cancelled");
	assert.deepEqual(world.broken, []);
});

test("cancellation, question and repeated submission at the very end of the last task: one end, and every answer agrees", async () => {
	const ends = new Set<string>();
	for (let offsetMs = -100; offsetMs <= 1500; offsetMs += 100) {
		const world = new World();
		await world.time.advance(2000);
		await world.submit("runner-0", { ...job, pieces: 1 });
		for (let i = 0; i < 2000 && !world.running("j-000001/0"); i++) await world.time.advance(10);
		await world.time.advance(8000 + offsetMs);
		const requests = nodeNames.flatMap((node) =>
			(["poll", "abort", "repeat", "poll"] as const).map((kind) => ({ node, id: job.id, kind })),
		);
		const statuses = await world.together(requests);
		assert.ok(
			statuses.every((status) => status === 200),
			`offset ${offsetMs}: ${statuses}`,
		);
		for (const node of nodeNames) await world.poll(node, job.id);
		assert.deepEqual(world.broken, [], `offset ${offsetMs}`);
		ends.add(final(world)?.status ?? "none");
	}
	assert.deepEqual([...ends].sort(), ["cancelled", "done"], "the offsets lie on both sides of the end");
});

test("a standing job is taken once every controller has said that it serves them, and for good from then on", async () => {
	const world = new World();
	world.crash("runner-2");
	await world.time.advance(8000);
	const standing = { ...job, form: "standing", cores: 1 };
	const early = await world.submit("runner-0", standing);
	assert.equal(early.status, 503);
	assert.match(early.body.error as string, /not all controllers/);
	assert.equal((await world.submit("runner-0", { ...job, id: "j-000002" })).status, 201, "arrays are");
	world.start("runner-2");
	await world.time.advance(5000);
	assert.equal((await world.submit("runner-0", standing)).status, 201);
	world.crash("runner-2");
	await world.time.advance(5000);
	assert.equal((await world.submit("runner-1", { ...standing, id: "j-000003" })).status, 201);
	assert.equal((await world.submit("runner-1", { ...standing, id: "j-000004", pieces: 9 })).status, 422);
	assert.equal((await world.submit("runner-1", { ...standing, id: "j-000005", guess_s: 5 })).status, 400);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000006", guess_s: 0 })).status, 400);
	assert.equal(
		(await world.submit("runner-1", { ...standing, id: "j-000007", hall: "a", spread: true })).status,
		422,
	);
	assert.deepEqual(world.broken, []);
});

test("submissions of one job to all nodes make one job; a known id is answered before any check", async () => {
	const world = new World();
	await world.time.advance(2000);
	assert.equal((await world.submit("runner-0", job)).status, 201);
	for (const node of nodeNames)
		assert.equal((await world.submit(node, { ...job, desk: "nobody" })).status, 200);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000002", desk: "nobody" })).status, 422);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000003", cores: 9 })).status, 422);
	assert.equal((await world.submit("runner-1", { ...job, id: "j-000004", shapes: ["none"] })).status, 422);
	assert.equal((await world.poll("runner-2", "j-000002")).status, 404);
});

/** One Leadership against the stand-in store, with what it tells others kept. */
function candidate(
	others: string[],
	unknowingMs = 20_000,
	state = { time: new FakeTime() as FakeTime, service: null as StateService | null },
) {
	const time = state.time;
	const service = state.service ?? new StateService(time);
	const told: PeerMessage[] = [];
	const won: number[] = [];
	const lost: string[] = [];
	const learnt: string[] = [];
	/** What its local copy knows: all up to now, while the store answers its watch. */
	const copy = { knownAt: 0, stuck: false, epoch: 5, cancelled: null as Cancellation[] | null };
	const faults = { loseAnswers: false };
	const store: KeyValueStore = new StoreClient(
		{
			call: async (method, path, body) => {
				const answer = await service.handle(method, path, body, "me");
				if (faults.loseAnswers && path === "/multi") throw new CallError("unknown", 0, "no answer");
				return answer;
			},
			close() {},
		},
		time,
		1000,
		1000,
		1,
	);
	const leadership = new Leadership(
		"me",
		"inc",
		{ ttlMs: 3000, marginMs: 300, longestUnknowingMs: unknowingMs },
		store,
		time,
		(command) => command(),
		{
			won: (e) => won.push(e),
			lost: (_epoch, why) => lost.push(why),
			tell: (m) => told.push(m),
			knownAt: () => {
				if (!service.outage && !copy.stuck) copy.knownAt = time.now();
				return copy.knownAt;
			},
			knownRevision: () => copy.epoch,
			cancelledSince: () => copy.cancelled,
			learn: (cancelled) => learnt.push(...cancelled.map(({ jobId }) => jobId)),
		},
		others,
		silentLog,
		() => 0,
	);
	const key = () => {
		const row = service.rows.get("r/one/leader");
		return row ? { value: row.v as { node: string; incarnation: string }, revision: row.stamp } : null;
	};
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 100) {
			leadership.tick(key(), true);
			await time.advance(100);
		}
	};
	return { time, service, told, won, lost, learnt, copy, faults, leadership, run };
}

test("a candidate that promised does not campaign until its promise has run out", async () => {
	const c = candidate(["a"]);
	c.leadership.releaseStartHold();
	c.service.setOutage(true);
	c.leadership.message("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await c.time.advance(100);
	assert.deepEqual(c.told.at(-1), { kind: "lease-extension-vote", term: 9, requestNumber: 1 });
	c.service.setOutage(false);
	await c.run(2700);
	assert.deepEqual(c.won, []);
	await c.run(1000);
	assert.equal(c.won.length, 1);
});

test("no promise is given by a node that the store serves", async () => {
	const c = candidate(["a"]);
	c.leadership.releaseStartHold();
	c.leadership.message("a", { kind: "lease-extension-request", term: 9, requestNumber: 1 });
	await c.time.advance(500);
	assert.deepEqual(c.told, []);
});

test("a process that starts holds back as long as it may have promised, or until all say that they do not lead", async () => {
	const waits = candidate(["a", "b"]);
	await waits.run(2900);
	assert.deepEqual(waits.won, []);
	await waits.run(500);
	assert.equal(waits.won.length, 1);

	const told = candidate(["a", "b"]);
	told.leadership.message("a", { kind: "leader-query-reply", term: 0, isLeader: false, incarnation: "inc" });
	await told.run(300);
	assert.deepEqual(told.won, [], "one of two has answered");
	// A late copy of what an earlier process of this node was told: it may have promised since.
	told.leadership.message("b", {
		kind: "leader-query-reply",
		term: 0,
		isLeader: false,
		incarnation: "before",
	});
	await told.run(300);
	assert.deepEqual(told.won, []);
	told.leadership.message("b", { kind: "leader-query-reply", term: 0, isLeader: false, incarnation: "inc" });
	await told.run(300);
	assert.equal(told.won.length, 1);
});

test("authority outlasts the lease only while every other controller has promised", async () => {
	const c = candidate(["a", "b"]);
	c.leadership.releaseStartHold();
	await c.run(500);
	const epoch = c.won[0] as number;
	assert.equal(c.leadership.authority(), epoch);
	c.service.setOutage(true);
	const answerAsks = async (ms: number, from: string[]) => {
		for (let t = 0; t < ms; t += 100) {
			await c.run(100);
			for (const ask of c.told.splice(0)) {
				if (ask.kind !== "lease-extension-request") continue;
				for (const node of from)
					c.leadership.message(node, {
						kind: "lease-extension-vote",
						term: epoch,
						requestNumber: ask.requestNumber,
					});
			}
		}
	};
	await answerAsks(8000, ["a", "b"]);
	assert.equal(c.leadership.authority(), epoch, "8 s into an outage, with all promises");
	await answerAsks(4000, ["a"]);
	assert.equal(c.leadership.authority(), null, "b has promised no more");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authority(), epoch, "its lease had its full time again after the outage");
});

test("a leader that stood still within its lease acts only on an answer asked for since", async () => {
	const c = candidate(["a", "b"]);
	c.leadership.releaseStartHold();
	await c.run(500);
	const epoch = c.won[0] as number;
	await c.time.advance(2100);
	assert.equal(c.leadership.authority(), epoch, "by its clock nobody else can lead yet");
	c.leadership.stalled();
	assert.equal(c.leadership.authority(), null);
	await c.run(200);
	assert.equal(c.leadership.authority(), epoch, "the renewal was answered");

	// Refused by the store, it needs a promise of every other controller that was asked for since.
	c.service.setOutage(true);
	const promise = (from: string, number: number) =>
		c.leadership.message(from, {
			kind: "lease-extension-vote",
			term: epoch,
			requestNumber: number,
			cancellations: [],
		});
	const asked = () =>
		Math.max(0, ...c.told.map((m) => (m.kind === "lease-extension-request" ? m.requestNumber : 0)));
	await c.run(1200);
	const before = asked();
	for (const node of ["a", "b"]) promise(node, before);
	c.leadership.stalled();
	assert.equal(c.leadership.authority(), null, "promises of before the pause");
	await c.run(200);
	assert.ok(asked() > before);
	promise("a", asked());
	assert.equal(c.leadership.authority(), null, "one of two");
	promise("b", asked());
	assert.equal(c.leadership.authority(), epoch);
});

test("authority without the store ends in bounded time even with all promises", async () => {
	const c = candidate([]);
	c.leadership.releaseStartHold();
	await c.run(500);
	c.service.setOutage(true);
	await c.run(19_000);
	assert.notEqual(c.leadership.authority(), null);
	await c.run(2_500);
	assert.equal(c.leadership.authority(), null);
});

/** Wins the key, then answers every question as the others would, for so long. */
async function inOutage(c: ReturnType<typeof candidate>) {
	c.leadership.releaseStartHold();
	await c.run(500);
	const epoch = c.won[0] as number;
	assert.equal(c.leadership.authority(), epoch);
	c.service.setOutage(true);
	const answer = async (ms: number, answers: Record<string, Cancellation[] | undefined>) => {
		for (let t = 0; t < ms; t += 100) {
			await c.run(100);
			for (const ask of c.told.splice(0)) {
				if (ask.kind !== "lease-extension-request") continue;
				for (const [node, cancelled] of Object.entries(answers)) {
					const { requestNumber: number } = ask;
					c.leadership.message(node, {
						kind: "lease-extension-vote",
						term: epoch,
						requestNumber: number,
						...(cancelled && { cancellations: cancelled }),
					});
				}
			}
		}
	};
	return { epoch, answer };
}

test("promises do not bring authority back once it has lapsed; a renewal does", async () => {
	const c = candidate(["a", "b"]);
	const { epoch, answer } = await inOutage(c);
	await answer(4000, {});
	assert.equal(c.leadership.authority(), null, "nobody promised");
	await answer(2000, { a: [], b: [] });
	assert.equal(c.leadership.authority(), null, "one of them may have led and ended since");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authority(), epoch);
});

test("promises that name every cancellation carry authority through an outage of any length", async () => {
	const c = candidate(["a", "b"]);
	const { epoch, answer } = await inOutage(c);
	await answer(30_000, { a: [], b: [{ jobId: "j-000007", revision: 9, taskCount: 1, doneCount: 0 }] });
	assert.equal(c.leadership.authority(), epoch, "30 s, though unknowing for at most 20 s");
	assert.ok(c.learnt.includes("j-000007"));
	// From here on b cannot say what it told its users: the time since counts as unknowing.
	await answer(19_000, { a: [], b: undefined });
	assert.equal(c.leadership.authority(), epoch);
	await answer(2000, { a: [], b: undefined });
	assert.equal(c.leadership.authority(), null);
});

test("a leader whose watch is stuck while its renewals succeed gives up in time", async () => {
	const c = candidate(["a"]);
	c.leadership.releaseStartHold();
	await c.run(500);
	await c.run(5000);
	c.copy.stuck = true;
	await c.run(19_500);
	assert.notEqual(c.leadership.authority(), null);
	await c.run(1000);
	assert.equal(c.leadership.authority(), null);
	assert.match(c.lost[0] as string, /changes of the store/);
});

test("where cancel_s hardly exceeds a lease a leader that is served still leads, and none without the store", async () => {
	const c = candidate(["a"], 0);
	const { epoch, answer } = await inOutage(c);
	await answer(3500, { a: [] });
	assert.equal(c.leadership.authority(), null, "promised or not");
	c.service.setOutage(false);
	await c.run(1000);
	assert.equal(c.leadership.authority(), epoch);
	c.copy.stuck = true;
	await c.run(8500);
	assert.equal(c.leadership.authority(), null);
});

test("a copy's knowledge is as old as the request that brought it, however late the answer comes", async () => {
	const time = new FakeTime();
	const service = new StateService(time);
	let heldMs = 0;
	const caller = {
		call: async (method: string, path: string, body: unknown) => {
			const answer = await service.handle(method, path, body, "me");
			if (heldMs > 0) await new Promise<void>((resolve) => time.after(heldMs, resolve));
			return answer;
		},
		close() {},
	};
	const replica = new StoreReplica();
	const store = new StoreClient(caller, time, 1000, 1000, 1);
	const copy = new ReplicaSync(replica, store, time, (command) => command(), silentLog);
	copy.start();
	await time.advance(8000);
	assert.ok(time.now() - copy.syncedAt <= 5100, "two waits of a watch at most");
	heldMs = 5000;
	await time.advance(10_000);
	assert.ok(time.now() - copy.heardAt < 10_000, "answers do come");
	assert.ok(time.now() - copy.syncedAt >= 5000, `known up to ${copy.syncedAt} at ${time.now()}`);
	copy.stop();
});

test("a node names every cancellation since an epoch that it can have told of, or says that it cannot", () => {
	const replica = new StoreReplica();
	const cancelled = (id: string, revision: number) =>
		replica.applyOwnWrite(keys.final(id), { status: "cancelled", tasks: 2, done: 0 }, revision);
	assert.equal(replica.cancelledSince(0), null, "nothing is loaded");
	const record = encodeJobRecord({ spec: specOf("j-000001"), acceptedAt: 0 });
	replica.reset([{ key: keys.job("j-000001"), value: record, revision: 8 }], 10);
	assert.equal(
		replica.cancelledSince(9),
		null,
		"an earlier process may have told of what came before the load",
	);
	cancelled("j-000001", 12);
	assert.ok(
		!replica.jobs.has("j-000001"),
		"a job whose end is known is not live, whatever the watch has brought",
	);
	cancelled("j-000002", 14);
	const since = (epoch: number) => replica.cancelledSince(epoch)?.map((job) => job.id);
	assert.deepEqual(since(10), ["j-000001", "j-000002"]);
	assert.deepEqual(since(12), ["j-000002"]);
	replica.reset([], 15);
	assert.deepEqual(since(10), ["j-000001", "j-000002"], "a copy made anew forgets nothing that was told");
	for (let i = 0; i < 2000; i++) cancelled(`j-${i + 100}`, 20 + i);
	assert.equal(since(10), undefined, "too many to keep");
	assert.equal(since(19)?.length, 2000);
});

test("a campaign without an answer is decided by reading the key back", async () => {
	const mine = candidate([]);
	mine.leadership.releaseStartHold();
	mine.faults.loseAnswers = true;
	await mine.run(300);
	assert.equal(mine.won[0], mine.service.rows.get("r/one/leader")?.stamp, "the put had been applied");

	const theirs = candidate([]);
	theirs.leadership.releaseStartHold();
	theirs.faults.loseAnswers = true;
	const changes = [{ put: "r/one/leader", v: { node: "a" } }];
	// biome-ignore lint/suspicious/noThenProperty: the state service's own word for the changes
	await theirs.service.handle("POST", "/multi", { when: [], then: changes }, "a");
	theirs.leadership.tick(null, true);
	await theirs.time.advance(500);
	assert.deepEqual(theirs.won, [], "the key is another node's");
	assert.deepEqual(theirs.service.rows.get("r/one/leader")?.v, { node: "a" });
});

/** Shared records against the stand-in store; `call` may interfere with what reaches it. */
async function sharedRecords(
	interfere: (path: string, handle: () => Promise<HttpResponse>, time: FakeTime) => Promise<HttpResponse> = (
		_path,
		handle,
	) => handle(),
	mostBytes = 1000,
) {
	const time = new FakeTime();
	const service = new StateService(time);
	await service.handle("POST", "/multi", compareAndSwapBody([], [{ put: "r/one/leader", value: {} }]), "me");
	const caller = {
		call: (method: string, path: string, body: unknown) =>
			interfere(path, () => service.handle(method, path, body, "me"), time),
		close() {},
	};
	const confirmed: string[] = [];
	const tooLarge: string[] = [];
	const records = new ChunkedRecords<string>({
		prefix: "r/x/",
		leaderCondition: { key: "r/one/leader", revision: 1 },
		mostBytes,
		mostChanges: 4,
		store: new StoreClient(caller, time, 1000, 1000, 1),
		post: (command) => command(),
		now: () => time.now(),
		lostKey: () => assert.fail("the key is ours"),
		confirmed: (entries) => confirmed.push(...entries.keys()),
		failed() {},
		tooLarge: (keys) => tooLarge.push(...keys),
		pace: { rateClass: "normal", everyMs: 100, shrinkMs: 500 },
	});
	const run = async (ms: number) => {
		for (let t = 0; t < ms; t += 50) {
			records.flush();
			await time.advance(50);
		}
	};
	const stored = () => [...service.rows].filter(([key]) => key.startsWith("r/x/")).map(([, row]) => row.v);
	return { records, confirmed, tooLarge, run, stored, service, time };
}

test("a write of shared records that is applied late brings nothing back", async () => {
	let late = true;
	const { records, confirmed, run, stored } = await sharedRecords((path, handle, time) => {
		if (!late || path !== "/multi") return handle();
		late = false;
		time.after(5000, () => void handle());
		return new Promise((_, reject) =>
			time.after(1500, () => reject(new CallError("unknown", 0, "no answer in time"))),
		);
	});
	records.set("a", "1");
	await run(200);
	records.set("b", "2");
	await run(2500);
	assert.deepEqual(confirmed.sort(), ["a", "b"]);
	assert.deepEqual(stored(), [{ entries: { a: "1", b: "2" } }]);
	await run(5000);
	assert.deepEqual(stored(), [{ entries: { a: "1", b: "2" } }], "the first write came late");
	records.delete("a");
	records.delete("b");
	await run(2000);
	assert.deepEqual(stored(), []);
});

test("a write of shared records whose answer was lost is found out by reading it back", async () => {
	let lose = true;
	const { records, confirmed, run } = await sharedRecords(async (path, handle) => {
		const answer = await handle();
		if (!lose || path !== "/multi") return answer;
		lose = false;
		throw new CallError("unknown", 0, "no answer");
	});
	records.set("a", "1");
	await run(3000);
	assert.deepEqual(confirmed, ["a"]);
});

/** A value as a version without smaller limits wrote it, and what it holds. */
async function withLargeValue(service: StateService, n = 60) {
	const entries = Object.fromEntries(Array.from({ length: n }, (_, i) => [`n-${i}`, "x".repeat(60)]));
	await service.handle(
		"POST",
		"/multi",
		compareAndSwapBody([], [{ put: "r/x/0-1", value: { entries } }]),
		"me",
	);
	return { names: Object.keys(entries), row: service.rows.get("r/x/0-1") as { v: unknown; stamp: number } };
}

/** What a takeover would read at this moment, the later of two values telling. */
function readAll(service: StateService): Map<string, string> {
	const rows = [...service.rows]
		.filter(([key]) => key.startsWith("r/x/"))
		.sort((a, b) => a[1].stamp - b[1].stamp);
	return new Map(
		rows.flatMap(([, row]) => Object.entries((row.v as { entries: Record<string, string> }).entries)),
	);
}

test("a value larger than values may be now is split when it is next written; no reader finds less at any moment", async () => {
	const { records, run, service, time, tooLarge } = await sharedRecords(undefined, 800);
	const { names, row } = await withLargeValue(service);
	service.limits = { valueBytes: 1000, changes: 4 };
	records.load([["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }]]);
	await run(2000);
	assert.equal(service.rows.get("r/x/0-1"), row, "left as it is until something in it changes");
	records.set("n-7", "new");
	records.delete("n-9");
	let seen = 0;
	for (let i = 0; i < 400; i++) {
		records.flush();
		await time.advance(10);
		const all = readAll(service);
		for (const name of names) assert.ok(all.has(name) || name === "n-9", `${name} at ${time.now()}`);
		if (all.get("n-7") === "new") seen += 1;
		else assert.equal(seen, 0, "what was written once is not read older again");
	}
	assert.ok(seen > 0);
	assert.ok(!service.rows.has("r/x/0-1"));
	assert.ok(!readAll(service).has("n-9"));
	assert.deepEqual(tooLarge, []);
});

test("a leader that ends while a value is split leaves nothing that the next one reads wrongly", async () => {
	const first = await sharedRecords(undefined, 800);
	const { names, row } = await withLargeValue(first.service);
	first.service.limits = { valueBytes: 1000, changes: 4 };
	first.records.load([
		["r/x/0-1", { value: row.v as { entries: Record<string, string> }, revision: row.stamp }],
	]);
	for (const name of names) first.records.set(name, `new ${name}`);
	await first.run(50);
	const left = [...first.service.rows].filter(([key]) => key.startsWith("r/x/"));
	assert.ok(left.length > 1 && first.service.rows.has("r/x/0-1"), "it ended in between");
	const second = await sharedRecords((path, _handle, _time) => Promise.reject(new Error(path)), 800);
	second.records.load(
		left.map(([key, r]) => [key, { value: r.v as { entries: Record<string, string> }, revision: r.stamp }]),
	);
	for (const name of names) assert.ok(second.records.has(name));
	const replica = new StoreReplica();
	const pages = { entries: { "j-1/0": "old" } };
	replica.reset(
		[
			{ key: `${keys.progress}9`, value: pages, revision: 3 },
			{ key: `${keys.progress}1`, value: { entries: { "j-1/0": "newer" } }, revision: 7 },
		],
		9,
	);
	assert.deepEqual([...replica.pagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}9`, value: undefined, revision: 11 }], 11);
	assert.deepEqual([...replica.pagesOf("j-1")], [[0, "newer"]]);
	replica.apply([{ key: `${keys.progress}2`, value: { entries: { "j-1/0": "newer" } }, revision: 12 }], 12);
	replica.apply([{ key: `${keys.progress}1`, value: undefined, revision: 13 }], 13);
	assert.deepEqual([...replica.pagesOf("j-1")], [[0, "newer"]], "a copy of it is still there");
});

test("values that the store refuses for their size are made smaller; one that can't be is named and holds up nothing", async () => {
	const { records, confirmed, run, service, tooLarge } = await sharedRecords(undefined, 1000);
	service.limits = { valueBytes: 400, changes: 1 };
	for (let i = 0; i < 30; i++) records.set(`n-${i}`, "x".repeat(60));
	records.set("huge", "x".repeat(2000));
	await run(60_000);
	assert.equal(new Set(confirmed).size, 30);
	assert.ok(!confirmed.includes("huge"));
	const tried = tooLarge.length;
	assert.ok(tried > 0 && tried < 20, `refused ${tried} times`);
	await run(10_000);
	assert.equal(tooLarge.length, tried, "and not tried again");
	records.set("n-3", "later");
	await run(2000);
	assert.ok(confirmed.filter((name) => name === "n-3").length > 1);
});

test("a node that hears nothing of the store answers 503 at once and is not ready while others are served", async () => {
	const world = new World();
	await world.time.advance(2000);
	const other = nodeNames.find((n) => n !== world.leaderNode()) as string;
	assert.equal(world.ready(other), true);
	world.network.fault = (from, to) => (to === "state" && from.startsWith(other) ? { cut: true } : {});
	await world.time.advance(12_000);
	assert.equal(world.ready(other), false);
	for (let i = 0; i < 10; i++) {
		const before = world.time.now();
		assert.equal((await world.submit(other, { ...job, id: `j-00010${i}` })).status, 503);
		assert.ok(world.time.now() - before <= 50, "kept waiting");
	}
	world.network.fault = () => ({});
	await world.time.advance(8000);
	assert.equal(world.ready(other), true);
	// When nobody is served, leaving would only make coming back late.
	world.state.setOutage(true);
	await world.time.advance(12_000);
	for (const node of nodeNames) assert.equal(world.ready(node), true);
});

test("a job whose watch event was lost is found by comparing with the store", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { ...job, id: "j-000002" });
	const record = world.state.rows.get("r/job/j-000002");
	assert.ok(record);
	const body = { ...job, id: "j-000003" };
	world.expectJob(body);
	const spec = { ...(record.v as { spec: object }).spec, id: "j-000003" };
	world.state.epoch += 1;
	world.state.rows.set("r/job/j-000003", { v: { spec, at: 0 }, stamp: world.state.epoch });
	await world.time.advance(100_000);
	assert.equal((await world.poll("runner-1", "j-000003")).body.status, "done");
	assert.deepEqual(world.broken, []);
});

test("a job that the leader was not told of is found in its own copy within seconds", async () => {
	const world = new World();
	await world.time.advance(2000);
	await world.submit("runner-0", { ...job, id: "j-000002" });
	await world.time.advance(500);
	const leader = world.controllerOf(world.leaderNode() as string);
	const known = leader.replica.jobs.get("j-000002");
	assert.ok(known);
	world.expectJob({ ...job, id: "j-000003" });
	const value = { ...known.value, spec: { ...known.value.spec, id: "j-000003" } };
	world.state.epoch += 1;
	world.state.rows.set("r/job/j-000003", { v: encodeJobRecord(value), stamp: world.state.epoch });
	// In the copy, but no listener was called.
	leader.replica.jobs.set("j-000003", { value, revision: world.state.epoch });
	await world.time.advance(30_000);
	assert.equal((world.state.rows.get("r/fin/j-000003")?.v as { status: string } | undefined)?.status, "done");
});

test("late copies do not bring back a machine that was returned", async () => {
	const world = new World();
	world.copiesAfterS = [30];
	await world.time.advance(2000);
	await world.submit("runner-0", job);
	await world.time.advance(120_000);
	assert.equal(world.cloud.hosts.size, 0);
	const ups = world.logs.filter((line) => line.includes(" machine running "));
	assert.deepEqual(ups, [], "it was rented, so it never comes unexpected");
});
