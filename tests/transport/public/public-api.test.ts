import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { CallError } from "../../../src/coordination/ports/call-error.js";
import { publicApi } from "../../../src/transport/public/public-api.js";
import type { PublicService } from "../../../src/transport/public/public-service.js";
import { submissionBody } from "../../support/request-bodies.js";
import { silentLog } from "../../support/silent-log.js";
import { stubPublicService } from "../../support/stub-public-service.js";

function apiOf(service: Partial<PublicService> = {}) {
	const app = publicApi({ ...stubPublicService, ...service }, silentLog);
	return {
		get: async (path: string) => app.request(path),
		delete: async (path: string) => app.request(path, { method: "DELETE" }),
		post: async (path: string, body: string) => app.request(path, { method: "POST", body }),
		submit: async (body: object) => app.request("/v1/jobs", { method: "POST", body: JSON.stringify(body) }),
	};
}

describe("the load balancer's readiness check", () => {
	test("gets 200 if the controller is ready, and 503 otherwise", async () => {
		assert.equal((await apiOf().get("/ready")).status, 200);
		const starting = await apiOf({ ready: () => false }).get("/ready");
		assert.deepEqual([starting.status, await starting.json()], [503, { error: "the node is starting" }]);
	});
});

describe("a submission", () => {
	test("that is accepted gets 201 and the job's state", async () => {
		const response = await apiOf().submit(submissionBody());
		assert.equal(response.status, 201);
		assert.deepEqual(await response.json(), { id: "j-000412", status: "pending" });
	});

	test("of a job that was accepted earlier gets 200 and the job's state", async () => {
		const service = { submit: async () => ({ kind: "duplicate", status: "done" }) as const };
		const response = await apiOf(service).submit(submissionBody());
		assert.deepEqual([response.status, await response.json()], [200, { id: "j-000412", status: "done" }]);
	});

	test("of a job that can never run gets 422", async () => {
		assert.equal((await apiOf().submit(submissionBody({ desk: "green" }))).status, 422);
	});

	test("that the controllers cannot hold now gets 503, the reason and the delay of the next try", async () => {
		const service = {
			submit: async () => ({ kind: "overloaded", reason: "too many jobs", retryAfterS: 10 }) as const,
		};
		const response = await apiOf(service).submit(submissionBody());
		assert.deepEqual([response.status, await response.json()], [503, { error: "too many jobs" }]);
		assert.equal(response.headers.get("retry-after"), "10");
	});

	test("with an invalid field gets 400 and the field's name", async () => {
		const response = await apiOf().submit(submissionBody({ cores: null }));
		assert.equal(response.status, 400);
		assert.match(((await response.json()) as { error: string }).error, /"cores"/);
	});

	test("with a field that names a nonexistent object gets 400 and the reason", async () => {
		const service = { submit: async () => ({ kind: "malformed", reason: "no such zone" }) as const };
		const response = await apiOf(service).submit(submissionBody());
		assert.deepEqual([response.status, await response.json()], [400, { error: "no such zone" }]);
	});

	// Guards against 400 for a repeated submission of an accepted job while the state service is down (`forgotten`).
	test("with an invalid field gets 503 while it is not known if the job was accepted earlier", async () => {
		const service = { status: async () => ({ kind: "unavailable", reason: "not now" }) as const };
		const response = await apiOf(service).submit(submissionBody({ pieces: 0 }));
		assert.deepEqual([response.status, await response.json()], [503, { error: "not now" }]);
		assert.equal(
			(await apiOf(service).submit(submissionBody({ id: "x" }))).status,
			400,
			"no job has this id",
		);
	});

	test("with an invalid field, of a job that was accepted earlier, gets 200 and the job's state", async () => {
		assert.equal((await apiOf().submit(submissionBody({ id: "j-2", pieces: 0 }))).status, 400);
		const known = await apiOf().submit(submissionBody({ id: "j-1", pieces: 0 }));
		assert.deepEqual([known.status, await known.json()], [200, { id: "j-1", status: "running" }]);
	});

	test("larger than 64 KiB gets 413", async () => {
		assert.equal((await apiOf().post("/v1/jobs", "x".repeat(70_000))).status, 413);
	});
});

describe("a query for a job", () => {
	test("gets the job's state and the numbers of its done and running tasks", async () => {
		assert.deepEqual(await (await apiOf().get("/v1/jobs/j-1")).json(), {
			id: "j-1",
			status: "running",
			done: 1,
			running: 2,
		});
	});

	test("that does not exist, or with an invalid id, gets 404", async () => {
		assert.equal((await apiOf().get("/v1/jobs/j-2")).status, 404);
		assert.equal((await apiOf().get("/v1/jobs/nonsense")).status, 404);
	});
});

describe("a cancellation", () => {
	test("with an uncertain result gets 503 and the retry delay", async () => {
		const response = await apiOf().post("/v1/jobs/j-1/abort", "");
		assert.equal(response.status, 503);
		assert.equal(response.headers.get("retry-after"), "1");
	});

	test("with a certain result gets 200 and the job's state", async () => {
		const cancelled = { kind: "found", status: "cancelled", done: 1, running: 0 } as const;
		const response = await apiOf({ cancel: async () => cancelled }).post("/v1/jobs/j-1/abort", "");
		assert.deepEqual([response.status, await response.json()], [200, { id: "j-1", status: "cancelled" }]);
	});

	test("of a job that does not exist, or with an invalid id, gets 404", async () => {
		const service = { cancel: async () => ({ kind: "not-found" }) as const };
		assert.equal((await apiOf(service).post("/v1/jobs/j-2/abort", "")).status, 404);
		assert.equal((await apiOf().post("/v1/jobs/nonsense/abort", "")).status, 404);
	});
});

describe("other requests", () => {
	test("with a method that is not allowed get 405 and the allowed method", async () => {
		const response = await apiOf().delete("/v1/jobs");
		assert.equal(response.status, 405);
		assert.equal(response.headers.get("allow"), "POST");
	});

	test("to other paths get 404", async () => {
		assert.equal((await apiOf().get("/elsewhere")).status, 404);
	});

	test("that fail by a fault of the service get 503 and the retry delay", async () => {
		const failing = async () => {
			throw new CallError("unknown", 0, "a fault");
		};
		const response = await apiOf({ status: failing }).get("/v1/jobs/j-1");
		assert.deepEqual(
			[response.status, response.headers.get("retry-after"), await response.json()],
			[503, "1", { error: "the request could not be handled" }],
		);
	});
});
