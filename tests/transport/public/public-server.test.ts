import assert from "node:assert/strict";
import { Agent, request } from "node:http";
import { connect, type Socket } from "node:net";
import { after, before, describe, test } from "node:test";
import { HttpClient } from "../../../src/transport/clients/http-client.js";
import { type PublicServer, startPublicServer } from "../../../src/transport/public/public-server.js";
import { heartbeatBody } from "../../support/request-bodies.js";
import { silentLog } from "../../support/silent-log.js";
import { stubPublicService } from "../../support/stub-public-service.js";

function start(maxConnections: number): Promise<PublicServer> {
	return startPublicServer({
		service: stubPublicService,
		log: silentLog,
		host: "127.0.0.1",
		port: 0,
		maxConnections,
	});
}

/** Sends bytes that are not HTTP and resolves once the server has closed the connection. */
function sendNonHttpBytes(port: number): Promise<void> {
	return new Promise((resolve) => {
		const socket = connect(port, "127.0.0.1", () => socket.write("nonsense\r\n\r\n"));
		// The server may reset the connection; the test requires only that it is closed.
		socket.on("error", () => undefined);
		socket.resume();
		socket.on("close", () => resolve());
	});
}

describe("the public server", () => {
	let server: PublicServer;
	let client: HttpClient;
	before(async () => {
		server = await start(50);
		client = new HttpClient(`127.0.0.1:${server.port}`, 2);
	});
	after(async () => {
		client.close();
		await server.close();
	});
	const post = (path: string, body: object) => client.call("POST", path, body, 5000);

	test("closes connections with data that is not HTTP, and still responds to requests", async () => {
		await sendNonHttpBytes(server.port);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
	});

	test("rejects bodies larger than 64 KiB, and still responds to requests", async () => {
		assert.equal((await post("/v1/jobs", { text: "x".repeat(70_000) })).status, 413);
		const large = heartbeatBody({ endpoint: "x".repeat(70_000) });
		assert.equal((await post("/v1/report", large)).status, 413);
		assert.equal((await client.call("GET", "/v1/jobs/j-1", undefined, 5000)).status, 200);
	});

	test("redirects workers to the controller that should receive their heartbeats", async () => {
		const redirected = await post("/v1/report", heartbeatBody());
		assert.deepEqual(redirected, { status: 421, body: { foreman: "runner-2" } });
		assert.equal((await post("/v1/report?try=2", heartbeatBody())).status, 421);
	});

	test("rejects malformed heartbeats with the name of the invalid field", async () => {
		const refused = await post("/v1/report", heartbeatBody({ shift: -1 }));
		assert.equal(refused.status, 400);
		assert.match((refused.body as { error: string }).error, /"shift"/);
	});

	test("accepts heartbeats by POST only", async () => {
		assert.equal((await client.call("GET", "/v1/report", undefined, 5000)).status, 405);
	});
});

test("a closed public server refuses connections", async () => {
	const server = await start(50);
	await server.close();
	const client = new HttpClient(`127.0.0.1:${server.port}`, 2);
	await assert.rejects(client.call("GET", "/ready", undefined, 5000), { outcome: "not executed" });
	client.close();
});

describe("if most connections are in use", () => {
	let server: PublicServer;
	const idle: Socket[] = [];
	const agent = new Agent({ keepAlive: true, maxSockets: 1 });
	before(async () => {
		server = await start(10);
	});
	after(async () => {
		for (const socket of idle) socket.destroy();
		agent.destroy();
		await server.close();
	});

	/** Resolves to the `connection` header of the response. */
	function connectionHeader(path: string, body?: object): Promise<string | undefined> {
		return new Promise((resolve, reject) => {
			const method = body ? "POST" : "GET";
			const sent = request({ host: "127.0.0.1", port: server.port, path, method, agent }, (response) => {
				response.resume();
				response.once("end", () => resolve(response.headers.connection));
			});
			sent.once("error", reject);
			sent.end(body && JSON.stringify(body));
		});
	}

	async function openIdleConnections(count: number): Promise<void> {
		for (let i = 0; i < count; i++) {
			const socket = connect(server.port, "127.0.0.1");
			idle.push(socket);
			await new Promise<void>((resolve) => socket.once("connect", resolve));
		}
		// The client side is connected before the server accepts the connection.
		await new Promise((resolve) => setTimeout(resolve, 100));
	}

	test("workers are asked to close their connections after each heartbeat, and users are not", async () => {
		assert.notEqual(await connectionHeader("/v1/report", heartbeatBody()), "close");
		await openIdleConnections(9);
		assert.equal(await connectionHeader("/v1/report", heartbeatBody()), "close");
		assert.notEqual(await connectionHeader("/v1/jobs/j-1"), "close");
	});
});
