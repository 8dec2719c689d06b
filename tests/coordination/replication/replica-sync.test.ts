import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreReplica } from "../../../src/bookkeeping/store-replica.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import type { KeyValueStore } from "../../../src/coordination/ports/store.js";
import { ReplicaSync } from "../../../src/coordination/replication/replica-sync.js";
import { keys } from "../../../src/protocol/records/keys.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { silentLog } from "../../support/silent-log.js";
import { StateService } from "../../support/state-service.js";

test("calls that time out in a process pause do not make the store count as unresponsive", async () => {
	const time = new FakeTime();
	const pendingRejections: ((error: Error) => void)[] = [];
	const store = {
		readPages: async function* () {
			yield { rows: [], revision: 1 };
		},
		watch: () => new Promise<never>((_, reject) => pendingRejections.push(reject)),
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
	for (const reject of pendingRejections) reject(new CallError("unknown", 0, "no answer in time"));
	await time.advance(100);
	sync.assertResponsive();
	await time.advance(5000);
	assert.throws(
		() => sync.assertResponsive(),
		{ outcome: "not executed" },
		"a store that does not respond after the pause counts as unresponsive",
	);
});

test("syncedAt is the sending time of the request that returned the changes, however late it returns", async () => {
	const time = new FakeTime();
	const service = new StateService(time);
	let responseDelayMs = 0;
	const http = {
		call: async (method: string, path: string, body: unknown) => {
			const response = await service.handle(method, path, body, "me");
			if (responseDelayMs > 0) await new Promise<void>((resolve) => time.after(responseDelayMs, resolve));
			return response;
		},
		close() {},
	};
	const replica = new StoreReplica();
	const store = new StoreClient({
		http,
		clock: time,
		requestsPerS: 1000,
		writesPerS: 1000,
		controllers: 1,
	});
	const sync = new ReplicaSync({
		replica,
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
	});
	sync.start();
	await time.advance(8000);
	assert.ok(time.now() - sync.syncedAt <= 5100, "at most two watch time-outs");
	responseDelayMs = 5000;
	await time.advance(10_000);
	assert.ok(time.now() - sync.lastResponseAt < 10_000, "responses do arrive");
	assert.ok(time.now() - sync.syncedAt >= 5000, `synced up to ${sync.syncedAt} at ${time.now()}`);
	sync.stop();
});

// Guards against a load that leaves out team quota's records: limits set by command were then unknown, or outdated.
test("a load includes the records of team quota, and reports those that were removed", async () => {
	const time = new FakeTime();
	const service = new StateService(time);
	const http = {
		call: (method: string, path: string, body: unknown) => service.handle(method, path, body, "me"),
		close() {},
	};
	const store = new StoreClient({ http, clock: time, requestsPerS: 1000, writesPerS: 1000, controllers: 1 });
	const key = `${keys.quota}0`;
	await store.compareAndSwap([], [{ put: key, value: { teams: {} } }], "normal");
	const replica = new StoreReplica();
	const reported: [string, unknown][] = [];
	replica.onChange((changed) => {
		if (changed === key) reported.push([changed, replica.quotaRecords.get(changed)?.value]);
	});
	const sync = new ReplicaSync({ replica, store, clock: time, log: silentLog, post: (action) => action() });
	sync.start();
	await time.advance(1000);
	assert.deepEqual(reported, [[key, { teams: {} }]]);
	sync.stop();
	await store.compareAndSwap([], [{ delete: key }], "normal");
	const reloaded = new ReplicaSync({
		replica,
		store,
		clock: time,
		log: silentLog,
		post: (action) => action(),
	});
	replica.invalidate();
	reloaded.start();
	await time.advance(1000);
	assert.deepEqual(reported.at(-1), [key, undefined]);
	reloaded.stop();
});
