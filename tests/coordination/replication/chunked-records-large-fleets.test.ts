import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ChunkedRecords } from "../../../src/coordination/replication/chunked-records.js";
import { FakeTime } from "../../support/fake-time.js";
import { largeFleetMachineId, largeFleetSizes } from "../../support/large-fleets.js";

interface WrittenValue {
	key: string;
	bytes: number;
}

const recordOf = (index: number) => ({
	endpoint: `10.1.0.1:${index}`,
	type: "medium",
	zone: "a",
	spot: true,
	session: 1,
});

describe("chunked records of a large fleet's machines", () => {
	for (const size of largeFleetSizes)
		test(`${size} machines: the records fit into values of the store, and a change writes one value`, async () => {
			const maxChunkBytes = 13_000;
			let writes: WrittenValue[][] = [];
			const clock = new FakeTime();
			const records = new ChunkedRecords<object>({
				prefix: "r/machs/",
				leaderCondition: { key: "r/one/leader", revision: 1 },
				maxChunkBytes,
				maxChangesPerWrite: 12,
				store: {
					compareAndSwap: async (_conditions: unknown, changes: { put?: string; value?: unknown }[]) => {
						writes.push(
							changes.map(({ put, value }) => ({
								key: put ?? "",
								bytes: JSON.stringify(value ?? null).length,
							})),
						);
						return { swapped: true, revision: writes.length + 1 };
					},
				} as never,
				post: (action) => action(),
				now: () => clock.now(),
				onLeaderKeyLost: () => assert.fail("this term holds the leader key"),
				onConfirmed() {},
				onWriteFailed: (error) => assert.fail(String(error)),
				onChunksRejected: () => assert.fail("a value is too large"),
				pace: { priority: "normal", minIntervalMs: 150, cleanupIntervalMs: 3000 },
			});
			const run = async (seconds: number) => {
				for (let t = 0; t < seconds * 1000; t += 50) {
					records.flush();
					await clock.advance(50);
				}
			};

			for (let i = 0; i < size; i++) records.set(largeFleetMachineId(i), recordOf(i));
			await run(20);
			const keys = new Set(writes.flat().map(({ key }) => key));
			const totalBytes = size * JSON.stringify({ [largeFleetMachineId(1)]: recordOf(1) }).length;
			assert.ok(keys.size <= Math.ceil((totalBytes / maxChunkBytes) * 1.3), `${keys.size} values`);
			for (const { bytes } of writes.flat()) assert.ok(bytes <= 16 * 1024, `a value of ${bytes} bytes`);

			writes = [];
			records.set(largeFleetMachineId(size >> 1), { ...recordOf(0), session: 2 });
			await run(2);
			assert.equal(writes.flat().length, 1);
		});
});
