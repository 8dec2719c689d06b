import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CloudClient } from "../../../src/transport/clients/cloud-client.js";
import type { HttpResponse } from "../../../src/transport/clients/http-response.js";
import { FakeTime } from "../../support/fake-time.js";
import { scriptedHttp } from "../../support/scripted-http.js";

const request = { name: "r-17", machineType: "g8", zone: "a", spot: true, count: 12 };

function cloudWith(responses: HttpResponse[], requestsPerS = 100) {
	const http = scriptedHttp(responses);
	const clock = new FakeTime();
	return { http, clock, cloud: new CloudClient(http, clock, requestsPerS) };
}

describe("creating machines", () => {
	test("resolves to the created machines", async () => {
		const { cloud } = cloudWith([{ status: 200, body: { hosts: ["n-000231"] } }]);
		assert.deepEqual(await cloud.createMachines(request), ["n-000231"]);
	});

	test("resolves to no machines if there is no capacity", async () => {
		const { cloud } = cloudWith([{ status: 503, body: { error: "no capacity" } }]);
		assert.deepEqual(await cloud.createMachines(request), []);
	});

	test("rejects with the outcome not executed during an outage of the cloud", async () => {
		const { cloud } = cloudWith([{ status: 503, body: { error: "trouble" } }]);
		await assert.rejects(cloud.createMachines(request), { outcome: "not executed", status: 503 });
	});

	test("rejects with the outcome rejected if the cloud rejects the request", async () => {
		const { cloud } = cloudWith([{ status: 400, body: {} }]);
		await assert.rejects(cloud.createMachines(request), { outcome: "rejected", status: 400 });
	});
});

describe("the cloud's rate limit", () => {
	const page: HttpResponse = { status: 200, body: { hosts: [] } };

	test("delays a call by less than a second", async () => {
		const { http, clock, cloud } = cloudWith([page, page, page, page], 2);
		for (let i = 0; i < 3; i++) await cloud.deleteMachines(["n-1"]);
		const fourth = cloud.deleteMachines(["n-1"]);
		await clock.advance(100);
		assert.equal(http.requests.length, 3);
		await clock.advance(600);
		await fourth;
		assert.equal(http.requests.length, 4);
	});

	test("has a reserve for creation and deletion, so that listing is rejected before deletion", async () => {
		const { http, clock, cloud } = cloudWith([page, page, page], 2);
		await cloud.listMachines("");
		await cloud.listMachines("");
		const third = assert.rejects(cloud.listMachines(""), { outcome: "not executed", status: 429 });
		await cloud.deleteMachines(["n-1"]);
		assert.equal(http.requests.length, 3);
		await clock.advance(1000);
		await third;
	});
});
