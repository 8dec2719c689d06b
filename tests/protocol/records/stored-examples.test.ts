/**
 * Literal examples of stored records. Every controller reads records that other controllers have written, also of
 * earlier versions, so no name or value in the store may change.
 */

import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { MalformedMessageError } from "../../../src/protocol/errors.js";
import type { JobSpec } from "../../../src/protocol/model/job.js";
import type { MachineType } from "../../../src/protocol/model/machine.js";
import { pageName, parsePageName } from "../../../src/protocol/records/chunk.js";
import { encodeFinalRecord, type FinalJobRecord } from "../../../src/protocol/records/final-record.js";
import { encodeJobRecord } from "../../../src/protocol/records/job-record.js";
import { keys } from "../../../src/protocol/records/keys.js";
import { decodeMachineRecord, encodeMachineRecord } from "../../../src/protocol/records/machine-record.js";
import {
	encodeFeatures,
	encodeLeaderRecord,
	encodeMachineTypes,
	type FeatureSet,
} from "../../../src/protocol/records/singleton-records.js";
import { decodeStoredRecord } from "../../../src/protocol/records/stored-record.js";

const arrayJob: JobSpec = {
	id: "j-000412",
	form: "array",
	jobClass: "train",
	team: "vision",
	priority: "urgent",
	taskCount: 16,
	cpus: 8,
	gpus: 1,
	memoryGb: 64,
	machineTypes: ["g8"],
	zone: null,
	singleZone: true,
	spreadZones: false,
	allowSpot: true,
	image: "img-07",
	imageGb: 6.2,
	estimatedRunS: 240,
	checkpointIntervalS: 30,
	checkpointCostS: 4,
	deadlineS: 900,
};

const storedArrayJob = {
	id: "j-000412",
	form: "array",
	lane: "train",
	team: "vision",
	priority: "urgent",
	tasks: 16,
	cpus: 8,
	gpus: 1,
	memoryGb: 64,
	types: ["g8"],
	zone: null,
	oneZone: true,
	spread: false,
	spot: true,
	image: "img-07",
	imageGb: 6.2,
	estimateS: 240,
	checkpointS: 30,
	saveS: 4,
	deadlineS: 900,
};

const acceptedAt = 1_767_225_600_000;

describe("the record of a live job", () => {
	const key = "r/job/j-000412";

	test("of an array job is encoded and decoded", () => {
		const stored = { spec: storedArrayJob, at: acceptedAt };
		const record = { spec: arrayJob, acceptedAt };
		assert.equal(keys.job("j-000412"), key);
		assert.deepStrictEqual(encodeJobRecord(record), stored);
		assert.deepStrictEqual(decodeStoredRecord(key, stored), {
			kind: "job",
			jobId: "j-000412",
			value: record,
		});
	});

	test("of a service job is encoded and decoded", () => {
		const stored = { spec: { ...storedArrayJob, form: "standing", estimateS: 0, deadlineS: null }, at: 0 };
		const spec: JobSpec = { ...arrayJob, form: "service", estimatedRunS: 0, deadlineS: null };
		const record = { spec, acceptedAt: 0 };
		assert.deepStrictEqual(encodeJobRecord(record), stored);
		assert.deepStrictEqual(decodeStoredRecord(key, stored), {
			kind: "job",
			jobId: "j-000412",
			value: record,
		});
	});

	test("of a version before 0.5.0, which supports only array jobs, is decoded as an array job", () => {
		const { form: _, ...withoutForm } = storedArrayJob;
		assert.deepStrictEqual(decodeStoredRecord(key, { spec: withoutForm, at: acceptedAt }), {
			kind: "job",
			jobId: "j-000412",
			value: { spec: arrayJob, acceptedAt },
		});
	});

	test("under the key of another job is rejected", () => {
		const stored = { spec: storedArrayJob, at: acceptedAt };
		assert.throws(() => decodeStoredRecord("r/job/j-000413", stored), MalformedMessageError);
	});
});

describe("the record of an ended job", () => {
	const key = "r/fin/j-000412";

	test("is encoded and decoded", () => {
		const demand = { team: "vision", cpus: 8, gpus: 1 };
		const record: FinalJobRecord = { status: "cancelled", taskCount: 16, doneCount: 3, demand };
		const stored = { status: "cancelled", tasks: 16, done: 3, demand };
		assert.equal(keys.final("j-000412"), key);
		assert.deepStrictEqual(encodeFinalRecord(record), stored);
		assert.deepStrictEqual(decodeStoredRecord(key, stored), {
			kind: "final",
			jobId: "j-000412",
			value: record,
		});
	});

	test("of a version before 0.4.0, which omits the quota of its tasks, is encoded and decoded", () => {
		const stored = { status: "done", tasks: 16, done: 16 };
		const record: FinalJobRecord = { status: "done", taskCount: 16, doneCount: 16, demand: undefined };
		assert.deepStrictEqual(encodeFinalRecord(record), stored);
		assert.deepStrictEqual(decodeStoredRecord(key, stored), {
			kind: "final",
			jobId: "j-000412",
			value: record,
		});
	});
});

describe("chunks of done tasks", () => {
	test("name each page by job and page number, and are decoded unchanged", () => {
		const stored = { entries: { "j-000412/0": "BwA=", "j-000412/1": "AQ==" } };
		assert.deepStrictEqual(decodeStoredRecord("r/prog/21-1", stored), { kind: "progress", value: stored });
		assert.equal(pageName("j-000412", 1), "j-000412/1");
		assert.deepStrictEqual(parsePageName("j-000412/1"), { jobId: "j-000412", page: 1 });
	});
});

describe("chunks of machines", () => {
	const storedMachine = { endpoint: "10.1.0.232:9000", type: "g8", zone: "a", spot: true, session: 2 };

	test("contain machine records, which are encoded and decoded", () => {
		const record = {
			endpoint: "10.1.0.232:9000",
			machineType: "g8",
			zone: "a",
			spot: true,
			agentEpoch: 2,
		};
		assert.deepStrictEqual(encodeMachineRecord(record), storedMachine);
		assert.deepStrictEqual(decodeMachineRecord(storedMachine), record);
	});

	test("keep the fields that a later version has added to an entry", () => {
		const stored = { entries: { "n-000231": { ...storedMachine, later: 1 } } };
		assert.deepStrictEqual(decodeStoredRecord("r/machs/21-1", stored), { kind: "machines", value: stored });
	});
});

describe("singleton records", () => {
	test("of the leader key are encoded and decoded", () => {
		const record = { node: "runner-0", incarnation: "3f9a0c.1200.5" };
		assert.equal(keys.leader, "r/one/leader");
		assert.deepStrictEqual(encodeLeaderRecord(record), record);
		assert.deepStrictEqual(decodeStoredRecord(keys.leader, record), { kind: "leader", value: record });
	});

	test("of the features that all controllers support are encoded and decoded, with the features of later versions", () => {
		const features: [FeatureSet, object][] = [
			[
				{ serviceJobs: true, teamQuota: true, unknownFields: { later: 1 } },
				{ later: 1, standing: true, quota: true },
			],
			[{ serviceJobs: true, teamQuota: false, unknownFields: {} }, { standing: true }],
			[{ serviceJobs: false, teamQuota: false, unknownFields: {} }, {}],
		];
		assert.equal(keys.features, "r/one/able");
		for (const [value, stored] of features) {
			assert.deepStrictEqual(encodeFeatures(value), stored);
			assert.deepStrictEqual(decodeStoredRecord(keys.features, stored), { kind: "features", value });
		}
	});

	test("of the machine types are encoded and decoded with unchanged field names", () => {
		const type: MachineType = {
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
		};
		const stored = { types: [type] };
		assert.equal(keys.machineTypes, "r/one/types");
		assert.deepStrictEqual(encodeMachineTypes([type]), stored);
		assert.deepStrictEqual(decodeStoredRecord(keys.machineTypes, stored), {
			kind: "machine types",
			value: [type],
		});
	});
});

describe("other keys", () => {
	test("of team quota are passed on without decoding", () => {
		const value = { limit: [8, 0] };
		assert.deepStrictEqual(decodeStoredRecord("r/quota/red", value), { kind: "quota", value });
	});

	test("of other versions are ignored, with any value", () => {
		assert.deepStrictEqual(decodeStoredRecord("r/later/1", "anything"), { kind: "other" });
	});
});
