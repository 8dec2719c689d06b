import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../../src/bookkeeping/store-replica.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../../../src/coordination/ports/store.js";
import { ReplicaSync } from "../../../src/coordination/replication/replica-sync.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { silentLog } from "../../support/silent-log.js";
import { StateService } from "../../support/state-service.js";

test("calls that this side gave up in a pause do not make the store silent", async () => {
	const time = new FakeTime();
	const fail: ((error: Error) => void)[] = [];
	const store = {
		readPrefix: async () => ({ rows: [], revision: 1 }),
		watch: () => new Promise<never>((_, reject) => fail.push(reject)),
	} as unknown as KeyValueStore;
	const sync = new ReplicaSync({
		replica: new StoreReplica(),
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
	});
	sync.start();
	await time.advance(100);
	await time.advance(9000);
	sync.onProcessPause();
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
	const store = new StoreClient({
		http: caller,
		clock: time,
		requestsPerS: 1000,
		writesPerS: 1000,
		controllers: 1,
	});
	const copy = new ReplicaSync({
		replica,
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
	});
	copy.start();
	await time.advance(8000);
	assert.ok(time.now() - copy.syncedAt <= 5100, "two waits of a watch at most");
	heldMs = 5000;
	await time.advance(10_000);
	assert.ok(time.now() - copy.lastResponseAt < 10_000, "answers do come");
	assert.ok(time.now() - copy.syncedAt >= 5000, `known up to ${copy.syncedAt} at ${time.now()}`);
	copy.stop();
});
