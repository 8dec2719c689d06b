import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CapacityLedger } from "../../src/bookkeeping/capacity-ledger.js";
import { jobOf } from "../support/machines.js";
import { mediumType } from "../support/specs.js";

const type = { ...mediumType, cpus: 8, gpus: 2, memoryGb: 64 };
const freeOf = ({ freeCpus, freeGpus, freeMemoryGb }: CapacityLedger) => [freeCpus, freeGpus, freeMemoryGb];

describe("the capacity of a machine", () => {
	test("is reduced by the resources of allocated tasks until they are released", () => {
		const capacity = new CapacityLedger(type);
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [8, 2, 64, 0]);
		capacity.allocate({ cpus: 3, gpus: 1, memoryGb: 10 });
		capacity.allocate({ cpus: 3, gpus: 0, memoryGb: 10 });
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [2, 1, 44, 6]);
		capacity.release({ cpus: 3, gpus: 1, memoryGb: 10 });
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [5, 2, 54, 3]);
	});

	test("fits a task if every resource suffices", () => {
		const capacity = new CapacityLedger(type);
		assert.equal(capacity.fits({ cpus: 8, gpus: 2, memoryGb: 64 }), true);
		assert.equal(capacity.fits({ cpus: 8.1, gpus: 0, memoryGb: 0 }), false);
		assert.equal(capacity.fits({ cpus: 0, gpus: 3, memoryGb: 0 }), false);
		assert.equal(capacity.fits({ cpus: 0, gpus: 0, memoryGb: 65 }), false);
	});

	test("tolerates rounding errors in sums of decimal fractions, and has none once all tasks are released", () => {
		const capacity = new CapacityLedger(type);
		const small = { cpus: 0.1, gpus: 0, memoryGb: 0.1 };
		for (let i = 0; i < 79; i++) capacity.allocate(small);
		assert.equal(capacity.fits(small), true);
		capacity.allocate(small);
		assert.equal(capacity.fits(small), false);
		for (let i = 0; i < 80; i++) capacity.release(small);
		capacity.releaseAll();
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
	});
});

describe("reservations on a machine", () => {
	test("for a replica that is being relocated reduce the free resources, but do not count as used CPUs", () => {
		const capacity = new CapacityLedger(type);
		const demand = { cpus: 3, gpus: 1, memoryGb: 10 };
		capacity.reserveForReplica(demand);
		assert.deepEqual([...freeOf(capacity), capacity.usedCpus], [5, 1, 54, 0]);
		capacity.releaseAll();
		assert.deepEqual(freeOf(capacity), [5, 1, 54], "releaseAll keeps the reservation");
		capacity.releaseReplicaReservation(demand);
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
	});

	test("for a job stand until replaced or cancelled, and do not reduce the free resources", () => {
		const capacity = new CapacityLedger(type);
		const [first, second] = [jobOf("j-1"), jobOf("j-2")];
		assert.equal(capacity.reservedForJob, null);
		capacity.reserveForJob(first);
		assert.equal(capacity.reservedForJob, first);
		assert.deepEqual(freeOf(capacity), [8, 2, 64]);
		capacity.reserveForJob(second);
		assert.equal(capacity.reservedForJob, second);
		capacity.cancelJobReservation();
		capacity.cancelJobReservation();
		assert.equal(capacity.reservedForJob, null);
	});
});

describe("the cached images of a machine", () => {
	test("are evicted in the order of their last use beyond the size of the cache", () => {
		const capacity = new CapacityLedger(type);
		for (let i = 0; i < 12; i++) capacity.recordImageUse(`image-${i}`);
		capacity.recordImageUse("image-0");
		capacity.recordImageUse("image-12");
		assert.equal(capacity.cachedImages.size, 12);
		assert.equal(capacity.cachedImages.has("image-0"), true, "it was used again");
		assert.equal(capacity.cachedImages.has("image-1"), false);
		assert.deepEqual([...capacity.cachedImages].slice(-2), ["image-0", "image-12"]);
	});
});
