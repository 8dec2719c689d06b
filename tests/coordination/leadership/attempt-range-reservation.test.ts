import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { AttemptRangeReservation } from "../../../src/coordination/leadership/attempt-range-reservation.js";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import type { CompareAndSwapResult } from "../../../src/coordination/ports/store.js";
import type { Term } from "../../../src/protocol/model/identifiers.js";
import { StoreClient } from "../../../src/transport/clients/store-client.js";
import { FakeTime } from "../../support/fake-time.js";
import { silentLog } from "../../support/silent-log.js";
import { StateService } from "../../support/state-service.js";

const largeTerm = 2n ** 60n;

/** Leaders of one state service, each of which reserves a range while it has the leader key. */
class Cluster {
	readonly time = new FakeTime();
	readonly service = new StateService(this.time);
	private readonly store = new StoreClient({
		http: { call: (method, path, body) => this.service.handle(method, path, body, "me"), close() {} },
		clock: this.time,
		requestsPerS: 1000,
		writesPerS: 1000,
		controllers: 1,
	});
	/** True if transactions are carried out and their responses are lost. */
	responsesLost = false;

	/** Elects a leader and returns the ranges that it has reserved after some seconds. */
	async lead(term?: Term): Promise<number[]> {
		this.service.write("r/one/leader", { node: "me" });
		const row = this.service.rows.get("r/one/leader");
		assert.ok(row);
		const reserved: number[] = [];
		const reservation = new AttemptRangeReservation({
			term: term ?? row.stamp,
			leaderCondition: { key: "r/one/leader", revision: row.stamp },
			store: {
				...this.store,
				read: (key) => this.store.read(key),
				compareAndSwap: (...call) => this.swap(...call),
			} as StoreClient,
			clock: this.time,
			log: silentLog,
			post: (action) => action(),
			onReserved: (index) => reserved.push(index),
		});
		for (let i = 0; i < 30; i++) {
			reservation.tick();
			await this.time.advance(100);
		}
		return reserved;
	}

	private async swap(...call: Parameters<StoreClient["compareAndSwap"]>): Promise<CompareAndSwapResult> {
		const result = await this.store.compareAndSwap(...call);
		if (this.responsesLost) throw new CallError("unknown", 0, "no response");
		return result;
	}
}

describe("the range of attempt numbers of a term from 2^41 on", () => {
	test("is reserved once, each term's after that of the term before", async () => {
		const cluster = new Cluster();
		cluster.service.revision = largeTerm;
		assert.deepEqual([await cluster.lead(), await cluster.lead(), await cluster.lead()], [[0], [1], [2]]);
	});

	test("is not used if the response to its reservation was lost, since the next one takes a later range", async () => {
		const cluster = new Cluster();
		cluster.service.revision = largeTerm;
		cluster.responsesLost = true;
		assert.deepEqual(await cluster.lead(), []);
		cluster.responsesLost = false;
		const [index] = await cluster.lead();
		assert.ok(index !== undefined && index > 0);
	});

	test("is not reserved by a process that has lost the leader key", async () => {
		const cluster = new Cluster();
		cluster.service.revision = largeTerm;
		const lost = cluster.lead();
		cluster.service.write("r/one/leader", { node: "other" });
		assert.deepEqual(await lost, []);
		assert.equal(cluster.service.rows.has("r/one/attempts"), false);
	});

	test("is not reserved for an earlier term, so that nothing is stored", async () => {
		const cluster = new Cluster();
		assert.deepEqual(await cluster.lead(2 ** 41 - 1), []);
		assert.equal(cluster.service.rows.has("r/one/attempts"), false);
	});
});
