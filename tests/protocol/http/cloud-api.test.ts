import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
	createMachinesBody,
	deleteMachinesBody,
	isNoCapacity,
	machineListPath,
	parseCreatedMachines,
	parseMachineList,
	parseMachineTypes,
} from "../../../src/protocol/http/cloud-api.js";

describe("the cloud's API encoding", () => {
	test("machine types with all fields are parsed", () => {
		const wire = {
			sku: "g8",
			cores: 96,
			accelerators: 8,
			ram_gb: 768,
			local_gb: 200,
			fetch_gb_per_s: 1.0,
			rate: 12.0,
			market_price: 4.5,
			boot_s: 45,
			halls: ["a", "b"],
		};
		assert.deepStrictEqual(parseMachineTypes({ shapes: [wire] }), [
			{
				name: "g8",
				cpus: 96,
				gpus: 8,
				memoryGb: 768,
				cacheGb: 200,
				fetchGbPerS: 1,
				price: 12,
				spotPrice: 4.5,
				bootS: 45,
				zones: ["a", "b"],
			},
		]);
	});

	test("machine types with missing fields are parsed with defaults", () => {
		const wire = { sku: "c4", cores: 4, ram_gb: 16, rate: 0.5, halls: [], accelerators: null };
		assert.deepStrictEqual(parseMachineTypes({ shapes: [wire] }), [
			{
				name: "c4",
				cpus: 4,
				gpus: 0,
				memoryGb: 16,
				cacheGb: 0,
				fetchGbPerS: 0.1,
				price: 0.5,
				spotPrice: 0.5,
				bootS: 60,
				zones: [],
			},
		]);
	});

	test("a creation request is encoded, and its response and the no-capacity response are recognized", () => {
		const request = { name: "r-17", machineType: "g8", zone: "a", spot: true, count: 12 };
		assert.deepStrictEqual(createMachinesBody(request), {
			hire: "r-17",
			shape: "g8",
			hall: "a",
			loaners: true,
			count: 12,
		});
		assert.deepStrictEqual(parseCreatedMachines({ hosts: ["n-000231"] }), ["n-000231"]);
		assert.equal(isNoCapacity({ error: "no capacity" }), true);
		for (const body of [null, undefined, "no capacity", {}, { error: "trouble" }, { error: 7 }]) {
			assert.equal(isNoCapacity(body), false, JSON.stringify(body));
		}
	});

	test("a deletion request is encoded", () => {
		assert.deepStrictEqual(deleteMachinesBody(["n-000231"]), { hosts: ["n-000231"] });
	});

	test("the machine list is requested and parsed page by page, with defaults for missing fields", () => {
		assert.equal(machineListPath("", 500), "/hosts?limit=500");
		assert.equal(machineListPath("n-000230", 500), "/hosts?from=n-000230&limit=500");
		const wire = { id: "n-000231", endpoint: "10.1.0.232:9000", shape: "g8", hall: "a", loaners: true };
		const machine = {
			id: "n-000231",
			endpoint: "10.1.0.232:9000",
			machineType: "g8",
			zone: "a",
			spot: true,
		};
		const hosts = [
			{ ...wire, status: "running", age_s: 61.5 },
			{ ...wire, status: "booting", age_s: 2 },
			{ ...wire, status: "failed", age_s: 100 },
			{ ...wire, status: "of a later version" },
			{ id: "n-000232", shape: "c4", hall: "b" },
		];
		assert.deepStrictEqual(parseMachineList({ hosts, truncated: true }), {
			machines: [
				{ ...machine, status: "running", ageS: 61.5 },
				{ ...machine, status: "booting", ageS: 2 },
				{ ...machine, status: "failed", ageS: 100 },
				{ ...machine, status: "running", ageS: 0 },
				{
					id: "n-000232",
					endpoint: "",
					machineType: "c4",
					zone: "b",
					spot: false,
					status: "running",
					ageS: 0,
				},
			],
			hasMore: true,
		});
		assert.equal(parseMachineList({ hosts: [] }).hasMore, false);
	});
});
