import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { HttpClient } from "../../../src/transport/clients/http-client.js";
import { publicApi } from "../../../src/transport/public/public-api.js";
import { startPublicServer } from "../../../src/transport/public/public-server.js";
import { job, report, service } from "../../support/public-service.js";
import { silentLog } from "../../support/silent-log.js";

test("the front answers every kind of request cleanly", async () => {
	const app = publicApi(service, silentLog);
	const post = (path: string, body: string) => app.request(path, { method: "POST", body });
	assert.equal((await app.request("/ready")).status, 200);
	assert.equal((await post("/v1/jobs", JSON.stringify(job))).status, 201);
	assert.equal((await post("/v1/jobs", JSON.stringify({ ...job, desk: "green" }))).status, 422);
	const bad = await post("/v1/jobs", JSON.stringify({ ...job, cores: null }));
	assert.equal(bad.status, 400);
	assert.match(((await bad.json()) as { error: string }).error, /"cores"/);
	assert.equal((await post("/v1/jobs", "x".repeat(70_000))).status, 413);
	assert.deepEqual(await (await app.request("/v1/jobs/j-1")).json(), {
		id: "j-1",
		status: "running",
		done: 1,
		running: 2,
	});
	assert.equal((await app.request("/v1/jobs/j-2")).status, 404);
	assert.equal((await app.request("/v1/jobs/nonsense")).status, 404);
	const later = await post("/v1/jobs/j-1/abort", "");
	assert.equal(later.status, 503);
	assert.equal(later.headers.get("retry-after"), "1");
	assert.equal((await app.request("/v1/jobs", { method: "DELETE" })).status, 405);
	assert.equal((await app.request("/elsewhere")).status, 404);
});

test("the front serves over a socket, bounds bodies and survives garbage", async () => {
	const front = await startPublicServer({
		service,
		log: silentLog,
		host: "127.0.0.1",
		port: 0,
		maxConnections: 50,
	});
	try {
		await new Promise<void>((resolve) => {
			const socket = connect(front.port, "127.0.0.1", () => socket.write("nonsense\r\n\r\n"));
			socket.on("error", () => {});
			socket.on("data", () => {});
			socket.on("close", () => resolve());
		});
		const client = new HttpClient(`127.0.0.1:${front.port}`, 2);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
		assert.equal((await client.call("POST", "/v1/jobs", { text: "x".repeat(70_000) }, 5000)).status, 413);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
		const moved = await client.call("POST", "/v1/report", report, 5000);
		assert.deepEqual(moved, { status: 421, body: { foreman: "runner-2" } });
		assert.equal((await client.call("POST", "/v1/report?try=2", report, 5000)).status, 421);
		const bad = await client.call("POST", "/v1/report", { ...report, shift: -1 }, 5000);
		assert.equal(bad.status, 400);
		assert.match((bad.body as { error: string }).error, /"shift"/);
		const large = { ...report, endpoint: "x".repeat(70_000) };
		assert.equal((await client.call("POST", "/v1/report", large, 5000)).status, 413);
		assert.equal((await client.call("GET", "/v1/report", undefined, 5000)).status, 405);
		client.close();
	} finally {
		await front.close();
	}
	const gone = new HttpClient(`127.0.0.1:${front.port}`, 2);
	await assert.rejects(gone.call("GET", "/ready", undefined, 5000), { outcome: "not executed" });
	gone.close();
});

test("where connections are short workers are asked to open theirs anew, users are not", async () => {
	const front = await startPublicServer({
		service,
		log: silentLog,
		host: "127.0.0.1",
		port: 0,
		maxConnections: 10,
	});
	const idle: ReturnType<typeof connect>[] = [];
	const agent = new Agent({ keepAlive: true, maxSockets: 1 });
	const ask = (path: string, body?: object) =>
		new Promise<string | undefined>((resolve, reject) => {
			const method = body ? "POST" : "GET";
			const sent = request({ host: "127.0.0.1", port: front.port, path, method, agent }, (answer) => {
				answer.resume();
				answer.once("end", () => resolve(answer.headers.connection));
			});
			sent.once("error", reject);
			sent.end(body && JSON.stringify(body));
		});
	try {
		assert.notEqual(await ask("/v1/report", report), "close");
		for (let i = 0; i < 9; i++) {
			const socket = connect(front.port, "127.0.0.1");
			idle.push(socket);
			await new Promise<void>((resolve) => socket.once("connect", resolve));
		}
		// The far end has connected before the server takes a connection up.
		await new Promise((resolve) => setTimeout(resolve, 100));
		assert.equal(await ask("/v1/report", report), "close");
		assert.notEqual(await ask("/v1/jobs/j-1"), "close");
	} finally {
		for (const socket of idle) socket.destroy();
		agent.destroy();
		await front.close();
	}
});
