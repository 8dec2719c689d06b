import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CapacityLedger } from "../../src/bookkeeping/capacity-ledger.js";
import { jobOf } from "../support/machines.js";
import { mediumType } from "../support/specs.js";

const type = { ...mediumType, cpus: 8, gpus: 2, memoryGb: 64 };
const freeOf = ({ freeCpus, freeGpus, freeMemoryGb }: CapacityLedger) => [freeCpus, freeGpus, freeMemoryGb];

describe("the capacity of a machine", () => {
	test("is taken by tasks and given back by them", () => {
		const capacity = new CapacityLedger(type);
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [8, 2, 64, 0]);
		capacity.take({ cpus: 3, gpus: 1, memoryGb: 10 });
		capacity.take({ cpus: 3, gpus: 0, memoryGb: 10 });
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [2, 1, 44, 6]);
		capacity.giveBack({ cpus: 3, gpus: 1, memoryGb: 10 });
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [5, 2, 54, 3]);
	});

	test("has room for a task if every resource suffices", () => {
		const capacity = new CapacityLedger(type);
		assert.equal(capacity.hasRoomFor({ cpus: 8, gpus: 2, memoryGb: 64 }), true);
		assert.equal(capacity.hasRoomFor({ cpus: 8.1, gpus: 0, memoryGb: 0 }), false);
		assert.equal(capacity.hasRoomFor({ cpus: 0, gpus: 3, memoryGb: 0 }), false);
		assert.equal(capacity.hasRoomFor({ cpus: 0, gpus: 0, memoryGb: 65 }), false);
	});

	test("bears the drift of sums of decimals, and an empty machine has none", () => {
		const capacity = new CapacityLedger(type);
		const small = { cpus: 0.1, gpus: 0, memoryGb: 0.1 };
		for (let i = 0; i < 79; i++) capacity.take(small);
		assert.equal(capacity.hasRoomFor(small), true);
		capacity.take(small);
		assert.equal(capacity.hasRoomFor(small), false);
		for (let i = 0; i < 80; i++) capacity.giveBack(small);
		capacity.clear();
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
	});
});

describe("reservations on a machine", () => {
	test("for a replica on its way count as used, but not as used CPUs", () => {
		const capacity = new CapacityLedger(type);
		const demand = { cpus: 3, gpus: 1, memoryGb: 10 };
		capacity.reserveForReplica(demand);
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [5, 1, 54, 0]);
		capacity.clear();
		assert.deepEqual(freeOf(capacity), [5, 1, 54], "the end of the last task leaves the reservation");
		capacity.releaseReplicaReservation(demand);
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
	});

	test("for a job keep the machine free of others until they are cancelled, and take nothing", () => {
		const capacity = new CapacityLedger(type);
		const [first, second] = [jobOf("j-1"), jobOf("j-2")];
		assert.equal(capacity.reservedFor, null);
		capacity.reserveForJob(first);
		assert.equal(capacity.reservedFor, first);
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
		capacity.reserveForJob(second);
		assert.equal(capacity.reservedFor, second);
		capacity.cancelJobReservation();
		capacity.cancelJobReservation();
		assert.equal(capacity.reservedFor, null);
	});
});

describe("the images of a machine", () => {
	test("are kept by their last use, and only so many", () => {
		const capacity = new CapacityLedger(type);
		for (let i = 0; i < 12; i++) capacity.noteImage(`image-${i}`);
		capacity.noteImage("image-0");
		capacity.noteImage("image-12");
		assert.equal(capacity.images.size, 12);
		assert.equal(capacity.images.has("image-0"), true, "it was used again");
		assert.equal(capacity.images.has("image-1"), false);
		assert.deepEqual([...capacity.images].slice(-2), ["image-0", "image-12"]);
	});
});
