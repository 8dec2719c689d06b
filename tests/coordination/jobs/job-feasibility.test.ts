import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { infeasibilityReason } from "../../../src/coordination/jobs/job-feasibility.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import { machineType } from "../../support/machine-types.js";
import { specOf } from "../../support/specs.js";

const types = [
	machineType({ name: "wide", cpus: 16, memoryGb: 32, gpus: 0, zones: ["a"] }),
	machineType({ name: "deep", cpus: 4, memoryGb: 128, gpus: 2, zones: ["b"] }),
	machineType({ name: "nowhere", cpus: 64, memoryGb: 512, gpus: 8, zones: [] }),
];

const team = { name: "red", guaranteed: { cpus: 4, gpus: 0 }, limit: { cpus: 20, gpus: 4 } };

/** The reason why a job of team red with 2 CPUs per task and the given fields can never run; null: it can. */
const reasonFor = (fields: Partial<JobSpec>) =>
	infeasibilityReason(specOf("j-1", { cpus: 2, ...fields }), team, types);

describe("a job can run", () => {
	test("if a task fits on a machine type", () => {
		assert.equal(reasonFor({}), null);
		assert.equal(reasonFor({ cpus: 16, zone: "a" }), null);
	});

	test("as an array job that must be spread over zones and run in a single one, since its tasks need not run at the same time", () => {
		// The tasks run in two halves in the single zone; trace 47 has such a job.
		assert.equal(reasonFor({ zone: "a", spreadZones: true, singleZone: true }), null);
	});
});

describe("a job can never run", () => {
	test("if no single machine type meets all demands of a task together", () => {
		assert.match(String(reasonFor({ cpus: 16, memoryGb: 64 })), /fits no allowed machine type/);
		assert.match(String(reasonFor({ gpus: 1, machineTypes: ["wide"] })), /fits no/);
	});

	test("if the types that fit are not offered in its zone, or not in any zone", () => {
		assert.match(String(reasonFor({ cpus: 16, zone: "b" })), /fits no/);
		assert.match(String(reasonFor({ machineTypes: ["nowhere"] })), /fits no/);
	});

	test("if one task needs more than the team's limit", () => {
		assert.match(String(reasonFor({ cpus: 21 })), /more than the limit/);
	});

	test("if there is no such team", () => {
		assert.match(String(infeasibilityReason(specOf("j-1"), undefined, types)), /no team "red"/);
	});

	test("as a service job, if all its replicas together need more than the team's limit", () => {
		assert.equal(reasonFor({ form: "service", taskCount: 10 }), null);
		assert.match(String(reasonFor({ form: "service", taskCount: 11 })), /all replicas together need more/);
	});

	test("as a service job, if its replicas must be spread over zones and only one zone is allowed", () => {
		const spread: Partial<JobSpec> = { form: "service", spreadZones: true };
		assert.equal(reasonFor({ ...spread, taskCount: 2 }), null);
		assert.equal(reasonFor({ ...spread, taskCount: 1, zone: "a" }), null);
		assert.match(String(reasonFor({ ...spread, taskCount: 2, zone: "a" })), /can't be spread over zones/);
		assert.match(String(reasonFor({ ...spread, taskCount: 2, singleZone: true })), /can't be spread/);
		assert.match(String(reasonFor({ ...spread, taskCount: 2, machineTypes: ["wide"] })), /can't be spread/);
	});
});
